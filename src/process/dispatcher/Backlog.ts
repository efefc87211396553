/** Tasks of one entry that wait for an agent, in order of rank. */
import type { DispatchTask } from './dispatchJob.js';

/** Waiting tasks. */
export class Backlog {
  private readonly tasks: DispatchTask[] = [];

  get size(): number {
    return this.tasks.length;
  }

  /** Processor room that the waiting tasks ask for, thousandths of a core. */
  sumCpuMilli(): number {
    let cpuMilli = 0;
    for (const { phase, need } of this.tasks) if (phase === 'waiting') cpuMilli += need.resources.cpuMilli;
    return cpuMilli;
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

  /**
   * Tasks in order. First those that can still end in time, by rank: what is late already must not make others late.
   * Then the others, those of jobs with the least work left first, which are answered soonest.
   */
  list(now: number, typicalSpeed: number): DispatchTask[] {
    const inTime: DispatchTask[] = [];
    const late: DispatchTask[] = [];
    for (const task of this.tasks) {
      const endsAt = now + task.need.estimateMs / typicalSpeed;
      (endsAt <= task.job.objectiveAt ? inTime : late).push(task);
    }
    if (late.length === 0) return inTime;
    late.sort((left, right) => sumWorkLeft(left) - sumWorkLeft(right));
    return [...inTime, ...late];
  }
}

/** Work that a task's job lacks, in thousandths of a core times ms, if its tasks are alike. */
function sumWorkLeft({ job, need }: DispatchTask): number {
  return job.left * need.resources.cpuMilli * need.estimateMs;
}
