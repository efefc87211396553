import { CommandParser } from './CommandParser.js';
import type { SemanticError } from './CommandParser.js';
import type { Statement } from './statement.js';
import { commandLexer } from './tokens.js';

/** A statement, or all errors with their columns (1-based). */
export type ParseResult =
  | { readonly ok: true; readonly statement: Statement }
  | { readonly ok: false; readonly errors: readonly SemanticError[] };

const parser = new CommandParser();

/**
 * Parses a statement of the operators' language.
 *
 * @param text - one statement
 * @returns the statement, or all errors found
 * @example
 * parseCommand('list jobs where state = running limit 5');
 */
export function parseCommand(text: string): ParseResult {
  const lexed = commandLexer.tokenize(text);
  const lexErrors = lexed.errors.map(({ column, offset, length }) => {
    return {
      column: column ?? 1,
      message: `unexpected ${JSON.stringify(text.slice(offset, offset + length))}`,
    };
  });
  if (lexErrors.length > 0) return { ok: false, errors: lexErrors };
  parser.input = lexed.tokens;
  parser.semanticErrors = [];
  const statement = parser.statement();
  const syntaxErrors = parser.errors.map(({ token, message }) => {
    const column = Number.isFinite(token.startColumn) ? (token.startColumn as number) : text.length + 1;
    return { column, message };
  });
  const errors = [...syntaxErrors, ...parser.semanticErrors];
  if (errors.length > 0) return { ok: false, errors };
  return { ok: true, statement };
}
