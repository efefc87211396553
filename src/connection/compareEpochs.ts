import type { Epoch } from './messages.js';

/** Lower than every granted epoch. */
export const NO_EPOCH: Epoch = { version: -1, counter: 0 };

/**
 * Compares two fencing epochs.
 *
 * @param left - one epoch
 * @param right - the other
 * @returns a negative number, 0 or a positive number when `left` is lower, equal or higher
 * @example
 * compareEpochs({ version: 1, counter: 9 }, { version: 2, counter: 0 }) < 0; // true
 */
export function compareEpochs(left: Epoch, right: Epoch): number {
  if (left.version !== right.version) return left.version - right.version;
  return left.counter - right.counter;
}
