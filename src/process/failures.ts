/** What becomes of errors that no decision has foreseen: a broken invariant ends the process, others are logged. */
import { InvariantError } from '../_lib/errors.js';

/**
 * Throws an error again, outside of the call that caught it, if it tells of a broken invariant: a dead process is a
 * failure that the others are built for, a wrong one is not.
 *
 * @param error - what was caught
 */
export function rethrowInvariant(error: unknown): void {
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
