/** Acknowledgements wait a while, so that many jobs share one message. */
import type { EntryState } from '../entryState.js';

/** Between two messages of acknowledgements to an agent, ms. */
const ACK_EVERY_MS = 1_000;

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
 * Sends the acknowledgements that are due to agents that are linked: once a second, or at once when the
 * agent or this entry waits for them in order to leave.
 *
 * @param state - the entry's state
 * @param now - ms since the epoch
 */
export function flushAcks(state: EntryState, now: number): void {
  const due = state.leaving || now - state.ackedAt >= ACK_EVERY_MS;
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
