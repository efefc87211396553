/** Tasks of a dispatcher that wait for an executor, kept by rank and listed in the order of placement. */
import type { QueueRoute } from '../../version/configuration.js';
import type { DispatchJob, DispatchTask } from './dispatchJob.js';
import { DeadlineOrder } from './TaskOrder.js';
import type { TaskOrder } from './TaskOrder.js';

/** Waiting tasks, sorted by rank. */
export class Backlog {
  private readonly tasks: DispatchTask[] = [];

  constructor(private readonly order: TaskOrder = new DeadlineOrder()) {}

  /** Number of tasks; those that no longer wait are counted until `prune`. */
  get size(): number {
    return this.tasks.length;
  }

  /** Sums the CPU that the waiting tasks require, thousandths of a core. */
  sumCpuMilli(): number {
    let cpuMilli = 0;
    for (const { phase, need } of this.tasks) if (phase === 'waiting') cpuMilli += need.resources.cpuMilli;
    return cpuMilli;
  }

  /** Counts the tasks by a property of their queue. */
  countBy(describe: (route: QueueRoute) => string): Map<string, number> {
    const counts = new Map<string, number>();
    for (const { job } of this.tasks) {
      const key = describe(job.submission.route);
      counts.set(key, (counts.get(key) ?? 0) + 1);
    }
    return counts;
  }

  /** Adds the waiting tasks of a new job. */
  admit(job: DispatchJob, now: number): void {
    this.order.recordArrived(job, now);
    for (const task of job.tasks) if (task.phase === 'waiting') this.add(task);
  }

  /** Records that a task was sent; `prune` removes it. */
  recordSent(task: DispatchTask, now: number): void {
    this.order.recordSent(task, now);
  }

  /** Records that a task was returned without having run. */
  recordReturned(task: DispatchTask, now: number): void {
    this.order.recordReturned(task, now);
  }

  /** Inserts a task after those of the same rank. */
  add(task: DispatchTask): void {
    let low = 0;
    let high = this.tasks.length;
    while (low < high) {
      const middle = (low + high) >>> 1;
      if ((this.tasks[middle]?.job.rank ?? 0) <= task.job.rank) low = middle + 1;
      else high = middle;
    }
    this.tasks.splice(low, 0, task);
  }

  /** Removes the tasks that no longer wait. */
  prune(): void {
    let kept = 0;
    for (const task of this.tasks) {
      if (task.phase === 'waiting') this.tasks[kept++] = task;
    }
    this.tasks.length = kept;
  }

  /** Lists the tasks in the order of placement. */
  list(now: number, typicalSpeed: number): DispatchTask[] {
    return this.order.list(this.tasks, { now, typicalSpeed });
  }
}
