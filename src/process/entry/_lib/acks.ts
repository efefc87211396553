/** Batched acknowledgements: one message to an agent covers many jobs. */
import type { EntryState } from '../entryState.js';

/** Interval between acknowledgements to an agent, ms. */
const ACK_INTERVAL_MS = 1_000;

/**
 * Queues an acknowledgement of a task's answer.
 *
 * @param state - the entry's state
 * @param agent - the agent that ran the task
 * @param job - the job's key
 * @param index - the task's index
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
 * Sends the due acknowledgements to linked agents: once per interval, or at once when the agent or this entry is
 * leaving.
 *
 * @param state - the entry's state
 * @param now - ms since the epoch
 */
export function flushAcks(state: EntryState, now: number): void {
  const due = state.leaving || now - state.ackedAt >= ACK_INTERVAL_MS;
  if (due) state.ackedAt = now;
  for (const [agent, byJob] of state.acks) {
    const view = state.agents.get(agent);
    if (view && (!view.connected || !(due || view.leaving))) continue;
    state.acks.delete(agent);
    if (!view) continue;
    const jobs = [...byJob].map(([job, indexes]) => ({ job, indexes }));
    state.outbox.push({ type: 'send', to: agent, message: { type: 'ack', jobs } });
  }
}
