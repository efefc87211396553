/** Tokens of the operators' language. */
import { createToken, Lexer } from 'chevrotain';
import type { TokenType } from 'chevrotain';

/** A name, or a keyword where the grammar wants one. */
export const Name = createToken({ name: 'Name', label: 'a name', pattern: /[A-Za-z_][A-Za-z0-9_.@-]*/ });

/** A text in double quotes, for names with other characters and for ISO times. */
export const Text = createToken({ name: 'Text', label: 'a quoted text', pattern: /"(?:[^"\\]|\\.)*"/ });

/** A duration: a number with `ms`, `s`, `m` or `h`. */
export const Duration = createToken({
  name: 'Duration',
  label: 'a duration such as 250ms',
  pattern: /\d+(?:\.\d+)?(?:ms|s|m|h)(?![A-Za-z0-9])/,
});

/** A number. */
export const Numeral = createToken({ name: 'Numeral', label: 'a number', pattern: /-?\d+(?:\.\d+)?/ });

/** A comparison of a condition. */
export const Compare = createToken({ name: 'Compare', label: 'a comparison', pattern: /!=|<=|>=|=|<|>|~/ });

/** Punctuation. */
export const Comma = createToken({ name: 'Comma', label: "','", pattern: /,/ });
/** Opens the properties of a kind. */
export const Open = createToken({ name: 'Open', label: "'('", pattern: /\(/ });
/** Closes them. */
export const Close = createToken({ name: 'Close', label: "')'", pattern: /\)/ });
/** Adds a duration to `now`. */
export const Plus = createToken({ name: 'Plus', label: "'+'", pattern: /\+/ });

const Space = createToken({ name: 'Space', pattern: /\s+/, group: Lexer.SKIPPED });

const WORDS = [
  'declare', 'change', 'end', 'event', 'version', 'start', 'services', 'kinds', 'at', 'now', 'prioritize', 'kind',
  'of', 'as', 'evacuate', 'restore', 'domain', 'list', 'count', 'where', 'and', 'order', 'by', 'asc', 'desc', 'limit',
] as const; // prettier-ignore

/** A keyword. */
export type Word = (typeof WORDS)[number];

/** Keywords; each may also stand where a name is wanted. */
export const KEYWORDS = Object.fromEntries(
  WORDS.map((word) => {
    const pattern = new RegExp(`${word}(?![A-Za-z0-9_.@-])`, 'i');
    return [
      word,
      createToken({
        name: `Word_${word}`,
        label: `'${word}'`,
        pattern,
        longer_alt: Name,
        categories: [Name],
      }),
    ];
  }),
) as Record<Word, TokenType>;

/** All tokens, in the order in which the lexer tries them. */
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

/** The lexer. */
export const commandLexer = new Lexer(TOKENS);
