/** Claim of one dispatcher to a share of the capacity. Amounts are thousandths of a core. */
export interface CapacityClaim {
  /** Demand, used as weight. */
  readonly demand: number;
  /** Capacity that its tasks use. */
  readonly used: number;
  /** Whether it is the preferred dispatcher of the executor. */
  readonly isPreferred: boolean;
}

/**
 * Divides free capacity among dispatchers, so that the used and free capacity of each comes as close as
 * possible to its proportion of the demand. Shares are multiples of the task size (largest remainder method);
 * the remainder below one task is added to the largest share. Dispatchers without demand get nothing.
 *
 * @param free - capacity to divide, thousandths of a core
 * @param unit - size of a task, thousandths of a core
 * @param claims - claims of the dispatchers
 * @returns the share of each dispatcher, in the order of the claims
 * @example
 * divideCapacity(3_000, 1_000, [
 *   { demand: 2, used: 0, isPreferred: true },
 *   { demand: 1, used: 0, isPreferred: false },
 * ]); // [2000, 1000]
 */
export function divideCapacity(free: number, unit: number, claims: readonly CapacityClaim[]): number[] {
  const deficits = findDeficits(free, claims);
  const total = deficits.reduce((sum, deficit) => sum + deficit, 0);
  const taskCounts = claims.map(() => 0);
  if (free <= 0 || total <= 0) return taskCounts;
  const units = Math.floor(free / unit);
  const exact = deficits.map((deficit) => (units * deficit) / total);
  exact.forEach((share, at) => (taskCounts[at] = Math.floor(share)));
  const order = claims.map((_, at) => at).filter((at) => (deficits[at] ?? 0) > 0);
  order.sort((left, right) => compareRemainders(left, right));
  let unassigned = units - taskCounts.reduce((sum, count) => sum + count, 0);
  for (const at of order) {
    if (unassigned <= 0) break;
    taskCounts[at] = (taskCounts[at] ?? 0) + 1;
    unassigned -= 1;
  }
  const shares = taskCounts.map((count) => count * unit);
  const rest = free - units * unit;
  const largest = order.reduce(
    (best, at) => ((taskCounts[at] ?? 0) > (taskCounts[best] ?? 0) ? at : best),
    order[0] ?? 0,
  );
  shares[largest] = (shares[largest] ?? 0) + rest;
  return shares;

  function compareRemainders(first: number, second: number): number {
    const difference = findRemainder(second) - findRemainder(first);
    if (Math.abs(difference) > 1e-9) return difference;
    const byDeficit = (deficits[second] ?? 0) - (deficits[first] ?? 0);
    if (byDeficit !== 0) return byDeficit;
    return Number(claims[second]?.isPreferred) - Number(claims[first]?.isPreferred) || first - second;
  }

  function findRemainder(at: number): number {
    const share = exact[at] ?? 0;
    return share - Math.floor(share);
  }
}

/** Finds how far the used capacity of each dispatcher is below its proportion of the demand. */
function findDeficits(free: number, claims: readonly CapacityClaim[]): number[] {
  const demand = claims.reduce((sum, claim) => sum + claim.demand, 0);
  if (demand <= 0) return claims.map(() => 0);
  const total = claims.reduce((sum, { used }) => sum + used, free);
  return claims.map((claim) => Math.max(0, (total * claim.demand) / demand - claim.used));
}
