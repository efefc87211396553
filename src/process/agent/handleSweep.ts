import { compareEpochs } from '../../connection/compareEpochs.js';
import type { Cancel, Sweep, Swept, SweptTask } from '../../connection/messages.js';
import { refuseWaitingTask } from './_lib/changeTask.js';
import { replyResult } from './_lib/replyResult.js';
import type { AgentJob, AgentState } from './agentState.js';
import { grantCredits } from './grantCredits.js';

/**
 * Fences a job for its new owner and sends it the state of all recorded tasks of the job. A sweep with an epoch
 * below the job's is answered as fenced, without tasks.
 *
 * @param state - the agent's state
 * @param from - the entry that took the job over
 * @param sweep - the message
 * @example
 * handleSweep(state, 'entry-2@b', { type: 'sweep', job: 'job-1', createdAt: 0, epoch });
 */
export function handleSweep(state: AgentState, from: string, sweep: Sweep): void {
  const { job: key, createdAt, epoch } = sweep;
  const job = state.jobs.get(key);
  if (!job) {
    state.jobs.set(key, { key, createdAt, epoch, owner: from, tasks: new Map() });
    return sendSwept(state, from, { type: 'swept', job: key, epoch, fenced: false, tasks: [] });
  }
  if (compareEpochs(epoch, job.epoch) < 0) {
    return sendSwept(state, from, { type: 'swept', job: key, epoch, fenced: true, tasks: [] });
  }
  job.epoch = epoch;
  job.owner = from;
  sendSwept(state, from, { type: 'swept', job: key, epoch, fenced: false, tasks: listTasks(job) });
}

/**
 * Refuses the waiting tasks of a failed job. Running tasks continue and their answers are recorded.
 *
 * @param state - the agent's state
 * @param from - the entry that owns the job
 * @param cancel - the message
 * @example
 * handleCancel(state, 'entry-1@a', { type: 'cancel', job: 'job-1', epoch });
 */
export function handleCancel(state: AgentState, from: string, cancel: Cancel): void {
  const job = state.jobs.get(cancel.job);
  if (!job || compareEpochs(cancel.epoch, job.epoch) < 0) return;
  const waiting = state.waiting.filter((task) => task.job === job);
  for (const task of waiting) {
    refuseWaitingTask(state, task, 'cancelled');
    replyResult(state, from, task);
  }
  grantCredits(state);
}

function listTasks(job: AgentJob): SweptTask[] {
  return [...job.tasks.values()].map((task) => ({
    index: task.index,
    attempt: task.attempt,
    state: task.state,
    status: task.status,
    body: task.answer,
    hasBody: task.hasAnswer,
  }));
}

function sendSwept(state: AgentState, to: string, message: Swept): void {
  state.outbox.push({ type: 'send', to, message });
}
