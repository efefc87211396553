/** Handles unexpected errors: all are logged, and a broken invariant also ends the process. */
import { InvariantError } from '../_lib/errors.js';
import type { LogFields, ProcessLogger } from './logger.js';

/**
 * Logs an unexpected error, and ends the process if an invariant is broken.
 *
 * @param logger - logger of the process
 * @param event - event name of the log line
 * @param fields - context of the failure
 * @param error - the caught error
 */
export function logFailure(logger: ProcessLogger, event: string, fields: LogFields, error: unknown): void {
  rethrowInvariant(error);
  logger.error(event, { ...fields, error: describeError(error) });
}

/**
 * Rethrows a broken invariant outside of the call that caught it, so that the process ends. Other processes
 * tolerate a crash, but not a process in an inconsistent state.
 *
 * @param error - the caught error
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
 * @param error - the caught error
 * @returns its stack, or its text if it has none
 */
export function describeError(error: unknown): string {
  return error instanceof Error ? (error.stack ?? error.message) : String(error);
}
