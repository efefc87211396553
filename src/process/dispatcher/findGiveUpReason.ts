import { computeCriticalPathMs } from './dispatchJob.js';
import type { DispatchJob } from './dispatchJob.js';

/** Time before the caller timeout at which a job is answered, ms; covers the transit time of the answer. */
export const ANSWER_MARGIN_MS = 25;
/** Fraction of the objective after which a job that has not started is checked for usefulness. */
const REVIEW_FRACTION = 0.2;
/** Multiple of the objective after which an answer has no value. */
export const USELESS_AFTER_OBJECTIVES = 3;
/** Fraction of the estimated critical path that a fast upstream may need. */
const FAST_PATH_FRACTION = 0.8;
/**
 * Fraction of the caller timeout after which a late job that has not started is refused, so that its caller
 * can submit it to another dispatcher.
 */
const WAIT_FRACTION = 0.4;

/** Reason to give up a job. */
export type GiveUpReason = 'deadline' | 'cannot-finish' | 'no-room';

/**
 * Checks whether the waiting tasks can still end by a time at a fast upstream.
 *
 * @param job - the job
 * @param until - monotonic time, ms
 * @param now - monotonic time, ms
 * @param typicalSpeed - typical speed of the upstreams, ms of estimated work per ms
 * @returns false if the job cannot be completed in time
 */
function canFinishBefore(job: DispatchJob, until: number, now: number, typicalSpeed: number): boolean {
  const fastSpeed = typicalSpeed / FAST_PATH_FRACTION;
  return job.tasks.every(
    ({ phase, need }) => phase !== 'waiting' || now + need.estimateMs / fastSpeed <= until,
  );
}

/**
 * Finds the reason to give up a job: its caller timeout expires before it can end, or it has not started and
 * its answer would be too late to be useful or it has waited for too long.
 *
 * @param job - an open job
 * @param now - monotonic time, ms
 * @param typicalSpeed - typical speed of the upstreams, ms of estimated work per ms
 * @returns the reason, or undefined if the job is kept
 */
export function findGiveUpReason(
  job: DispatchJob,
  now: number,
  typicalSpeed: number,
): GiveUpReason | undefined {
  const { arrivedAt, objectiveAt } = job;
  const answerBy = job.deadlineAt - ANSWER_MARGIN_MS;
  if (now >= answerBy) return 'deadline';
  if (!canFinishBefore(job, answerBy, now, typicalSpeed)) return 'cannot-finish';
  if (job.begun || job.outstanding > 0) return undefined;
  const criticalPathMs = computeCriticalPathMs(job.submission.steps) / typicalSpeed;
  const endsAt = now + criticalPathMs * FAST_PATH_FRACTION;
  if (endsAt > answerBy) return 'cannot-finish';
  const waitedMs = now - arrivedAt;
  const objectiveMs = objectiveAt - arrivedAt;
  if (waitedMs < objectiveMs * REVIEW_FRACTION) return undefined;
  if (endsAt > arrivedAt + objectiveMs * USELESS_AFTER_OBJECTIVES) return 'cannot-finish';
  const isLate = now > objectiveAt - criticalPathMs;
  return isLate && waitedMs > (job.deadlineAt - arrivedAt) * WAIT_FRACTION ? 'no-room' : undefined;
}
