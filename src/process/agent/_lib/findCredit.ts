import type { AgentState, EntryCredit } from '../agentState.js';

/**
 * Creates the credit of an entry that was granted nothing.
 *
 * @param peer - the entry
 * @returns the credit, without a link
 */
export function createCredit(peer: string): EntryCredit {
  const counters = { granted: 0, told: 0, used: 0, outstanding: 0, waiting: 0, headRank: 0 };
  return { peer, ...counters, answering: false, connected: false };
}

/**
 * Finds the credit of an entry. A task can arrive over a link whose end was noticed already, so the entry
 * may have to be added.
 *
 * @param state - the agent's state
 * @param peer - the entry
 * @returns its credit
 */
export function findCredit(state: AgentState, peer: string): EntryCredit {
  const known = state.credits.get(peer);
  if (known) return known;
  const credit = createCredit(peer);
  state.credits.set(peer, credit);
  return credit;
}
