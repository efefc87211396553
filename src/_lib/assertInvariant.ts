import { InvariantError } from './errors.js';

/**
 * Throws if an invariant does not hold. Other processes tolerate the crash of a process, but not one in an
 * inconsistent state.
 *
 * @param holds - the condition
 * @param message - the violated invariant, for the log
 * @throws InvariantError when the condition is false
 * @example
 * assertInvariant(1 + 1 === 2, 'arithmetic');
 */
export function assertInvariant(holds: boolean, message: string): asserts holds {
  if (!holds) throw new InvariantError(message);
}
