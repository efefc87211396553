import { compareEpochs } from '../../connection/compareEpochs.js';
import type { Swept, SweptTask } from '../../connection/messages.js';
import { findProcessId } from '../../connection/findProcessId.js';
import type { Job, Task } from '../../request/job.js';
import { completeJob, failJob } from './_lib/endJob.js';
import { startJob, changeJob, changeTask, logDecision } from './_lib/jobChanges.js';
import type { EntryState } from './entryState.js';
import { supersedeJob } from './supersedeJob.js';

/**
 * Starts a sweep: fences a job at every agent that earlier owners may have used, and requests the state of its
 * tasks from them.
 *
 * @param state - the entry's state
 * @param job - a job that was just taken over
 * @param members - the agent incarnations to sweep
 * @param now - ms since the epoch
 */
export function startSweep(state: EntryState, job: Job, members: readonly string[], now: number): void {
  changeJob(job, 'sweep');
  job.sweeping = new Set(members);
  job.lostMembers = [];
  job.sweepSince = now;
  for (const member of members) {
    if (!state.agents.has(member)) state.outbox.push({ type: 'dial', peer: member });
  }
  repeatSweep(state, job, now);
}

/**
 * Sends the sweep to the members that have not answered. Members that were replaced or timed out count as lost.
 *
 * @param state - the entry's state
 * @param job - a sweeping job
 * @param now - ms since the epoch
 */
export function repeatSweep(state: EntryState, job: Job, now: number): void {
  const late = now - job.sweepSince >= state.limits.sweepTimeoutMs;
  job.sweepAt = now + state.limits.repeatMs / 4;
  for (const member of [...job.sweeping]) {
    if (late || isReplaced(state, member)) {
      job.sweeping.delete(member);
      job.lostMembers.push(member);
      continue;
    }
    if (!state.agents.get(member)?.connected) continue;
    const message = { type: 'sweep', job: job.key, createdAt: job.createdAt, epoch: job.epoch } as const;
    state.outbox.push({ type: 'send', to: member, message });
  }
  if (job.sweeping.size === 0) finishSweep(state, job, now);
}

/**
 * Handles an agent's reply to a sweep: applies the task states that it reports.
 *
 * @param state - the entry's state
 * @param from - the agent
 * @param swept - the message
 * @param now - ms since the epoch
 */
export function handleSwept(state: EntryState, from: string, swept: Swept, now: number): void {
  const job = state.jobs.get(swept.job);
  if (job?.state !== 'sweeping' || !job.sweeping.has(from)) return;
  if (compareEpochs(swept.epoch, job.epoch) !== 0) return;
  if (swept.fenced) return supersedeJob(state, job, now);
  for (const one of swept.tasks) {
    const task = job.tasks[one.index];
    if (task) applySweptTask(state, job, task, from, one, now);
  }
  job.sweeping.delete(from);
  if (job.sweeping.size === 0) finishSweep(state, job, now);
}

function applySweptTask(
  state: EntryState,
  job: Job,
  task: Task,
  from: string,
  one: SweptTask,
  now: number,
): void {
  if (one.state === 'refused') {
    task.attempt = Math.max(task.attempt, one.attempt + 1);
    return;
  }
  if (task.state !== 'queued') return;
  task.agent = from;
  task.attempt = one.attempt;
  task.sentAt = now;
  task.askAt = now + state.limits.askAgainMs;
  changeTask(state, task, 'find');
  if (one.state === 'finished' && one.hasBody) {
    task.status = one.status;
    task.answer = one.body;
    changeTask(state, task, 'finish');
    job.finished += 1;
    return;
  }
  if (one.state === 'finished' || one.state === 'unknown') changeTask(state, task, 'lose');
}

/** Ends a sweep: completes the job, runs its other tasks, or fails it if one without an answer may have run. */
function finishSweep(state: EntryState, job: Job, now: number): void {
  const queued = job.tasks.filter((task) => task.state === 'queued').length;
  const detail = { found: job.tasks.length - queued, queued, lost: job.lostMembers.length };
  logDecision(state, 'sweep', job.key, detail);
  if (job.tasks.some((task) => task.state === 'unknown')) return failJob(state, job, 'answer-lost', now);
  if (queued > 0 && job.lostMembers.length > 0) return failJob(state, job, 'agent-lost', now);
  if (job.finished === job.tasks.length) return completeJob(state, job, now);
  startJob(state, job, now);
}

/** Checks whether a member's process runs under another incarnation, so that the member cannot answer. */
function isReplaced(state: EntryState, member: string): boolean {
  const id = findProcessId(member);
  for (const agent of state.agents.values()) {
    if (agent.connected && agent.peer !== member && findProcessId(agent.peer) === id) return true;
  }
  return false;
}
