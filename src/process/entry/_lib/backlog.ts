/** Expected work by priority and size class, so that admission can tell what would be served first. */
import type { Job } from '../../../request/job.js';
import type { EntryState } from '../entryState.js';

/** Size classes for each priority: powers of two of the expected work in ms. */
const SIZE_CLASSES = 32;

/**
 * Finds the class of a job.
 *
 * @param priority - operator priority, 0 first
 * @param workMs - expected work, ms
 * @returns a number that grows with both
 */
export function findBacklogClass(priority: number, workMs: number): number {
  const size = Math.min(SIZE_CLASSES - 1, Math.ceil(Math.log2(Math.max(1, workMs))));
  return priority * SIZE_CLASSES + size;
}

/**
 * Adds work to a class, or takes it away.
 *
 * @param state - the entry's state
 * @param job - the job, by whose whole work the class goes
 * @param workMs - ms of one slot; negative to take away
 */
export function addBacklog(state: EntryState, job: Job, workMs: number): void {
  const total = job.tasks.reduce((sum, task) => sum + task.expectedMs, 0);
  const key = findBacklogClass(job.priority, total);
  state.backlog.set(key, Math.max(0, (state.backlog.get(key) ?? 0) + workMs));
}

/**
 * Sums the work that is served before a new job.
 *
 * @param state - the entry's state
 * @param priority - of the new job
 * @param workMs - its expected work, ms
 * @returns ms of one slot
 */
export function sumBacklogAhead(state: EntryState, priority: number, workMs: number): number {
  const own = findBacklogClass(priority, workMs);
  let ahead = 0;
  for (const [key, work] of state.backlog) {
    if (key <= own) ahead += work;
  }
  return ahead;
}
