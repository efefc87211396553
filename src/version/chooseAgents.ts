import { chooseEvenly } from '../_lib/chooseEvenly.js';
import { hashText } from '../_lib/hash.js';

/** An agent that an entry may link to. */
export interface AgentPlace {
  readonly id: string;
  readonly failureDomain: string;
}

/**
 * Chooses the agents that an entry links to, by rendezvous hashing and evenly over the failure domains.
 *
 * @param agents - all live agents
 * @param entry - process id of the entry
 * @param max - maximum number of agents to choose
 * @returns the chosen agents
 * @example
 * chooseAgents([{ id: 'a', failureDomain: 'x' }], 'entry-1', 8).length; // 1
 */
export function chooseAgents<Place extends AgentPlace>(
  agents: readonly Place[],
  entry: string,
  max: number,
): Place[] {
  const weighted = agents.map((place) => {
    const { failureDomain } = place;
    return { place, failureDomain, weight: hashText(`${entry}/${place.id}`) };
  });
  return chooseEvenly(weighted, max).map(({ place }) => place);
}
