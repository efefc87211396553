import type { Job } from '../../request/job.js';
import { changeJob, changeTask, logDecision, withdrawJob } from './_lib/jobChanges.js';
import { startClaim } from './_lib/sendClaim.js';
import type { EntryState } from './entryState.js';

/** Owner of a job that was taken over, until the registrar names it. */
const OWNER_UNKNOWN = '?';

/**
 * Gives a job up to the entry that took it over, and looks for that entry so that the callers here get its
 * answer.
 *
 * @param state - the entry's state
 * @param job - a job whose epoch an agent or the registrar refused
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
