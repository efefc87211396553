/** An entry among which room is divided. Amounts are thousandths of a core. */
export interface CapacityClaim {
  /** What it asks for: its weight. */
  readonly demand: number;
  /** What its tasks take here. */
  readonly used: number;
  /** Whether it is the one that the agent prefers. */
  readonly isHome: boolean;
}

/**
 * Divides free room among entries, so that what each has here, used and free together, comes as close as can be to its
 * part by demand. Parts are multiples of what a task takes (largest remainder); what is left beyond them goes along with
 * the largest. All of it goes to entries with demand, if there are any.
 *
 * @param free - room to divide, thousandths of a core
 * @param unit - what a task takes
 * @param claims - of the entries
 * @returns the part of each entry, in their order
 * @example
 * divideRoom(3_000, 1_000, [{ demand: 2, used: 0, isHome: true }, { demand: 1, used: 0, isHome: false }]); // [2000, 1000]
 */
export function divideCapacity(free: number, unit: number, claims: readonly CapacityClaim[]): number[] {
  const wants = findWants(free, claims);
  const total = wants.reduce((sum, want) => sum + want, 0);
  const parts = claims.map(() => 0);
  if (free <= 0 || total <= 0) return parts;
  const units = Math.floor(free / unit);
  const exact = wants.map((want) => (units * want) / total);
  exact.forEach((share, at) => (parts[at] = Math.floor(share)));
  const order = claims.map((_, at) => at).filter((at) => (wants[at] ?? 0) > 0);
  order.sort((left, right) => compareRemainders(left, right));
  let left = units - parts.reduce((sum, part) => sum + part, 0);
  for (const at of order) {
    if (left <= 0) break;
    parts[at] = (parts[at] ?? 0) + 1;
    left -= 1;
  }
  const told = parts.map((part) => part * unit);
  const rest = free - units * unit;
  const largest = order.reduce(
    (best, at) => ((parts[at] ?? 0) > (parts[best] ?? 0) ? at : best),
    order[0] ?? 0,
  );
  told[largest] = (told[largest] ?? 0) + rest;
  return told;

  function compareRemainders(one: number, other: number): number {
    const difference = findRemainder(other) - findRemainder(one);
    if (Math.abs(difference) > 1e-9) return difference;
    const byWant = (wants[other] ?? 0) - (wants[one] ?? 0);
    if (byWant !== 0) return byWant;
    return Number(claims[other]?.isHome) - Number(claims[one]?.isHome) || one - other;
  }

  function findRemainder(at: number): number {
    const share = exact[at] ?? 0;
    return share - Math.floor(share);
  }
}

/** What each entry lacks of its part by demand. */
function findWants(free: number, claims: readonly CapacityClaim[]): number[] {
  const demand = claims.reduce((sum, claim) => sum + claim.demand, 0);
  if (demand <= 0) return claims.map(() => 0);
  const room = claims.reduce((sum, { used }) => sum + used, free);
  return claims.map((claim) => Math.max(0, (room * claim.demand) / demand - claim.used));
}
