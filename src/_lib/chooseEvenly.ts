/** Something that can be chosen: where it stands and how much the chooser prefers it. */
export interface WeightedPlace {
  readonly failureDomain: string;
  /** Rendezvous weight for the chooser: a hash of both. */
  readonly weight: number;
}

/**
 * Chooses places by rendezvous, evenly over the failure domains: in turn the one with the highest weight of each
 * domain. A round that is not whole takes the domains whose best place has the highest weight, so that no domain is
 * preferred by everyone. A change of one place moves few choices.
 *
 * @param places - all places
 * @param max - most places to choose
 * @returns the chosen ones
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
