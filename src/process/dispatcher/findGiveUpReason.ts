import { findChainMs } from './dispatchJob.js';
import type { DispatchJob } from './dispatchJob.js';

/** A deadline is answered so long before the caller stops waiting, ms: its answer needs some ms on the way. */
export const ANSWER_MARGIN_MS = 25;
/** Part of the objective after which a job that was never offered is judged, as the users price it. */
const JUDGE_PART = 0.2;
/** An answer later than so many objectives is of no use to the users; from their rules. */
export const USELESS_FACTOR = 3;
/** Part of the estimated chain that a fast upstream may need. */
const FAST_CHAIN_PART = 0.8;
/** Part of a caller's patience after which a job that nobody could take is refused, so that it can go elsewhere. */
const HELD_PART = 0.4;

/** Why a job is given up. */
export type GiveUpReason = 'deadline' | 'cannot-finish' | 'no-room';

/**
 * Tells whether the tasks that wait for an agent may still end by a time, at a fast upstream.
 *
 * @param job - the job
 * @param until - monotonic time, ms
 * @param now - monotonic time, ms
 * @param typicalSpeed - work per ms of the upstreams, in ms of estimates
 * @returns false if the job cannot be completed by then
 */
function canEndBefore(job: DispatchJob, until: number, now: number, typicalSpeed: number): boolean {
  const fastSpeed = typicalSpeed / FAST_CHAIN_PART;
  return job.tasks.every(
    ({ phase, need }) => phase !== 'waiting' || now + need.estimateMs / fastSpeed <= until,
  );
}

/**
 * Finds whether a job is to be given up: because its caller stops waiting, now or before it can end, or because nothing
 * of it runs and its answer would come too late to be of use.
 *
 * @param job - a job that was not answered
 * @param now - monotonic time, ms
 * @param typicalSpeed - work per ms of the upstreams, in ms of estimates
 * @returns the reason, or undefined while the job is to be served
 */
export function findGiveUpReason(
  job: DispatchJob,
  now: number,
  typicalSpeed: number,
): GiveUpReason | undefined {
  const { arrivedAt, objectiveAt } = job;
  const answerBy = job.deadlineAt - ANSWER_MARGIN_MS;
  if (now >= answerBy) return 'deadline';
  if (!canEndBefore(job, answerBy, now, typicalSpeed)) return 'cannot-finish';
  if (job.begun || job.out > 0) return undefined;
  const chainMs = findChainMs(job.submission.steps) / typicalSpeed;
  const endsAt = now + chainMs * FAST_CHAIN_PART;
  if (endsAt > answerBy) return 'cannot-finish';
  const waitedMs = now - arrivedAt;
  const objectiveMs = objectiveAt - arrivedAt;
  if (waitedMs < objectiveMs * JUDGE_PART) return undefined;
  if (endsAt > arrivedAt + objectiveMs * USELESS_FACTOR) return 'cannot-finish';
  const isLate = now > objectiveAt - chainMs;
  return isLate && waitedMs > (job.deadlineAt - arrivedAt) * HELD_PART ? 'no-room' : undefined;
}
