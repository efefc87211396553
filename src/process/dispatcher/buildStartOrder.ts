import type { StartOrder } from '../../connection/peer/peerMessages.js';
import { buildAttemptName } from './dispatchJob.js';
import type { DispatchTask } from './dispatchJob.js';
import type { ExecutorView } from './ExecutorView.js';

/**
 * Validity of a start on the executor's clock, in ping intervals. It is shorter than the age of the last
 * acknowledged ping after which the executor stops the tasks of this dispatcher, which is 3 ping intervals.
 */
const START_EXPIRY_PING_INTERVALS = 2.4;

/**
 * Builds the order to start the latest attempt of a task.
 *
 * @param task - the task
 * @param executor - executor that is to run it
 * @param now - monotonic time, ms
 * @param pingMs - ping interval of executors, ms
 */
export function buildStartOrder(
  task: DispatchTask,
  executor: ExecutorView,
  now: number,
  pingMs: number,
): StartOrder {
  const { job, need, isIsolated } = task;
  const { spec, route } = job.submission;
  const { resources, estimateMs } = need;
  const order: StartOrder = {
    type: 'start',
    name: buildAttemptName(task),
    service: route.service,
    spec,
    resources,
    estimateMs,
    rank: Math.round(job.rank - now),
    expiresAt: executor.estimateClock(now) + pingMs * START_EXPIRY_PING_INTERVALS,
  };
  return isIsolated ? { ...order, isSuspect: true } : order;
}
