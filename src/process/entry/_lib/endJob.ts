/** The one way in which a job gets its outcome. */
import { assertInvariant } from '../../../_lib/assertInvariant.js';
import type { Job, JobAnswer, Ran } from '../../../request/job.js';
import type { EntryState } from '../entryState.js';
import { addAck } from './acks.js';
import { startClaim } from './sendClaim.js';
import {
  changeJob,
  changeTask,
  dropRequests,
  isActive,
  isOwned,
  logDecision,
  withdrawJob,
} from './jobChanges.js';

/** Hint of an answer that names no better time, ms. */
const DEFAULT_RETRY_MS = 1_000;

/**
 * Ends a job whose every task is answered.
 *
 * @param state - the entry's state
 * @param job - the job
 * @param now - ms since the epoch
 */
export function completeJob(state: EntryState, job: Job, now: number): void {
  assertInvariant(
    job.tasks.every((task) => task.state === 'finished'),
    `job ${job.key} would be answered in part`,
  );
  withdrawJob(state, job);
  changeJob(job, 'complete');
  const answers = job.tasks.map(({ status, answer }) => ({ status, body: answer }));
  ackTasks(state, job);
  settleJob(state, job, { outcome: 'complete', answers }, now);
}

/**
 * Ends a job that cannot be answered whole. Its waiting tasks are stopped at the agents.
 *
 * @param state - the entry's state
 * @param job - the job
 * @param reason - why
 * @param now - ms since the epoch
 */
export function failJob(state: EntryState, job: Job, reason: string, now: number): void {
  const some = job.tasks.some((task) => task.state === 'finished');
  const ran: Ran = some ? 'some' : 'unknown';
  cancelTasks(state, job);
  withdrawJob(state, job);
  changeJob(job, 'fail');
  settleJob(state, job, { outcome: 'failed', ran, reason, retryAfterMs: DEFAULT_RETRY_MS }, now);
}

/**
 * Refuses a job of which nothing started.
 *
 * @param state - the entry's state
 * @param job - the job
 * @param refusal - why, and when to come back
 * @param now - ms since the epoch
 */
export function refuseJob(
  state: EntryState,
  job: Job,
  refusal: { readonly reason: string; readonly retryAfterMs: number },
  now: number,
): void {
  assertInvariant(
    job.tasks.every((task) => task.state === 'queued'),
    `job ${job.key} would be refused after a start`,
  );
  withdrawJob(state, job);
  changeJob(job, 'refuse');
  settleJob(state, job, { outcome: 'refused', ...refusal }, now);
}

/**
 * Ends an active job at its deadline: refused when nothing can have started, else failed. Before the refusal
 * the registrar is asked whether the job is still this entry's, because another may have run it meanwhile.
 *
 * @param state - the entry's state
 * @param job - the job
 * @param reason - why
 * @param now - ms since the epoch
 */
export function expireJob(state: EntryState, job: Job, reason: string, now: number): void {
  const untouched = job.tasks.every((task) => task.state === 'queued');
  const mayRefuse = job.state === 'running' || job.state === 'held';
  if (untouched && mayRefuse && isOwned(job)) {
    withdrawJob(state, job);
    changeJob(job, 'reclaim');
    job.refusal = { reason, retryAfterMs: DEFAULT_RETRY_MS };
    return startClaim(state, job, 'lookup', now);
  }
  job.unclaimed = job.state === 'claiming' && job.epoch.version < 0;
  failJob(state, job, reason, now);
}

/**
 * Ends a job with the answer of the entry that owns it.
 *
 * @param state - the entry's state
 * @param job - an attached job
 * @param answer - the owner's answer
 * @param now - ms since the epoch
 */
export function adoptAnswer(state: EntryState, job: Job, answer: JobAnswer, now: number): void {
  changeJob(job, answer.outcome === 'complete' ? 'complete' : 'fail');
  settleJob(state, job, answer, now);
}

/**
 * Sends a job's answer to everyone who waits for it.
 *
 * @param state - the entry's state
 * @param job - an ended job
 */
export function deliverAnswer(state: EntryState, job: Job): void {
  const { answer } = job;
  assertInvariant(answer !== undefined, `job ${job.key} ended without an answer`);
  for (const caller of job.callers) state.outbox.push({ type: 'answer', caller, job: job.key, answer });
  job.callers = [];
  for (const { peer, id } of job.attached) {
    const absent = answer.outcome === 'refused' || job.unclaimed;
    const attached = { type: 'attached', id, job: job.key } as const;
    // Nothing ran: the other entry may take the job over.
    const message = absent
      ? { ...attached, state: 'absent', answer: '' }
      : { ...attached, state: 'answered', answer: JSON.stringify(answer) };
    state.outbox.push({ type: 'send', to: peer, message });
  }
  job.attached = [];
}

function settleJob(state: EntryState, job: Job, answer: JobAnswer, now: number): void {
  assertInvariant(!isActive(job), `job ${job.key} has an answer and goes on`);
  dropRequests(state, job);
  state.active.delete(job);
  job.answer = answer;
  job.endedAt = now;
  // A refused job may come again; of any other only the answer is needed.
  if (answer.outcome !== 'refused' && !job.unclaimed) forgetTasks(job);
  const bytes =
    answer.outcome === 'complete' ? answer.answers.reduce((sum, one) => sum + one.body.length, 0) : 0;
  state.bytes += bytes - job.bytes;
  job.bytes = bytes;
  state.answered.push(job);
  const reason = 'reason' in answer ? answer.reason : '';
  logDecision(state, 'outcome', job.key, { outcome: answer.outcome, reason, ms: now - job.arrivedAt });
  deliverAnswer(state, job);
}

function forgetTasks(job: Job): void {
  job.tasks = [];
  job.queued = [];
  job.sweeping.clear();
}

function ackTasks(state: EntryState, job: Job): void {
  for (const task of job.tasks) addAck(state, task.agent, job.key, task.index);
}

function cancelTasks(state: EntryState, job: Job): void {
  const agents = new Set<string>();
  for (const task of job.tasks) {
    if (task.state !== 'sent') continue;
    agents.add(task.agent);
    changeTask(state, task, 'lose');
  }
  for (const agent of agents) {
    if (!state.agents.get(agent)?.connected) continue;
    const message = { type: 'cancel', job: job.key, epoch: job.epoch } as const;
    state.outbox.push({ type: 'send', to: agent, message });
  }
}
