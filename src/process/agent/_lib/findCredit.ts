import type { AgentState, EntryCredit } from '../agentState.js';

/**
 * Creates the credit of an entry, with all counters at 0.
 *
 * @param peer - the entry
 * @returns the credit, marked as not connected
 */
export function createCredit(peer: string): EntryCredit {
  const counters = { granted: 0, reportedGranted: 0, used: 0, outstanding: 0, waiting: 0, headRank: 0 };
  return { peer, ...counters, hasPendingResult: false, connected: false };
}

/**
 * Finds the credit of an entry. Creates it for a new link, and for a start that is processed after its link was
 * closed.
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
