/** Order in which waiting tasks are placed. */
import { computeTaskWork } from './dispatchJob.js';
import type { DispatchJob, DispatchTask } from './dispatchJob.js';

/** State of the dispatcher that an order reads. */
export interface OrderContext {
  readonly now: number;
  /** Typical speed of the upstreams, ms of estimated work per ms. */
  readonly typicalSpeed: number;
}

/** A strategy to order tasks. It may depend on recorded arrivals, sent tasks and returned tasks. */
export abstract class TaskOrder {
  /**
   * Orders the waiting tasks.
   *
   * @param tasks - all waiting tasks, by rank
   * @param context - current time and speed
   * @returns the same tasks in the order of placement
   */
  abstract list(tasks: readonly DispatchTask[], context: OrderContext): DispatchTask[];

  /** Records the arrival of a job. */
  recordArrived(_job: DispatchJob, _now: number): void {}

  /** Records that a task was sent to an executor. */
  recordSent(_task: DispatchTask, _now: number): void {}

  /** Records that a task was returned without having run. */
  recordReturned(_task: DispatchTask, _now: number): void {}
}

/**
 * Places tasks that can still end in time first, by rank, so that late tasks do not delay them. Late tasks
 * follow, those of jobs with the least remaining work first, as these are answered soonest.
 */
export class DeadlineOrder extends TaskOrder {
  override list(tasks: readonly DispatchTask[], context: OrderContext): DispatchTask[] {
    const inTime: DispatchTask[] = [];
    const late: DispatchTask[] = [];
    for (const task of tasks) (canFinishInTime(task, context) ? inTime : late).push(task);
    if (late.length === 0) return inTime;
    late.sort((left, right) => computeRemainingWork(left) - computeRemainingWork(right));
    return [...inTime, ...late];
  }
}

/** Whether a task that starts now should end before its job's objective. */
export function canFinishInTime({ job, need }: DispatchTask, { now, typicalSpeed }: OrderContext): boolean {
  return now + need.estimateMs / typicalSpeed <= job.objectiveAt;
}

/** Estimates a job's remaining work from one of its tasks, thousandths of a core times ms. */
function computeRemainingWork(task: DispatchTask): number {
  return task.job.remaining * computeTaskWork(task);
}
