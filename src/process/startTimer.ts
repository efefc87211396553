import { logFailure } from './failures.js';
import type { ProcessLogger } from './logger.js';

/**
 * Runs a function at an interval. Errors are logged, and a broken invariant also ends the process.
 *
 * @param logger - logger of the process
 * @param name - name of the timer in the log
 * @param intervalMs - interval, ms
 * @param run - the function
 * @returns the timer
 */
export function startTimer(
  logger: ProcessLogger,
  name: string,
  intervalMs: number,
  run: () => void,
): NodeJS.Timeout {
  return setInterval(() => {
    try {
      run();
    } catch (error) {
      logFailure(logger, 'timer-failed', { timer: name }, error);
    }
  }, intervalMs);
}
