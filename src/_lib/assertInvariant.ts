import { InvariantError } from './errors.js';

/**
 * Stops the program when something that must always hold does not. A dead process is a failure that the
 * other processes are built for; a wrong one is not.
 *
 * @param holds - the condition
 * @param message - what was broken, for the log
 * @throws InvariantError when the condition is false
 * @example
 * assertInvariant(1 + 1 === 2, 'arithmetic');
 */
export function assertInvariant(holds: boolean, message: string): asserts holds {
  if (!holds) throw new InvariantError(message);
}
