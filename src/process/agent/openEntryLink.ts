import type { Demand } from '../../connection/messages.js';
import { createCredit, findCredit } from './_lib/findCredit.js';
import type { AgentState } from './agentState.js';
import { grantCredits } from './grantCredits.js';

/**
 * Resets an entry's credit for a new link. Tasks accepted over an earlier link still count as outstanding.
 *
 * @param state - the agent's state
 * @param peer - the entry
 * @example
 * openEntryLink(state, 'entry-1@a');
 */
export function openEntryLink(state: AgentState, peer: string): void {
  const { outstanding } = findCredit(state, peer);
  state.credits.set(peer, { ...createCredit(peer), outstanding, connected: true });
  grantCredits(state);
}

/**
 * Withdraws the unused credits of an entry whose link has closed.
 *
 * @param state - the agent's state
 * @param peer - the entry
 * @example
 * closeEntryLink(state, 'entry-1@a');
 */
export function closeEntryLink(state: AgentState, peer: string): void {
  const credit = state.credits.get(peer);
  if (!credit) return;
  credit.connected = false;
  credit.waiting = 0;
  if (credit.outstanding === 0) state.credits.delete(peer);
  grantCredits(state);
}

/**
 * Records an entry's demand.
 *
 * @param state - the agent's state
 * @param peer - the entry
 * @param demand - the message
 * @example
 * handleDemand(state, 'entry-1@a', { type: 'demand', waiting: 0, headRank: 0, used: 4 });
 */
export function handleDemand(state: AgentState, peer: string, demand: Demand): void {
  const credit = state.credits.get(peer);
  if (!credit) return;
  credit.waiting = demand.waiting;
  credit.headRank = demand.headRank;
  credit.used = Math.max(credit.used, demand.used);
  grantCredits(state);
}
