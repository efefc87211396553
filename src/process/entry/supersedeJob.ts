import type { Job } from '../../request/job.js';
import { changeJob, changeTask, logDecision, withdrawJob } from './_lib/jobChanges.js';
import { startClaim } from './_lib/sendClaim.js';
import type { EntryState } from './entryState.js';

/** Placeholder for the owner of a job that was taken over, until the registrar reports the owner. */
const OWNER_UNKNOWN = '?';

/**
 * Stops work on a job that another entry took over, and looks up that entry to forward its answer to the
 * callers here.
 *
 * @param state - the entry's state
 * @param job - a job whose epoch an agent or the registrar rejected
 * @param now - ms since the epoch
 */
export function supersedeJob(state: EntryState, job: Job, now: number): void {
  withdrawJob(state, job);
  for (const task of job.tasks) {
    if (task.state === 'sent') changeTask(state, task, 'refuse');
  }
  logDecision(state, 'supersede', job.key, {
    epochVersion: job.epoch.version,
    epochCounter: job.epoch.counter,
  });
  changeJob(job, 'reclaim');
  job.owner = OWNER_UNKNOWN;
  job.sweeping.clear();
  startClaim(state, job, 'lookup', now);
}
