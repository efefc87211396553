import { compareEpochs } from '../../connection/compareEpochs.js';
import type { Result } from '../../connection/messages.js';
import { isEnded } from '../../request/jobMachine.js';
import type { Job, Task } from '../../request/job.js';
import { addAck } from './_lib/acks.js';
import { completeJob, expireJob, failJob } from './_lib/endJob.js';
import { changeTask, logDecision, enqueueJob, subtractWork } from './_lib/jobChanges.js';
import type { AgentView, EntryState } from './entryState.js';
import { supersedeJob } from './supersedeJob.js';

/** Weight of a new sample in the moving averages. */
const SAMPLE_WEIGHT = 0.05;

/**
 * Handles the result of one task. It is accepted only from the agent incarnation the task was sent to, and
 * only for the attempt that was sent.
 *
 * @param state - the entry's state
 * @param from - the agent
 * @param result - the message
 * @param now - ms since the epoch
 * @example
 * handleResult(state, 'agent-1@a', result, Date.now());
 */
export function handleResult(state: EntryState, from: string, result: Result, now: number): void {
  const agent = state.agents.get(from);
  if (agent) agent.granted = Math.max(agent.granted, result.granted);
  const job = state.jobs.get(result.job);
  const task = job?.tasks[result.index];
  if (!job || !task || isEnded(job.state)) {
    // The answer is not needed any more, so the agent may drop it.
    if (result.state === 'finished') addAck(state, from, result.job, result.index);
    return;
  }
  if (job.state !== 'running' && job.state !== 'sweeping') return;
  if (result.reason === 'fenced') return handleFenced(state, job, result, now);
  if (task.state !== 'sent' || task.agent !== from || task.attempt !== result.attempt) return;
  if (result.state === 'finished') return finishTask(state, job, task, result, now);
  if (result.state === 'refused') return requeueTask(state, job, task, result, now);
  if (result.state === 'unknown') return failLostTask(state, job, task, result.reason, now);
  task.askAt = now + state.limits.askAgainMs;
}

/**
 * Fails a job because one of its tasks may have run and its answer is lost. During a sweep only the task is
 * marked; the job fails when the sweep ends.
 *
 * @param state - the entry's state
 * @param job - the job
 * @param task - a sent task
 * @param reason - why its answer is lost
 * @param now - ms since the epoch
 */
export function failLostTask(state: EntryState, job: Job, task: Task, reason: string, now: number): void {
  changeTask(state, task, 'lose');
  if (job.state === 'sweeping') return;
  subtractWork(state, job, task);
  failJob(state, job, reason || 'answer-lost', now);
}

function handleFenced(state: EntryState, job: Job, result: Result, now: number): void {
  if (compareEpochs(result.epoch, job.epoch) !== 0) return;
  supersedeJob(state, job, now);
}

function finishTask(state: EntryState, job: Job, task: Task, result: Result, now: number): void {
  changeTask(state, task, 'finish');
  task.status = result.status;
  task.answer = result.body;
  task.body = '';
  job.finished += 1;
  state.bytes += result.body.length;
  job.bytes += result.body.length;
  subtractWork(state, job, task);
  recordDuration(state, job, task, result.workMs, state.agents.get(task.agent));
  if (job.state === 'sweeping') return;
  if (job.finished === job.tasks.length) return completeJob(state, job, now);
  if (job.queued.length > 0) enqueueJob(state, job);
}

/** Requeues a task whose attempt did not start. Ends the job if the task is late or the retry budget is spent. */
function requeueTask(state: EntryState, job: Job, task: Task, result: Result, now: number): void {
  changeTask(state, task, 'refuse');
  task.attempt += 1;
  task.agent = '';
  job.retries += 1;
  logDecision(state, 'retry', job.key, { task: task.index, reason: result.reason, attempt: task.attempt });
  if (job.state === 'sweeping') return;
  job.queued.push(task.index);
  state.waitingTasks += 1;
  const budget = job.tasks.length * state.limits.retryShare + state.limits.retryFloor;
  if (result.reason === 'late' || job.retries > budget) return expireJob(state, job, result.reason, now);
  enqueueJob(state, job);
}

function recordDuration(
  state: EntryState,
  job: Job,
  task: Task,
  workMs: number,
  agent: AgentView | undefined,
): void {
  const key = `${job.event}/${task.kind}`;
  const stats = state.kinds.get(key) ?? { meanMs: workMs, samples: 0 };
  stats.meanMs += (workMs - stats.meanMs) * Math.max(SAMPLE_WEIGHT, 1 / (stats.samples + 1));
  stats.samples += 1;
  state.kinds.set(key, stats);
  if (!agent) return;
  const ratio = workMs / Math.max(1, task.expectedMs);
  agent.slowness += (ratio - agent.slowness) * SAMPLE_WEIGHT;
}
