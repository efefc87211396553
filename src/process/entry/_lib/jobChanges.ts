/** Changes of one job that several handlers share. */
import { assertInvariant } from '../../../_lib/assertInvariant.js';
import { stepMachine } from '../../../_lib/compileMachine.js';
import { isEnded, JOB_TABLE } from '../../../request/jobMachine.js';
import type { JobEvent } from '../../../request/jobMachine.js';
import { queueTasks } from '../../../request/job.js';
import type { Job, Task } from '../../../request/job.js';
import { TASK_TABLE } from '../../../request/taskMachine.js';
import type { TaskEvent } from '../../../request/taskMachine.js';
import type { Decision, EntryState } from '../entryState.js';
import { addBacklog, noteArrival } from './backlog.js';

/**
 * Moves a job along its machine.
 *
 * @param job - the job, which is changed
 * @param event - what happened
 */
export function changeJob(job: Job, event: JobEvent): void {
  job.state = stepMachine(JOB_TABLE, job.state, event);
}

/**
 * Moves a task along its machine and keeps the agents' outstanding tasks in step.
 *
 * @param state - the entry's state
 * @param task - the task, which is changed
 * @param event - what happened
 */
export function changeTask(state: EntryState, task: Task, event: TaskEvent): void {
  task.state = stepMachine(TASK_TABLE, task.state, event);
  const agent = state.agents.get(task.agent);
  if (task.state === 'sent') agent?.outstanding.add(task);
  else agent?.outstanding.delete(task);
}

/**
 * Logs a routing or placement decision.
 *
 * @param state - the entry's state
 * @param decision - what was decided
 * @param job - the job's key
 * @param detail - what was chosen and from what
 */
export function logDecision(state: EntryState, decision: string, job: string, detail: Decision): void {
  state.outbox.push({ type: 'decision', decision, job, detail });
}

/**
 * Ranks a job and puts it into the ready queue if it has queued tasks.
 *
 * @param state - the entry's state
 * @param job - a running job
 */
export function offerJob(state: EntryState, job: Job): void {
  if (job.state !== 'running') return;
  job.rank = state.policy.ordering.rankJob(job);
  job.rankVersion += 1;
  if (job.queued.length === 0) return;
  state.ready.push({ rank: job.rank, job, rankVersion: job.rankVersion });
}

/**
 * Begins a claimed job's work, or holds it until its event starts.
 *
 * @param state - the entry's state
 * @param job - a job that this entry owns
 * @param now - ms since the epoch
 */
export function beginJob(state: EntryState, job: Job, now: number): void {
  const event = state.config.events.find((known) => known.name === job.event);
  if (event && event.startAt > now) {
    changeJob(job, 'hold');
    logDecision(state, 'hold', job.key, { event: job.event, startAt: event.startAt });
    return;
  }
  runJob(state, job, now);
}

/**
 * Lets a job's tasks go.
 *
 * @param state - the entry's state
 * @param job - a claimed, held or swept job
 * @param now - ms since the epoch
 */
export function runJob(state: EntryState, job: Job, now: number): void {
  changeJob(job, 'run');
  queueTasks(job);
  noteArrival(state, job, now);
  state.waitingTasks += job.queued.length;
  addBacklog(state, job, job.remainingMs);
  offerJob(state, job);
}

/**
 * Takes a running job's work out of the queues, because it ends or has to be claimed again.
 *
 * @param state - the entry's state
 * @param job - the job
 */
export function withdrawJob(state: EntryState, job: Job): void {
  if (job.state !== 'running') return;
  state.waitingTasks -= job.queued.length;
  assertInvariant(state.waitingTasks >= 0, 'fewer than no tasks wait');
  job.queued = [];
  job.rankVersion += 1;
  addBacklog(state, job, -job.remainingMs);
}

/**
 * Takes a finished or lost task's work off the job and the backlog.
 *
 * @param state - the entry's state
 * @param job - the job
 * @param task - the task
 */
export function settleWork(state: EntryState, job: Job, task: Task): void {
  const before = job.remainingMs;
  job.remainingMs = Math.max(0, before - task.expectedMs);
  if (job.state === 'running') addBacklog(state, job, job.remainingMs - before);
}

/**
 * Forgets the claim and the attach request that a job waits for.
 *
 * @param state - the entry's state
 * @param job - the job
 */
export function dropRequests(state: EntryState, job: Job): void {
  state.claims.delete(job.claimId);
  state.attaches.delete(job.attachId);
  job.claimId = 0;
  job.attachId = 0;
}

/**
 * Tells whether the entry owns a job's claim.
 *
 * @param job - the job
 * @returns true when it was granted and not taken over
 */
export function isOwned(job: Job): boolean {
  return job.epoch.version >= 0 && job.owner === '';
}

/**
 * Tells whether a job still waits for its outcome.
 *
 * @param job - the job
 * @returns true until it is complete, failed or refused
 */
export function isActive(job: Job): boolean {
  return !isEnded(job.state);
}
