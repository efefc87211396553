import type { EntryState } from '../entryState.js';

/**
 * Estimates the slots available to an entry: an even share among the entries, or its current use if higher.
 *
 * @param state - the entry's state
 * @returns number of slots at linked agents that are not leaving; may be fractional
 */
export function estimateOwnSlots(state: EntryState): number {
  let slots = 0;
  let used = 0;
  for (const agent of state.agents.values()) {
    if (!agent.connected || agent.leaving) continue;
    slots += agent.slots;
    used += Math.min(agent.slots, agent.outstanding.size);
  }
  return Math.max(used, slots / Math.max(1, state.config.entries.length));
}
