import { findChainMs } from './dispatchJob.js';
import type { DispatchJob } from './dispatchJob.js';

/** A deadline is answered so long before the caller stops waiting, ms: its answer needs some ms on the way. */
export const ANSWER_MARGIN_MS = 25;
/** Part of the objective after which a job that was never offered is judged, as the users price it. */
const JUDGE_PART = 0.2;
/** An answer later than so many objectives is of no use to the users; from their rules. */
const USELESS_FACTOR = 3;
/** Part of the estimated chain that a fast upstream may need. */
const FAST_CHAIN_PART = 0.8;
/** Part of a caller's patience after which a job that nobody could take is refused, so that it can go elsewhere. */
const HELD_PART = 0.4;

/** Why a job is given up. */
export type GiveUpReason = 'deadline' | 'cannot-finish' | 'no-room';

/**
 * Finds whether a job is to be given up: because its caller stops waiting, or because nothing of it runs and its answer
 * would come too late to be of use.
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
  const { arrivedAt, objectiveAt, deadlineAt } = job;
  if (now >= deadlineAt - ANSWER_MARGIN_MS) return 'deadline';
  if (job.begun || job.out > 0) return undefined;
  const waitedMs = now - arrivedAt;
  const objectiveMs = objectiveAt - arrivedAt;
  if (waitedMs < objectiveMs * JUDGE_PART) return undefined;
  const chainMs = findChainMs(job.submission.steps) / typicalSpeed;
  const usefulUntil = Math.min(deadlineAt, arrivedAt + objectiveMs * USELESS_FACTOR);
  if (now + chainMs * FAST_CHAIN_PART > usefulUntil) return 'cannot-finish';
  const isLate = now > objectiveAt - chainMs;
  return isLate && waitedMs > (deadlineAt - arrivedAt) * HELD_PART ? 'no-room' : undefined;
}
