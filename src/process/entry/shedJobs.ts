import type { Job } from '../../request/job.js';
import { countOwnSlots } from './_lib/countOwnSlots.js';
import { expireJob } from './_lib/endJob.js';
import { isOwned } from './_lib/jobChanges.js';
import type { EntryState } from './entryState.js';

/** Between two judgements of the waiting jobs, ms. */
const SHED_EVERY_MS = 200;

/**
 * Judges the waiting jobs again, because more urgent ones came after them: a job that will be late and of which
 * nothing was started is refused now, and not at its deadline.
 *
 * @param state - the entry's state
 * @param now - ms since the epoch
 */
export function shedJobs(state: EntryState, now: number): void {
  if (now - state.shedAt < SHED_EVERY_MS || state.waitingTasks === 0) return;
  state.shedAt = now;
  const slots = countOwnSlots(state);
  const running = [...state.active].filter((job) => job.state === 'running');
  running.sort((left, right) => left.rank - right.rank);
  let aheadMs = 0;
  for (const job of running) {
    if (!isUntouched(job) || !isLate(state, job, aheadMs, slots, now)) {
      aheadMs += job.remainingMs;
      continue;
    }
    expireJob(state, job, 'predicted-late', now);
  }
}

function isUntouched(job: Job): boolean {
  return isOwned(job) && job.queued.length === job.taskCount;
}

function isLate(state: EntryState, job: Job, aheadMs: number, slots: number, now: number): boolean {
  const refusal = state.policy.admission.decideJob({
    workMs: job.remainingMs,
    longestMs: Math.max(...job.tasks.map((task) => task.expectedMs)),
    deadlineMs: job.deadline - now,
    aheadMs,
    slots,
    random: 0,
    // Only the time counts here: the job was let in.
    activeJobs: 0,
    totalMs: 0,
    callerMs: 0,
    teamMs: 0,
    callers: 1,
    teams: 1,
  });
  return refusal !== undefined;
}
