import type { Epoch } from './messages.js';

/** The epoch below every granted one. */
export const NO_EPOCH: Epoch = { version: -1, counter: 0 };

/**
 * Orders two fencing epochs.
 *
 * @param left - one epoch
 * @param right - the other
 * @returns negative, zero or positive as `left` is lower, equal or higher
 * @example
 * compareEpochs({ version: 1, counter: 9 }, { version: 2, counter: 0 }) < 0; // true
 */
export function compareEpochs(left: Epoch, right: Epoch): number {
  if (left.version !== right.version) return left.version - right.version;
  return left.counter - right.counter;
}
