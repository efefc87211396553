/** Tokens of the operators' language. */
import { createToken, Lexer } from 'chevrotain';
import type { TokenType } from 'chevrotain';

/** A name; keywords also match where the grammar expects a name. */
export const Name = createToken({ name: 'Name', label: 'a name', pattern: /[A-Za-z_][A-Za-z0-9_.@-]*/ });

/** A double-quoted string, for names with other characters and for ISO 8601 times. */
export const Text = createToken({ name: 'Text', label: 'a quoted text', pattern: /"(?:[^"\\]|\\.)*"/ });

/** A duration: a number followed by `ms`, `s`, `m` or `h`. */
export const Duration = createToken({
  name: 'Duration',
  label: 'a duration such as 250ms',
  pattern: /\d+(?:\.\d+)?(?:ms|s|m|h)(?![A-Za-z0-9])/,
});

export const Numeral = createToken({ name: 'Numeral', label: 'a number', pattern: /-?\d+(?:\.\d+)?/ });

/** A comparison operator. */
export const Compare = createToken({ name: 'Compare', label: 'a comparison', pattern: /!=|<=|>=|=|<|>|~/ });

/** Separates list items. */
export const Comma = createToken({ name: 'Comma', label: "','", pattern: /,/ });
/** Opens the properties of a kind. */
export const Open = createToken({ name: 'Open', label: "'('", pattern: /\(/ });
/** Closes the properties of a kind. */
export const Close = createToken({ name: 'Close', label: "')'", pattern: /\)/ });
/** Adds a duration to `now`. */
export const Plus = createToken({ name: 'Plus', label: "'+'", pattern: /\+/ });

const Space = createToken({ name: 'Space', pattern: /\s+/, group: Lexer.SKIPPED });

const KEYWORD_NAMES = [
  'declare', 'change', 'end', 'event', 'version', 'start', 'services', 'kinds', 'at', 'now', 'prioritize', 'kind',
  'of', 'as', 'evacuate', 'restore', 'domain', 'list', 'count', 'where', 'and', 'order', 'by', 'asc', 'desc', 'limit',
] as const; // prettier-ignore

/** A keyword of the language. */
export type Keyword = (typeof KEYWORD_NAMES)[number];

/** Keyword tokens; each is also accepted as a name. */
export const KEYWORDS = Object.fromEntries(
  KEYWORD_NAMES.map((keyword) => {
    const pattern = new RegExp(`${keyword}(?![A-Za-z0-9_.@-])`, 'i');
    return [
      keyword,
      createToken({
        name: `Word_${keyword}`,
        label: `'${keyword}'`,
        pattern,
        longer_alt: Name,
        categories: [Name],
      }),
    ];
  }),
) as Record<Keyword, TokenType>;

/** All tokens, in matching order. */
export const TOKENS: TokenType[] = [
  Space,
  Text,
  Duration,
  Numeral,
  Compare,
  Comma,
  Open,
  Close,
  Plus,
  ...Object.values(KEYWORDS),
  Name,
];

/** Lexer of the operators' language. */
export const commandLexer = new Lexer(TOKENS);
