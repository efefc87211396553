import type { Start } from '../../connection/messages.js';
import type { EntryEffect, EntryState } from './entryState.js';

/**
 * Ends a turn of the loop: tells the agents how much still waits, on the starts of the turn where there are
 * any, and returns what has to be carried out.
 *
 * @param state - the entry's state
 * @returns the effects of the turn, in order
 * @example
 * for (const effect of finishTurn(state)) carryOut(effect);
 */
export function finishTurn(state: EntryState): readonly EntryEffect[] {
  const waiting = state.waitingTasks;
  const headRank = state.ready.peek()?.rank ?? 0;
  fillStarts(state, waiting, headRank);
  for (const agent of state.agents.values()) {
    if (!agent.connected || agent.leaving) continue;
    if (waiting > 0 === agent.toldWaiting > 0) continue;
    agent.toldWaiting = waiting;
    const message = { type: 'demand', waiting, headRank, used: agent.used } as const;
    state.outbox.push({ type: 'send', to: agent.peer, message });
  }
  const effects = state.outbox;
  state.outbox = [];
  return effects;
}

function fillStarts(state: EntryState, waiting: number, headRank: number): void {
  state.outbox.forEach((effect, place) => {
    if (effect.type !== 'send' || effect.message.type !== 'start') return;
    const message: Start = { ...effect.message, waiting, headRank };
    state.outbox[place] = { ...effect, message };
    const agent = state.agents.get(effect.to);
    if (agent) agent.toldWaiting = waiting;
  });
}
