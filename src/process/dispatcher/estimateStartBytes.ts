import type { DispatchTask } from './dispatchJob.js';

/** Bytes of a start without the job's spec, and of each further start of the job in the same message. */
const START_BYTES = 250;
const BATCHED_START_BYTES = 110;

/**
 * Estimates the bytes of a start that is about to be sent.
 *
 * @param task - the task
 * @param executorId - id of the executor that is to run it
 * @param now - monotonic time, ms
 */
export function estimateStartBytes({ job }: DispatchTask, executorId: string, now: number): number {
  const isBatched = job.lastExecutorId === executorId && job.lastSentAt === now;
  return isBatched ? BATCHED_START_BYTES : START_BYTES + job.submission.spec.length;
}
