import { logFailure } from './failures.js';
import type { ProcessLogger } from './logger.js';

/**
 * Does something again and again. A failure is logged and does not end the process; a broken invariant does.
 *
 * @param logger - of the process
 * @param name - of the timer, for the log
 * @param intervalMs - between two runs
 * @param run - what to do
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
