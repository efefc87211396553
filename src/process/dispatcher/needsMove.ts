import type { AttemptProgress } from '../../connection/peer/peerMessages.js';
import type { DispatchTask } from './dispatchJob.js';
import { SLOW_SHARE } from './Placement.js';

/** When an upstream's tasks are moved: no progress for so long, ms, and for this part of the estimate. */
const STALL_MIN_MS = 160;
const STALL_PART = 0.25;
/** A move must save at least this, ms. */
const MOVE_GAIN_MS = 60;
/** Slowest speed that is reckoned with, as a share of the typical one. */
const STANDSTILL_SHARE = 0.02;

/**
 * Tells whether a running task is better begun anew elsewhere: it stands still, or it crawls and would be late.
 *
 * @param task - the task
 * @param progress - what its agent told of it
 * @param speed - of its upstream, work per ms in ms of estimates
 * @param typicalSpeed - of all upstreams
 * @param now - monotonic time, ms
 * @returns true if a move can help; whether there is another place is not looked at
 */
export function needsMove(
  task: DispatchTask,
  { percent, stalledMs }: AttemptProgress,
  speed: number,
  typicalSpeed: number,
  now: number,
): boolean {
  const estimateMs = task.need.estimateMs / typicalSpeed;
  if (now + estimateMs > task.job.deadlineAt) return false;
  if (stalledMs > Math.max(STALL_MIN_MS, estimateMs * STALL_PART)) return true;
  const reckonedSpeed = Math.max(speed, typicalSpeed * STANDSTILL_SHARE);
  const leftMs = (task.need.estimateMs * (1 - percent / 100)) / reckonedSpeed;
  if (now + leftMs <= task.job.objectiveAt) return false;
  return reckonedSpeed < typicalSpeed * SLOW_SHARE && leftMs > estimateMs + MOVE_GAIN_MS;
}
