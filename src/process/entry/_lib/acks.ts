/** Acknowledgements wait for the next tick, so that many jobs share one message. */
import type { EntryState } from '../entryState.js';

/**
 * Notes that the entry holds an answer.
 *
 * @param state - the entry's state
 * @param agent - where the task ran
 * @param job - the job's key
 * @param index - of the task
 */
export function addAck(state: EntryState, agent: string, job: string, index: number): void {
  if (!state.agents.has(agent)) return;
  const jobs = state.acks.get(agent) ?? new Map<string, number[]>();
  state.acks.set(agent, jobs);
  const indexes = jobs.get(job);
  if (indexes) indexes.push(index);
  else jobs.set(job, [index]);
}

/**
 * Sends the acknowledgements of every agent that is linked.
 *
 * @param state - the entry's state
 */
export function flushAcks(state: EntryState): void {
  for (const [agent, byJob] of state.acks) {
    const view = state.agents.get(agent);
    if (view && !view.connected) continue;
    state.acks.delete(agent);
    if (!view) continue;
    const jobs = [...byJob].map(([job, indexes]) => ({ job, indexes }));
    state.outbox.push({ type: 'send', to: agent, message: { type: 'ack', jobs } });
  }
}
