/** Functions that end a job with its outcome. */
import { assertInvariant } from '../../../_lib/assertInvariant.js';
import type { Job, JobAnswer, Ran } from '../../../request/job.js';
import type { EntryState } from '../entryState.js';
import { addAck } from './acks.js';
import { startClaim } from './sendClaim.js';
import {
  changeJob,
  changeTask,
  clearRequests,
  isActive,
  isOwned,
  logDecision,
  withdrawJob,
} from './jobChanges.js';

/** Default retry hint, ms. */
const DEFAULT_RETRY_MS = 1_000;

/**
 * Ends a job whose tasks are all finished.
 *
 * @param state - the entry's state
 * @param job - the job
 * @param now - ms since the epoch
 */
export function completeJob(state: EntryState, job: Job, now: number): void {
  assertInvariant(
    job.tasks.every((task) => task.state === 'finished'),
    `job ${job.key} has unfinished tasks and cannot be completed`,
  );
  withdrawJob(state, job);
  changeJob(job, 'complete');
  const answers = job.tasks.map(({ status, answer }) => ({ status, body: answer }));
  ackTasks(state, job);
  closeJob(state, job, { outcome: 'complete', answers }, now);
}

/**
 * Ends a job that cannot be completed, and cancels its waiting tasks at the agents.
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
  closeJob(state, job, { outcome: 'failed', ran, reason, retryAfterMs: DEFAULT_RETRY_MS }, now);
}

/**
 * Refuses a job of which no task was started.
 *
 * @param state - the entry's state
 * @param job - the job
 * @param refusal - the reason and the retry hint
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
    `job ${job.key} has started tasks and cannot be refused`,
  );
  withdrawJob(state, job);
  changeJob(job, 'refuse');
  closeJob(state, job, { outcome: 'refused', ...refusal }, now);
}

/**
 * Ends an active job early, for example at its deadline. A running or held job without started tasks is refused
 * once a lookup confirms that no other entry has taken it over; any other job fails.
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
 * Ends an attached job with the answer of the entry that owns it, or with a conflict.
 *
 * @param state - the entry's state
 * @param job - an attached job
 * @param answer - the owner's answer or the conflict
 * @param now - ms since the epoch
 */
export function endWithAnswer(state: EntryState, job: Job, answer: JobAnswer, now: number): void {
  changeJob(job, answer.outcome === 'complete' ? 'complete' : 'fail');
  closeJob(state, job, answer, now);
}

/**
 * Sends a job's answer to all waiting callers and attached entries.
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
    // No task of a refused or unclaimed job was started, so the other entry may take the job over.
    const absent = answer.outcome === 'refused' || job.unclaimed;
    const attached = { type: 'attached', id, job: job.key } as const;
    const message = absent
      ? { ...attached, state: 'absent', answer: '' }
      : { ...attached, state: 'answered', answer: JSON.stringify(answer) };
    state.outbox.push({ type: 'send', to: peer, message });
  }
  job.attached = [];
}

function closeJob(state: EntryState, job: Job, answer: JobAnswer, now: number): void {
  assertInvariant(!isActive(job), `job ${job.key} is still active and cannot record an answer`);
  clearRequests(state, job);
  state.active.delete(job);
  job.answer = answer;
  job.endedAt = now;
  // A refused or unclaimed job may be submitted again; of any other job only the answer is needed.
  if (answer.outcome !== 'refused' && !job.unclaimed) clearTasks(job);
  const bytes =
    answer.outcome === 'complete' ? answer.answers.reduce((sum, one) => sum + one.body.length, 0) : 0;
  state.bytes += bytes - job.bytes;
  job.bytes = bytes;
  state.answered.push(job);
  const reason = 'reason' in answer ? answer.reason : '';
  logDecision(state, 'outcome', job.key, { outcome: answer.outcome, reason, ms: now - job.arrivedAt });
  deliverAnswer(state, job);
}

function clearTasks(job: Job): void {
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
