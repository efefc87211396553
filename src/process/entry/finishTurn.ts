import type { Start } from '../../connection/messages.js';
import type { AgentView, EntryEffect, EntryState } from './entryState.js';

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
  const headRank = findHeadRank(state);
  fillStarts(state, waiting, headRank);
  for (const agent of state.agents.values()) {
    if (!agent.connected || agent.leaving || !isNews(agent, waiting, headRank)) continue;
    noteTold(agent, waiting, headRank);
    const message = { type: 'demand', waiting, headRank, used: agent.used } as const;
    state.outbox.push({ type: 'send', to: agent.peer, message });
  }
  const effects = state.outbox;
  state.outbox = [];
  return effects;
}

/** An agent must learn when tasks begin or cease to wait, and when a more urgent one does than it knows of. */
function isNews(agent: AgentView, waiting: number, headRank: number): boolean {
  if (waiting > 0 !== agent.toldWaiting > 0) return true;
  return waiting > 0 && headRank < agent.toldHeadRank;
}

function findHeadRank(state: EntryState): number {
  for (;;) {
    const item = state.ready.peek();
    if (!item) return 0;
    if (item.rankVersion === item.job.rankVersion && item.job.queued.length > 0) return item.rank;
    state.ready.pop();
  }
}

function fillStarts(state: EntryState, waiting: number, headRank: number): void {
  state.outbox.forEach((effect, place) => {
    if (effect.type !== 'send' || effect.message.type !== 'start') return;
    const message: Start = { ...effect.message, waiting, headRank };
    state.outbox[place] = { ...effect, message };
    const agent = state.agents.get(effect.to);
    if (agent) noteTold(agent, waiting, headRank);
  });
}

function noteTold(agent: AgentView, waiting: number, headRank: number): void {
  agent.toldWaiting = waiting;
  agent.toldHeadRank = headRank;
}
