/** Tasks of one entry that wait for an agent, kept by rank and listed in the order in which they are offered. */
import type { QueueRoute } from '../../version/configuration.js';
import type { DispatchJob, DispatchTask } from './dispatchJob.js';
import { DeadlineOrder } from './TaskOrder.js';
import type { TaskOrder } from './TaskOrder.js';

/** Waiting tasks. */
export class Backlog {
  private readonly tasks: DispatchTask[] = [];

  constructor(private readonly order: TaskOrder = new DeadlineOrder()) {}

  get size(): number {
    return this.tasks.length;
  }

  /** Processor room that the waiting tasks ask for, thousandths of a core. */
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

  /** Adds what waits of a job that has arrived. */
  admit(job: DispatchJob, now: number): void {
    this.order.noteArrived(job, now);
    for (const task of job.tasks) if (task.phase === 'waiting') this.add(task);
  }

  /** A task was sent; it is removed with the next `prune`. */
  noteSent(task: DispatchTask, now: number): void {
    this.order.noteSent(task, now);
  }

  /** A task that was sent was not run. */
  noteReturned(task: DispatchTask, now: number): void {
    this.order.noteReturned(task, now);
  }

  /** Adds a task behind those of its rank. */
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

  /** Tasks in the order in which they are offered. */
  list(now: number, typicalSpeed: number): DispatchTask[] {
    return this.order.list(this.tasks, { now, typicalSpeed });
  }
}
