/** What becomes of errors that no decision has foreseen: a broken invariant ends the process, others are logged. */
import { InvariantError } from '../_lib/errors.js';
import type { LogFields, ProcessLogger } from './logger.js';

/**
 * Logs what was caught and lets the process go on, unless an invariant is broken.
 *
 * @param logger - of the process
 * @param event - of the log line
 * @param fields - what was being done
 * @param error - what was caught
 */
export function logFailure(logger: ProcessLogger, event: string, fields: LogFields, error: unknown): void {
  rethrowInvariant(error);
  logger.error(event, { ...fields, error: describeError(error) });
}

/**
 * Throws an error again, outside of the call that caught it, if it tells of a broken invariant: a dead process is a
 * failure that the others are built for, a wrong one is not.
 *
 * @param error - what was caught
 */
function rethrowInvariant(error: unknown): void {
  if (!(error instanceof InvariantError)) return;
  process.nextTick(() => {
    throw error;
  });
}

/**
 * Describes an error for a log line.
 *
 * @param error - what was caught
 * @returns its stack, or its text where it has none
 */
export function describeError(error: unknown): string {
  return error instanceof Error ? (error.stack ?? error.message) : String(error);
}
