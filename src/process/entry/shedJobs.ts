import type { Job } from '../../request/job.js';
import { estimateOwnSlots } from './_lib/estimateOwnSlots.js';
import { expireJob } from './_lib/endJob.js';
import { isOwned } from './_lib/jobChanges.js';
import type { EntryState } from './entryState.js';

/** Interval between evaluations of the waiting jobs, ms. */
const SHED_INTERVAL_MS = 200;

/**
 * Sheds waiting jobs that are now predicted to miss their deadline, for example because more urgent jobs arrived
 * later. Only jobs without a started task are refused.
 *
 * @param state - the entry's state
 * @param now - ms since the epoch
 */
export function shedJobs(state: EntryState, now: number): void {
  if (now - state.shedAt < SHED_INTERVAL_MS || state.waitingTasks === 0) return;
  state.shedAt = now;
  const slots = estimateOwnSlots(state);
  const runningJobs = [...state.active].filter((job) => job.state === 'running');
  runningJobs.sort((left, right) => left.rank - right.rank);
  let aheadMs = 0;
  for (const job of runningJobs) {
    if (!isUnstarted(job) || !isLate(state, job, aheadMs, slots, now)) {
      aheadMs += job.remainingMs;
      continue;
    }
    expireJob(state, job, 'predicted-late', now);
  }
}

function isUnstarted(job: Job): boolean {
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
    // The job was admitted already: only lateness is checked, not the limits on jobs and shares.
    activeJobs: 0,
    totalMs: 0,
    callerMs: 0,
    teamMs: 0,
    callers: 1,
    teams: 1,
  });
  return refusal !== undefined;
}
