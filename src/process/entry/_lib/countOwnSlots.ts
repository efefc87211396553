import type { EntryState } from '../entryState.js';

/**
 * Counts the slots that an entry can expect: its even share, or what it uses now if that is more.
 *
 * @param state - the entry's state
 * @returns slots of the linked agents that are not leaving
 */
export function countOwnSlots(state: EntryState): number {
  let slots = 0;
  let used = 0;
  for (const agent of state.agents.values()) {
    if (!agent.connected || agent.leaving) continue;
    slots += agent.slots;
    used += Math.min(agent.slots, agent.outstanding.size);
  }
  return Math.max(used, slots / Math.max(1, state.config.entries.length));
}
