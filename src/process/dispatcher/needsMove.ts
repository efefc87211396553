import type { AttemptProgress } from '../../connection/peer/peerMessages.js';
import type { DispatchTask } from './dispatchJob.js';
import { SLOW_SHARE } from './Placement.js';

/** Stall timeout: the larger of this time, ms, and this fraction of the estimate. */
const STALL_MIN_MS = 160;
const STALL_FRACTION = 0.25;
/** Minimum time that a move must save, ms. */
const MOVE_GAIN_MS = 60;
/** Lower bound of the speed used in estimates, as a fraction of the typical speed. */
const MIN_SPEED_SHARE = 0.02;

/**
 * Checks whether a running task should be restarted elsewhere: it is stalled, or it is slow and would be
 * late, and a new attempt can end before the caller timeout.
 *
 * @param task - the task
 * @param progress - progress reported by its executor
 * @param speed - speed of its upstream, in ms of estimates per ms
 * @param typicalSpeed - typical speed of all upstreams, same unit
 * @param now - monotonic time, ms
 * @returns true if a move would help; whether another executor is available is not checked
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
  if (stalledMs > Math.max(STALL_MIN_MS, estimateMs * STALL_FRACTION)) return true;
  const effectiveSpeed = Math.max(speed, typicalSpeed * MIN_SPEED_SHARE);
  const remainingMs = (task.need.estimateMs * (1 - percent / 100)) / effectiveSpeed;
  if (now + remainingMs <= task.job.objectiveAt) return false;
  return effectiveSpeed < typicalSpeed * SLOW_SHARE && remainingMs > estimateMs + MOVE_GAIN_MS;
}
