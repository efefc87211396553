import { assertInvariant } from '../../_lib/assertInvariant.js';
import { createJob } from '../../request/job.js';
import type { Job, JobAnswer, JobRequest } from '../../request/job.js';
import { digestJob, findDifferences } from '../../request/digestJob.js';
import type { EventConfig } from '../../version/configState.js';
import { findShares, forecastAhead } from './_lib/backlog.js';
import { estimateOwnSlots } from './_lib/estimateOwnSlots.js';
import { changeJob, logDecision } from './_lib/jobChanges.js';
import { deliverAnswer } from './_lib/endJob.js';
import { startClaim } from './_lib/sendClaim.js';
import type { EntryState } from './entryState.js';

/** Retry hint of an entry that is overloaded or leaving, ms. */
const BUSY_RETRY_MS = 1_000;

/**
 * Handles a submission. A caller of a known job receives that job's answer. A new job is claimed if admission
 * control accepts it; before a refusal its key is looked up, to confirm that the job has not run.
 *
 * @param state - the entry's state
 * @param request - the validated submission, of a configured event
 * @param caller - id of the waiting connection, repeated in the answer effect
 * @param now - ms since the epoch
 * @example
 * submitJob(state, request, 'connection-1', Date.now());
 */
export function submitJob(state: EntryState, request: JobRequest, caller: string, now: number): void {
  const digest = digestJob(request);
  const known = state.jobs.get(request.job);
  if (known) return attachCaller(state, known, digest, caller, now);
  if (request.createdAt + state.limits.horizonMs < now) {
    const old = { outcome: 'failed', ran: 'unknown', reason: 'key-too-old', retryAfterMs: 0 } as const;
    return answerCaller(state, caller, request.job, old);
  }
  if (isOverloaded(state)) {
    const reason = state.leaving ? 'leaving' : 'entry-full';
    const full = { outcome: 'failed', ran: 'unknown', reason, retryAfterMs: BUSY_RETRY_MS } as const;
    return answerCaller(state, caller, request.job, full);
  }
  const event = state.config.events.find((one) => one.name === request.event);
  assertInvariant(event !== undefined, `job ${request.job} names an event that is not configured`);
  const job = addJob(state, request, digest, event, now);
  job.callers.push(caller);
  job.refusal = evaluateAdmission(state, job, event, now);
  startClaim(state, job, job.refusal ? 'lookup' : 'claim', now);
}

/** Checks whether the entry is leaving or full. Refused jobs count too until their lookup ends, hence the factor 2. */
function isOverloaded(state: EntryState): boolean {
  if (state.leaving) return true;
  return state.active.size >= 2 * state.limits.maxActiveJobs || state.bytes >= state.limits.maxBytes;
}

function attachCaller(state: EntryState, job: Job, digest: string, caller: string, now: number): void {
  if (job.digest !== digest) {
    const differs = findDifferences(job.digest, digest);
    return answerCaller(state, caller, job.key, { outcome: 'conflict', differs });
  }
  job.callers.push(caller);
  if (job.state === 'refused' || job.unclaimed) return reopenJob(state, job, now);
  if (job.answer) deliverAnswer(state, job);
}

/** Evaluates admission again for a job that ended without running; it reuses its claim or makes a new one. */
function reopenJob(state: EntryState, job: Job, now: number): void {
  const event = state.config.events.find((one) => one.name === job.event);
  if (!event || isOverloaded(state)) return deliverAnswer(state, job);
  const deadlineMs = job.deadline - job.arrivedAt;
  changeJob(job, 'resubmit');
  job.answer = undefined;
  job.unclaimed = false;
  job.arrivedAt = now;
  job.deadline = now + deadlineMs;
  state.active.add(job);
  const answeredIndex = state.answered.indexOf(job);
  if (answeredIndex >= 0) state.answered.splice(answeredIndex, 1);
  job.refusal = evaluateAdmission(state, job, event, now);
  startClaim(state, job, job.refusal ? 'lookup' : 'claim', now);
}

function addJob(
  state: EntryState,
  request: JobRequest,
  digest: string,
  event: EventConfig,
  now: number,
): Job {
  const kinds = new Map(event.kinds.map((kind) => [kind.name, kind]));
  const usedKinds = [...new Set(request.tasks.map((task) => task.kind))].map((name) => kinds.get(name));
  const priority = Math.min(...usedKinds.map((kind) => kind?.priority ?? 0));
  const deadlineMs = request.deadlineMs ?? Math.max(...usedKinds.map((kind) => kind?.deadlineMs ?? 0));
  const startsAt = Math.max(now, event.startAt);
  const expectedMs = (name: string) => {
    return findExpectedMs(state, `${event.name}/${name}`, kinds.get(name)?.expectedMs ?? 0);
  };
  const job = createJob(request, digest, { now, deadline: startsAt + deadlineMs, priority, expectedMs });
  state.jobs.set(job.key, job);
  state.active.add(job);
  state.bytes += job.bytes;
  return job;
}

/** Number of samples after which the measured duration replaces the declared one. */
const MIN_SAMPLES = 20;

function findExpectedMs(state: EntryState, kind: string, declaredMs: number): number {
  const stats = state.kinds.get(kind);
  return stats && stats.samples >= MIN_SAMPLES ? stats.meanMs : declaredMs;
}

function evaluateAdmission(state: EntryState, job: Job, event: EventConfig, now: number): Job['refusal'] {
  if (event.endAt > 0 && now >= event.endAt) return { reason: 'event-ended', retryAfterMs: 0 };
  const startsAt = Math.max(now, event.startAt);
  const workMs = job.remainingMs;
  const { priority } = job;
  const slots = estimateOwnSlots(state);
  return state.policy.admission.decideJob({
    workMs,
    longestMs: Math.max(...job.tasks.map((task) => task.expectedMs)),
    deadlineMs: job.deadline - startsAt,
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
