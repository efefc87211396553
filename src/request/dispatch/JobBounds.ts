/** Limits of the jobs at a dispatcher, for a single job and for all open jobs. */
import { assertInvariant } from '../../_lib/assertInvariant.js';
import type { Finding } from '../../_lib/finding.js';
import type { JobSubmission } from './submission.js';

/** Estimated memory of a job and of each of its tasks, without texts but including sockets, bytes. */
const JOB_BYTES = 2_048;
const TASK_BYTES = 512;
/** Memory of a character of a text, which may take two bytes, and of a step that another one waits for, bytes. */
const CHARACTER_BYTES = 2;
const DEPENDENCY_BYTES = 16;

/** Limits from the settings. */
export interface JobLimits {
  readonly maxOpenJobs: number;
  readonly maxOpenBytes: number;
  readonly maxJobTasks: number;
  readonly maxJobSteps: number;
}

/** Counts open jobs and their memory, and enforces the limits. */
export class JobBounds {
  private jobs = 0;
  private bytes = 0;

  constructor(private readonly limits: JobLimits) {}

  /** Number of open jobs. */
  get openJobs(): number {
    return this.jobs;
  }

  /** Estimated memory of the open jobs, bytes. */
  get openBytes(): number {
    return this.bytes;
  }

  /** Finds the first limit of a single job that a submission exceeds; empty for none. */
  findExcess({ steps }: JobSubmission): Finding[] {
    const { maxJobSteps, maxJobTasks } = this.limits;
    if (steps.length > maxJobSteps) {
      return [{ pointer: '/steps', message: `must be at most ${maxJobSteps} steps` }];
    }
    if (countTasks(steps) <= maxJobTasks) return [];
    return [{ pointer: '/steps', message: `must be at most ${maxJobTasks} tasks in all` }];
  }

  /** Admits a job; returns false, without any change, if it would exceed the limits of all open jobs. */
  take(submission: JobSubmission): boolean {
    const bytes = this.bytes + estimateBytes(submission);
    if (this.jobs >= this.limits.maxOpenJobs || bytes > this.limits.maxOpenBytes) return false;
    this.jobs += 1;
    this.bytes = bytes;
    return true;
  }

  /** Releases an admitted job. */
  release(submission: JobSubmission): void {
    this.jobs -= 1;
    this.bytes -= estimateBytes(submission);
    assertInvariant(this.jobs >= 0 && this.bytes >= 0, 'a job was released that had not been admitted');
  }
}

function countTasks(steps: JobSubmission['steps']): number {
  return steps.reduce((sum, { count }) => sum + count, 0);
}

/** Estimates the memory of a job. */
function estimateBytes({ id, spec, steps }: JobSubmission): number {
  let characters = id.length + spec.length;
  let dependencies = 0;
  for (const { after, requiredLabel, preferredRack } of steps) {
    characters += requiredLabel.length + preferredRack.length;
    dependencies += after.length;
  }
  const bytes = characters * CHARACTER_BYTES + dependencies * DEPENDENCY_BYTES;
  return JOB_BYTES + bytes + countTasks(steps) * TASK_BYTES;
}
