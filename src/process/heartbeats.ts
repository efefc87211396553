/** When peers were last heard, and what that proves. */

/**
 * Finds since when a majority of the registrars has been heard.
 *
 * @param registrars - peers of the registrars of the configuration
 * @param heardAt - returns when a peer was last heard, ms since the epoch; -Infinity for never
 * @returns the latest time at or after which more than half were heard; -Infinity without registrars
 * @example
 * findMajorityAt(['a', 'b', 'c'], (peer) => ({ a: 5, b: 9, c: 1 })[peer] ?? 0); // 5
 */
export function findMajorityAt(registrars: readonly string[], heardAt: (peer: string) => number): number {
  if (registrars.length === 0) return Number.NEGATIVE_INFINITY;
  const times = registrars.map(heardAt).sort((left, right) => right - left);
  return times[Math.floor(registrars.length / 2)] ?? Number.NEGATIVE_INFINITY;
}
