/** Jobs of a dispatcher, and resubmitted jobs of which tasks of an earlier submission may still run. */
import type { AttemptName } from '../../connection/peer/peerMessages.js';
import type { Caller } from '../../ports/CallerGateway.js';
import type { JobSubmission } from '../../request/dispatch/submission.js';
import { findTask, isOutstanding } from './dispatchJob.js';
import type { DispatchJob, DispatchTask } from './dispatchJob.js';

/** A submission that waits to be admitted. */
export interface Submission {
  readonly submission: JobSubmission;
  readonly caller: Caller;
  /** When its caller stops waiting, ms. */
  readonly deadlineAt: number;
}

/** Jobs of one dispatcher, by id. */
export class JobTable {
  private readonly jobs = new Map<string, DispatchJob>();
  /** Latest submission of each job of which an earlier submission may still run, by job id. */
  readonly successors = new Map<string, Submission>();

  /** Counts the jobs whose caller waits. */
  countOpen(): number {
    let open = this.successors.size;
    for (const job of this.jobs.values()) if (!job.answered) open += 1;
    return open;
  }

  /** Counts the open jobs of a queue of which no task was sent yet. */
  countPending(routeName: string): number {
    let count = 0;
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
    const successor = this.successors.get(id);
    this.successors.delete(id);
    return successor;
  }
}
