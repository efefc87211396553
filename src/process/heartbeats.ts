/**
 * Finds the latest time since which a majority of the registrars has sent a message.
 *
 * @param registrars - peers of the registrars of the configuration
 * @param findReceivedAt - returns the time of a peer's last message, ms since the epoch; -Infinity for none
 * @returns the latest time since which more than half have sent one; -Infinity without registrars
 * @example
 * findMajorityAt(['a', 'b', 'c'], (peer) => ({ a: 5, b: 9, c: 1 })[peer] ?? 0); // 5
 */
export function findMajorityAt(
  registrars: readonly string[],
  findReceivedAt: (peer: string) => number,
): number {
  if (registrars.length === 0) return Number.NEGATIVE_INFINITY;
  const times = registrars.map(findReceivedAt).sort((left, right) => right - left);
  return times[Math.floor(registrars.length / 2)] ?? Number.NEGATIVE_INFINITY;
}
