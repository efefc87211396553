/** A candidate with its failure domain and weight. */
export interface WeightedPlace {
  readonly failureDomain: string;
  /** Rendezvous weight: a hash of the chooser and the candidate. */
  readonly weight: number;
}

/**
 * Chooses places by rendezvous hashing, evenly over the failure domains. Each round chooses the remaining place
 * with the highest weight of each domain. An incomplete last round chooses the domains by the weight of that
 * place, so that no domain is preferred by all choosers. Adding or removing one place changes few choices.
 *
 * @param places - all places
 * @param max - maximum number of places to choose
 * @returns the chosen places
 * @example
 * chooseEvenly([{ failureDomain: 'x', weight: 1 }], 8).length; // 1
 */
export function chooseEvenly<Place extends WeightedPlace>(places: readonly Place[], max: number): Place[] {
  if (places.length <= max) return [...places];
  const byDomain = new Map<string, Place[]>();
  for (const place of places) {
    const list = byDomain.get(place.failureDomain) ?? [];
    list.push(place);
    byDomain.set(place.failureDomain, list);
  }
  const domains = [...byDomain.values()];
  for (const list of domains) list.sort(compareWeights);
  const chosen: Place[] = [];
  for (let round = 0; chosen.length < max; round += 1) {
    const picked = domains.flatMap((list) => list.slice(round, round + 1)).sort(compareWeights);
    if (picked.length === 0) break;
    chosen.push(...picked.slice(0, max - chosen.length));
  }
  return chosen;
}

function compareWeights(left: WeightedPlace, right: WeightedPlace): number {
  return right.weight - left.weight;
}
