import type { FaultDirection, MessageFault } from '../connection/peer/MessageFault.js';
import { LogRateLimiter } from './LogRateLimiter.js';
import type { ProcessLogger } from './logger.js';

/** Limit on log lines about faults, per second. */
const FAULT_LINES_PER_S = 10;

/**
 * Creates a function that logs and counts the parts of messages that were left out or changed.
 *
 * @param logger - logger of the process
 * @param now - reads the monotonic clock, ms
 * @param count - counts a fault by the labels of its metric
 */
export function createFaultReporter(
  logger: ProcessLogger,
  now: () => number,
  count: (labels: Readonly<Record<string, string>>) => void,
): (fault: MessageFault, direction: FaultDirection) => void {
  const limiter = new LogRateLimiter(FAULT_LINES_PER_S);
  return ({ type, field, count: parts, problem }, direction) => {
    count({ direction, type });
    limiter.writeLine(now(), { direction, type, field, parts, problem }, (fields) =>
      logger.warn('message-fault', fields),
    );
  };
}
