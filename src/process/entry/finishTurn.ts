import type { Start } from '../../connection/messages.js';
import type { AgentView, EntryEffect, EntryState, ReadyItem } from './entryState.js';

/**
 * Ends a turn: reports the demand to the agents, on the turn's starts where possible, and returns the effects.
 *
 * @param state - the entry's state
 * @returns the effects of the turn, in order
 * @example
 * for (const effect of finishTurn(state)) applyEffect(effect);
 */
export function finishTurn(state: EntryState): readonly EntryEffect[] {
  const waiting = state.waitingTasks;
  const head = findReadyHead(state);
  const headRank = head?.rank ?? 0;
  addDemandToStarts(state, waiting, headRank);
  if (waiting === 0) sendIdleDemand(state);
  else sendUrgentDemand(state, waiting, headRank, head?.job.queued.length ?? 0);
  const effects = state.outbox;
  state.outbox = [];
  return effects;
}

/** Reports to the agents that no task waits any more, so that they grant their credits to other entries. */
function sendIdleDemand(state: EntryState): void {
  for (const agent of state.agents.values()) {
    if (agent.reportedWaiting > 0) sendDemand(state, agent, 0, 0);
  }
}

/**
 * Reports waiting tasks, or a clearly more urgent first task, to as many agents as the most urgent job has
 * queued tasks, since each can free a slot for one. Agents are selected round-robin.
 */
function sendUrgentDemand(state: EntryState, waiting: number, headRank: number, tasks: number): void {
  const agents = [...state.agents.values()];
  let left = tasks;
  for (let step = 0; step < agents.length && left > 0; step += 1) {
    const agent = agents[(state.demandCursor + step) % agents.length] as AgentView;
    const known = agent.reportedWaiting > 0 && headRank >= agent.reportedHeadRank - state.limits.demandStepMs;
    if (known || !agent.connected || agent.leaving) continue;
    sendDemand(state, agent, waiting, headRank);
    left -= 1;
  }
  state.demandCursor = (state.demandCursor + tasks) % Math.max(1, agents.length);
}

function sendDemand(state: EntryState, agent: AgentView, waiting: number, headRank: number): void {
  if (!agent.connected || agent.leaving) return;
  recordReportedDemand(agent, waiting, headRank);
  const message = { type: 'demand', waiting, headRank, used: agent.used } as const;
  state.outbox.push({ type: 'send', to: agent.peer, message });
}

function findReadyHead(state: EntryState): ReadyItem | undefined {
  for (;;) {
    const item = state.ready.peek();
    if (!item) return undefined;
    if (item.rankVersion === item.job.rankVersion && item.job.queued.length > 0) return item;
    state.ready.pop();
  }
}

function addDemandToStarts(state: EntryState, waiting: number, headRank: number): void {
  state.outbox.forEach((effect, index) => {
    if (effect.type !== 'send' || effect.message.type !== 'start') return;
    const message: Start = { ...effect.message, waiting, headRank };
    state.outbox[index] = { ...effect, message };
    const agent = state.agents.get(effect.to);
    if (agent) recordReportedDemand(agent, waiting, headRank);
  });
}

function recordReportedDemand(agent: AgentView, waiting: number, headRank: number): void {
  agent.reportedWaiting = waiting;
  agent.reportedHeadRank = headRank;
}
