/** Changes of a job that several handlers share. */
import { assertInvariant } from '../../../_lib/assertInvariant.js';
import { stepMachine } from '../../../_lib/compileMachine.js';
import { isEnded, JOB_TABLE } from '../../../request/jobMachine.js';
import type { JobEvent } from '../../../request/jobMachine.js';
import { queueTasks } from '../../../request/job.js';
import type { Job, Task } from '../../../request/job.js';
import { TASK_TABLE } from '../../../request/taskMachine.js';
import type { TaskEvent } from '../../../request/taskMachine.js';
import type { Decision, EntryState } from '../entryState.js';
import { addBacklog, recordArrival } from './backlog.js';

/**
 * Applies an event to a job's state machine.
 *
 * @param job - the job, which is changed
 * @param event - the event
 * @throws InvariantError when the job's state does not allow the event
 */
export function changeJob(job: Job, event: JobEvent): void {
  job.state = stepMachine(JOB_TABLE, job.state, event);
}

/**
 * Applies an event to a task's state machine and updates the outstanding tasks of its agent.
 *
 * @param state - the entry's state
 * @param task - the task, which is changed
 * @param event - the event
 * @throws InvariantError when the task's state does not allow the event
 */
export function changeTask(state: EntryState, task: Task, event: TaskEvent): void {
  task.state = stepMachine(TASK_TABLE, task.state, event);
  const agent = state.agents.get(task.agent);
  if (task.state === 'sent') agent?.outstanding.add(task);
  else agent?.outstanding.delete(task);
}

/**
 * Logs a decision on a job.
 *
 * @param state - the entry's state
 * @param decision - event name of the log line
 * @param job - the job's key
 * @param detail - fields of the log line
 */
export function logDecision(state: EntryState, decision: string, job: string, detail: Decision): void {
  state.outbox.push({ type: 'decision', decision, job, detail });
}

/**
 * Recomputes the rank of a running job and adds it to the ready queue if it has queued tasks.
 *
 * @param state - the entry's state
 * @param job - a running job
 */
export function enqueueJob(state: EntryState, job: Job): void {
  if (job.state !== 'running') return;
  job.rank = state.policy.ordering.rankJob(job);
  job.rankVersion += 1;
  if (job.queued.length === 0) return;
  state.ready.push({ rank: job.rank, job, rankVersion: job.rankVersion });
}

/**
 * Runs a claimed job, or holds it until its event starts.
 *
 * @param state - the entry's state
 * @param job - a job that this entry owns
 * @param now - ms since the epoch
 */
export function startJob(state: EntryState, job: Job, now: number): void {
  const event = state.config.events.find((known) => known.name === job.event);
  if (event && event.startAt > now) {
    changeJob(job, 'hold');
    logDecision(state, 'hold', job.key, { event: job.event, startAt: event.startAt });
    return;
  }
  runJob(state, job, now);
}

/**
 * Queues a job's tasks for placement.
 *
 * @param state - the entry's state
 * @param job - a claimed, held or swept job
 * @param now - ms since the epoch
 */
export function runJob(state: EntryState, job: Job, now: number): void {
  changeJob(job, 'run');
  queueTasks(job);
  recordArrival(state, job, now);
  state.waitingTasks += job.queued.length;
  addBacklog(state, job, job.remainingMs);
  enqueueJob(state, job);
}

/**
 * Removes a running job's work from the queues and the backlog before the job ends or is claimed again.
 *
 * @param state - the entry's state
 * @param job - the job
 */
export function withdrawJob(state: EntryState, job: Job): void {
  if (job.state !== 'running') return;
  state.waitingTasks -= job.queued.length;
  assertInvariant(state.waitingTasks >= 0, 'the number of waiting tasks is negative');
  job.queued = [];
  job.rankVersion += 1;
  addBacklog(state, job, -job.remainingMs);
}

/**
 * Subtracts the work of a finished or lost task from the job and the backlog.
 *
 * @param state - the entry's state
 * @param job - the job
 * @param task - the task
 */
export function subtractWork(state: EntryState, job: Job, task: Task): void {
  const before = job.remainingMs;
  job.remainingMs = Math.max(0, before - task.expectedMs);
  if (job.state === 'running') addBacklog(state, job, job.remainingMs - before);
}

/**
 * Drops a job's pending claim and attach request.
 *
 * @param state - the entry's state
 * @param job - the job
 */
export function clearRequests(state: EntryState, job: Job): void {
  state.claims.delete(job.claimId);
  state.attaches.delete(job.attachId);
  job.claimId = 0;
  job.attachId = 0;
}

/**
 * Checks whether the entry owns a job's claim.
 *
 * @param job - the job
 * @returns true when the claim was granted to the entry and not taken over
 */
export function isOwned(job: Job): boolean {
  return job.epoch.version >= 0 && job.owner === '';
}

/**
 * Checks whether a job has not ended.
 *
 * @param job - the job
 * @returns true until it is complete, failed or refused
 */
export function isActive(job: Job): boolean {
  return !isEnded(job.state);
}
