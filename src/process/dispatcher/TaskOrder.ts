/** In which order the tasks that wait for an agent are offered to agents. */
import { measureWork } from './dispatchJob.js';
import type { DispatchJob, DispatchTask } from './dispatchJob.js';

/** What an order may know besides the tasks. */
export interface OrderContext {
  readonly now: number;
  /** Typical work per ms of the upstreams, in ms of estimates. */
  readonly typicalSpeed: number;
}

/** An order of tasks. It hears of what arrives, is sent and comes back, so that it can keep shares. */
export abstract class TaskOrder {
  /**
   * @param tasks - all that wait, by rank
   * @param context - the moment and the dispatcher's figures
   * @returns the same tasks, first offered first
   */
  abstract list(tasks: readonly DispatchTask[], context: OrderContext): DispatchTask[];

  /** A job has arrived. */
  noteArrived(_job: DispatchJob, _now: number): void {}

  /** A task was sent to an agent. */
  noteSent(_task: DispatchTask, _now: number): void {}

  /** A task that was sent was not run. */
  noteReturned(_task: DispatchTask, _now: number): void {}
}

/**
 * First tasks that can still end in time, by rank: what is late already must not make others late. Then the others,
 * those of jobs with the least work left first, which are answered soonest.
 */
export class DeadlineOrder extends TaskOrder {
  override list(tasks: readonly DispatchTask[], context: OrderContext): DispatchTask[] {
    const inTime: DispatchTask[] = [];
    const late: DispatchTask[] = [];
    for (const task of tasks) (canEndInTime(task, context) ? inTime : late).push(task);
    if (late.length === 0) return inTime;
    late.sort((left, right) => sumWorkLeft(left) - sumWorkLeft(right));
    return [...inTime, ...late];
  }
}

/** Whether a task that starts now ends before its job's answer counts as late. */
export function canEndInTime({ job, need }: DispatchTask, { now, typicalSpeed }: OrderContext): boolean {
  return now + need.estimateMs / typicalSpeed <= job.objectiveAt;
}

/** Work that a task's job lacks, in thousandths of a core times ms, if its tasks are alike. */
function sumWorkLeft(task: DispatchTask): number {
  return task.job.left * measureWork(task);
}
