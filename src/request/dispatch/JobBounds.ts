/** Bounds of the jobs that a dispatcher holds: of each by itself, and of all that are open at once. */
import { assertInvariant } from '../../_lib/assertInvariant.js';
import type { Finding } from '../../_lib/finding.js';
import type { JobSubmission } from './submission.js';

/**
 * Memory of a job and of each of its tasks besides their texts, bytes: twice the heap that 20,000 jobs of one task
 * (1,166 bytes each) and 50 of 2,000 tasks (269 bytes a task) took on 2026-12-02; the rest is for sockets.
 */
const JOB_BYTES = 2_048;
const TASK_BYTES = 512;

/** The bounds, from the settings. */
export interface JobLimits {
  readonly maxOpenJobs: number;
  readonly maxOpenBytes: number;
  readonly maxJobTasks: number;
  readonly maxJobSteps: number;
}

/** Counts what is open. */
export class JobBounds {
  private jobs = 0;
  private bytes = 0;

  constructor(private readonly limits: JobLimits) {}

  /** Jobs that are held. */
  get openJobs(): number {
    return this.jobs;
  }

  /** Memory that they take by estimate, bytes. */
  get openBytes(): number {
    return this.bytes;
  }

  /** Finds why a job would never be taken. */
  findExcess({ steps }: JobSubmission): Finding[] {
    const { maxJobSteps, maxJobTasks } = this.limits;
    if (steps.length > maxJobSteps) {
      return [{ pointer: '/steps', message: `must be at most ${maxJobSteps} steps` }];
    }
    if (countTasks(steps) <= maxJobTasks) return [];
    return [{ pointer: '/steps', message: `must be at most ${maxJobTasks} tasks in all` }];
  }

  /** Takes a job; false, with nothing changed, if there is no room for it now. */
  take(submission: JobSubmission): boolean {
    const bytes = this.bytes + estimateBytes(submission);
    if (this.jobs >= this.limits.maxOpenJobs || bytes > this.limits.maxOpenBytes) return false;
    this.jobs += 1;
    this.bytes = bytes;
    return true;
  }

  /** Lets go a job that was taken. */
  release(submission: JobSubmission): void {
    this.jobs -= 1;
    this.bytes -= estimateBytes(submission);
    assertInvariant(this.jobs >= 0 && this.bytes >= 0, 'only jobs that were taken are let go');
  }
}

function countTasks(steps: JobSubmission['steps']): number {
  return steps.reduce((sum, { count }) => sum + count, 0);
}

/** Twice the text, as the heap may hold two bytes a character. */
function estimateBytes({ spec, steps }: JobSubmission): number {
  return JOB_BYTES + spec.length * 2 + countTasks(steps) * TASK_BYTES;
}
