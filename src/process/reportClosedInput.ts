import type { InputGuard } from '../connection/input/InputGuard.js';
import { LogRateLimiter } from './LogRateLimiter.js';
import type { ProcessLogger } from './logger.js';

/** Limit on log lines about closed connections, per second; a crowd that comes back closes thousands. */
const LINES_PER_S = 5;

/** Labels of a closed connection. */
export interface ClosedInputLabels {
  readonly listener: string;
  readonly reason: string;
  readonly [label: string]: string;
}

/**
 * Logs the connections that are closed because of a limit on unadmitted input, at a limited rate, and counts all.
 *
 * @param guard - guard of the listeners of the process
 * @param logger - logger of the process
 * @param count - counts a closed connection
 */
export function reportClosedInput(
  guard: InputGuard,
  logger: ProcessLogger,
  count: (labels: ClosedInputLabels) => void,
): void {
  const limiter = new LogRateLimiter(LINES_PER_S);
  guard.reportTo(({ listener, reason, heldBytes }) => {
    count({ listener, reason });
    const { budget } = guard;
    const fields = {
      listener,
      reason,
      heldBytes,
      allBytes: budget.heldBytes,
      connections: budget.connections,
    };
    limiter.writeLine(guard.now(), fields, (all) => logger.warn('input-closed', all));
  });
}
