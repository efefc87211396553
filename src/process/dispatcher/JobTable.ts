/** The jobs of a dispatcher, and those submitted again while tasks of an earlier submission may still run. */
import type { AttemptName } from '../../connection/peer/peerMessages.js';
import type { Caller } from '../../ports/CallerGateway.js';
import type { JobSubmission } from '../../request/dispatch/submission.js';
import { findTask, isOut } from './dispatchJob.js';
import type { DispatchJob, DispatchTask } from './dispatchJob.js';

/** A job that waits to be taken. */
export interface Submission {
  readonly submission: JobSubmission;
  readonly caller: Caller;
  /** When its caller stops waiting, ms. */
  readonly deadlineAt: number;
}

/** Jobs of one dispatcher, by id. */
export class JobTable {
  private readonly jobs = new Map<string, DispatchJob>();
  /** The newest submission of a job of which an earlier one may still run, by job id. */
  readonly successors = new Map<string, Submission>();

  /** Jobs whose caller waits. */
  countOpen(): number {
    let open = this.successors.size;
    for (const job of this.jobs.values()) if (!job.answered) open += 1;
    return open;
  }

  /** Open jobs of a queue that were never offered to an agent. */
  countPending(routeName: string): number {
    let count = 0;
    for (const job of this.jobs.values()) {
      if (!job.answered && !job.offered && job.submission.route.name === routeName) count += 1;
    }
    return count;
  }

  /** All jobs, also those that were answered while tasks of them may run. */
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

  /** Finds the task that an attempt is of. */
  findTask({ job: id, step, index }: AttemptName): DispatchTask | undefined {
    const job = this.jobs.get(id);
    return job && findTask(job, step, index);
  }

  /** Tasks whose newest attempt is out at a life of an agent. */
  listTasksAt(agentId: string): DispatchTask[] {
    const tasks: DispatchTask[] = [];
    for (const job of this.jobs.values()) {
      for (const task of job.tasks) if (task.agent === agentId && isOut(task)) tasks.push(task);
    }
    return tasks;
  }

  /** Forgets a job, and returns the submission that came in its place. */
  delete(id: string): Submission | undefined {
    this.jobs.delete(id);
    const successor = this.successors.get(id);
    this.successors.delete(id);
    return successor;
  }
}
