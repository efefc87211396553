import { assertInvariant } from '../../_lib/assertInvariant.js';
import { createJob } from '../../request/job.js';
import type { Job, JobAnswer, JobRequest } from '../../request/job.js';
import { digestJob, findDifferences } from '../../request/digestJob.js';
import type { EventConfig } from '../../version/configState.js';
import { findShares, forecastAhead } from './_lib/backlog.js';
import { countOwnSlots } from './_lib/countOwnSlots.js';
import { changeJob, logDecision } from './_lib/jobChanges.js';
import { deliverAnswer } from './_lib/endJob.js';
import { startClaim } from './_lib/sendClaim.js';
import type { EntryState } from './entryState.js';

/** Retry hint when the entry itself is full or leaving, ms. */
const BUSY_RETRY_MS = 1_000;

/**
 * Takes a submission. A job that is known attaches the caller to its answer; a new one is judged by the
 * admission and its key claimed. A refused job is looked up first, because "not run" must be true.
 *
 * @param state - the entry's state
 * @param request - the checked submission, of an event that the configuration knows
 * @param caller - id of the waiting connection, by which the answer effect names it
 * @param now - ms since the epoch
 * @example
 * submitJob(state, request, 'connection-1', Date.now());
 */
export function submitJob(state: EntryState, request: JobRequest, caller: string, now: number): void {
  const digest = digestJob(request);
  const known = state.jobs.get(request.job);
  if (known) return joinJob(state, known, digest, caller, now);
  if (request.createdAt + state.limits.horizonMs < now) {
    const old = { outcome: 'failed', ran: 'unknown', reason: 'key-too-old', retryAfterMs: 0 } as const;
    return answerCaller(state, caller, request.job, old);
  }
  if (isOverfull(state)) {
    const reason = state.leaving ? 'leaving' : 'entry-full';
    const full = { outcome: 'failed', ran: 'unknown', reason, retryAfterMs: BUSY_RETRY_MS } as const;
    return answerCaller(state, caller, request.job, full);
  }
  const event = state.config.events.find((one) => one.name === request.event);
  assertInvariant(event !== undefined, `job ${request.job} of an unknown event was let through`);
  const job = openJob(state, request, digest, event, now);
  job.callers.push(caller);
  job.refusal = judgeJob(state, job, event, now);
  startClaim(state, job, job.refusal ? 'lookup' : 'claim', now);
}

/** Twice the bound of admitted jobs may be looked up at once; past it nothing can be said of a job. */
function isOverfull(state: EntryState): boolean {
  if (state.leaving) return true;
  return state.active.size >= 2 * state.limits.maxActiveJobs || state.bytes >= state.limits.maxBytes;
}

function joinJob(state: EntryState, job: Job, digest: string, caller: string, now: number): void {
  if (job.digest !== digest) {
    const differs = findDifferences(job.digest, digest);
    return answerCaller(state, caller, job.key, { outcome: 'conflict', differs });
  }
  job.callers.push(caller);
  if (job.state === 'refused' || job.unclaimed) return reopenJob(state, job, now);
  if (job.answer) deliverAnswer(state, job);
}

/** Nothing of the job ran here, so it is judged anew, under its old claim or a new one. */
function reopenJob(state: EntryState, job: Job, now: number): void {
  const event = state.config.events.find((one) => one.name === job.event);
  if (!event || isOverfull(state)) return deliverAnswer(state, job);
  const longest = job.deadline - job.arrivedAt;
  changeJob(job, 'resubmit');
  job.answer = undefined;
  job.unclaimed = false;
  job.arrivedAt = now;
  job.deadline = now + longest;
  state.active.add(job);
  const held = state.answered.indexOf(job);
  if (held >= 0) state.answered.splice(held, 1);
  job.refusal = judgeJob(state, job, event, now);
  startClaim(state, job, job.refusal ? 'lookup' : 'claim', now);
}

function openJob(
  state: EntryState,
  request: JobRequest,
  digest: string,
  event: EventConfig,
  now: number,
): Job {
  const kinds = new Map(event.kinds.map((kind) => [kind.name, kind]));
  const used = [...new Set(request.tasks.map((task) => task.kind))].map((name) => kinds.get(name));
  const priority = Math.min(...used.map((kind) => kind?.priority ?? 0));
  const deadlineMs = request.deadlineMs ?? Math.max(...used.map((kind) => kind?.deadlineMs ?? 0));
  const begin = Math.max(now, event.startAt);
  const expectedMs = (name: string) => {
    return findExpectedMs(state, `${event.name}/${name}`, kinds.get(name)?.expectedMs ?? 0);
  };
  const job = createJob(request, digest, { now, deadline: begin + deadlineMs, priority, expectedMs });
  state.jobs.set(job.key, job);
  state.active.add(job);
  state.bytes += job.bytes;
  return job;
}

/** Samples after which a measured duration replaces the declared one. */
const TRUSTED_SAMPLES = 20;

function findExpectedMs(state: EntryState, kind: string, declaredMs: number): number {
  const stats = state.kinds.get(kind);
  return stats && stats.samples >= TRUSTED_SAMPLES ? stats.meanMs : declaredMs;
}

function judgeJob(state: EntryState, job: Job, event: EventConfig, now: number): Job['refusal'] {
  if (event.endAt > 0 && now >= event.endAt) return { reason: 'event-ended', retryAfterMs: 0 };
  const begin = Math.max(now, event.startAt);
  const workMs = job.remainingMs;
  const { priority } = job;
  const slots = countOwnSlots(state);
  return state.policy.admission.decideJob({
    workMs,
    longestMs: Math.max(...job.tasks.map((task) => task.expectedMs)),
    deadlineMs: job.deadline - begin,
    aheadMs: forecastAhead(state, { priority, workMs, slots, now }),
    slots,
    activeJobs: state.active.size,
    ...findShares(state, job),
    random: state.nextRandom(),
  });
}

function answerCaller(state: EntryState, caller: string, job: string, answer: JobAnswer): void {
  logDecision(state, 'outcome', job, {
    outcome: answer.outcome,
    reason: 'reason' in answer ? answer.reason : '',
  });
  state.outbox.push({ type: 'answer', caller, job, answer });
}
