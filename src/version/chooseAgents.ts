import { hashText } from '../_lib/hash.js';

/** An agent that an entry may link to. */
export interface AgentPlace {
  readonly id: string;
  readonly failureDomain: string;
}

/**
 * Chooses the agents that an entry links to: for each failure domain in turn the one with the highest
 * rendezvous weight, so that the domains are used evenly, agents are spread evenly over the entries, and a
 * change of one agent moves few links.
 *
 * @param agents - all live agents
 * @param entry - process id of the entry
 * @param max - most agents to choose
 * @returns the chosen ones
 * @example
 * chooseAgents([{ id: 'a', failureDomain: 'x' }], 'entry-1', 8).length; // 1
 */
export function chooseAgents<Place extends AgentPlace>(
  agents: readonly Place[],
  entry: string,
  max: number,
): Place[] {
  if (agents.length <= max) return [...agents];
  const byDomain = new Map<string, { place: Place; weight: number }[]>();
  for (const place of agents) {
    const list = byDomain.get(place.failureDomain) ?? [];
    list.push({ place, weight: hashText(`${entry}/${place.id}`) });
    byDomain.set(place.failureDomain, list);
  }
  const domains = [...byDomain.keys()].sort().map((domain) => byDomain.get(domain) ?? []);
  for (const list of domains) list.sort((left, right) => right.weight - left.weight);
  const chosen: Place[] = [];
  for (let round = 0; chosen.length < max; round += 1) {
    const picked = domains.flatMap((list) => (list[round] ? [list[round].place] : []));
    if (picked.length === 0) break;
    chosen.push(...picked.slice(0, max - chosen.length));
  }
  return chosen;
}
