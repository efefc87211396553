/**
 * Chooses the dispatchers that one links to beside its seeds: those that follow it in the order of addresses, until
 * enough of them are linked, so that all dispatchers form a ring.
 *
 * @param own - address of the dispatcher that chooses
 * @param others - addresses of other dispatchers
 * @param count - number of linked ones that are enough
 * @param isLinked - whether the link to an address works
 * @returns the addresses to link to
 * @example
 * chooseNeighbours('b:1', ['a:1', 'c:1', 'd:1'], 2, () => true); // c:1 and d:1
 */
export function chooseNeighbours(
  own: string,
  others: readonly string[],
  count: number,
  isLinked: (address: string) => boolean,
): Set<string> {
  const sorted = [...others].sort();
  const following = [...sorted.filter((other) => other > own), ...sorted.filter((other) => other < own)];
  const chosen = new Set<string>();
  let linked = 0;
  for (const address of following) {
    if (linked >= count) break;
    chosen.add(address);
    if (isLinked(address)) linked += 1;
  }
  return chosen;
}
