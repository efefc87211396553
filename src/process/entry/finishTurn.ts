import type { Start } from '../../connection/messages.js';
import type { AgentView, EntryEffect, EntryState, ReadyItem } from './entryState.js';

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
  const head = findHead(state);
  const headRank = head?.rank ?? 0;
  fillStarts(state, waiting, headRank);
  if (waiting === 0) tellIdle(state);
  else tellUrgent(state, waiting, headRank, head?.job.queued.length ?? 0);
  const effects = state.outbox;
  state.outbox = [];
  return effects;
}

/** Agents that believe that tasks wait learn that none does, so that others get their credits. */
function tellIdle(state: EntryState): void {
  for (const agent of state.agents.values()) {
    if (agent.toldWaiting > 0) sendDemand(state, agent, 0, 0);
  }
}

/**
 * Agents learn of waiting tasks, or of a clearly more urgent one than they know of: as many agents as the most
 * urgent job has tasks, in turn, since each can free a slot for one.
 */
function tellUrgent(state: EntryState, waiting: number, headRank: number, tasks: number): void {
  const agents = [...state.agents.values()];
  let left = tasks;
  for (let step = 0; step < agents.length && left > 0; step += 1) {
    const agent = agents[(state.demandCursor + step) % agents.length] as AgentView;
    const known = agent.toldWaiting > 0 && headRank >= agent.toldHeadRank - state.limits.demandStepMs;
    if (known || !agent.connected || agent.leaving) continue;
    sendDemand(state, agent, waiting, headRank);
    left -= 1;
  }
  state.demandCursor = (state.demandCursor + tasks) % Math.max(1, agents.length);
}

function sendDemand(state: EntryState, agent: AgentView, waiting: number, headRank: number): void {
  if (!agent.connected || agent.leaving) return;
  noteTold(agent, waiting, headRank);
  const message = { type: 'demand', waiting, headRank, used: agent.used } as const;
  state.outbox.push({ type: 'send', to: agent.peer, message });
}

function findHead(state: EntryState): ReadyItem | undefined {
  for (;;) {
    const item = state.ready.peek();
    if (!item) return undefined;
    if (item.rankVersion === item.job.rankVersion && item.job.queued.length > 0) return item;
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
