/** Jobs of a dispatcher, and resubmitted jobs of which tasks of an earlier submission may still run. */
import type { AttemptName } from '../../connection/peer/peerMessages.js';
import { findTask, isOutstanding } from './dispatchJob.js';
import type { DispatchJob, DispatchTask } from './dispatchJob.js';
import { Successors } from './Successors.js';
import type { Submission } from './Successors.js';

/** Jobs of one dispatcher, by id. */
export class JobTable {
  private readonly jobs = new Map<string, DispatchJob>();
  readonly successors = new Successors();

  /** Counts the jobs whose caller waits. */
  countOpen(): number {
    let open = this.successors.size;
    for (const job of this.jobs.values()) if (!job.answered) open += 1;
    return open;
  }

  /** Counts the open jobs of a queue of which no task was sent yet, with those that wait for an earlier submission. */
  countPending(routeName: string): number {
    let count = this.successors.countPending(routeName);
    for (const job of this.jobs.values()) {
      if (!job.answered && !job.offered && job.submission.route.name === routeName) count += 1;
    }
    return count;
  }

  /** Lists all jobs, including answered ones of which tasks may still run. */
  list(): DispatchJob[] {
    return [...this.jobs.values()];
  }

  add(job: DispatchJob): void {
    this.jobs.set(job.id, job);
  }

  find(id: string): DispatchJob | undefined {
    return this.jobs.get(id);
  }

  /** Finds a job whose caller waits. */
  findOpen(id: string): DispatchJob | undefined {
    const job = this.jobs.get(id);
    return job?.answered ? undefined : job;
  }

  /** Finds the task of an attempt. */
  findTask({ job: id, step, index }: AttemptName): DispatchTask | undefined {
    const job = this.jobs.get(id);
    return job && findTask(job, step, index);
  }

  /** Lists the tasks with an outstanding attempt at an executor. */
  listTasksAt(executorId: string): DispatchTask[] {
    const tasks: DispatchTask[] = [];
    for (const job of this.jobs.values()) {
      for (const task of job.tasks)
        if (task.executorId === executorId && isOutstanding(task)) tasks.push(task);
    }
    return tasks;
  }

  /** Removes a job, and returns the submission that replaces it. */
  delete(id: string): Submission | undefined {
    this.jobs.delete(id);
    return this.successors.take(id);
  }
}
