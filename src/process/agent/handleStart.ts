import { compareEpochs } from '../../connection/compareEpochs.js';
import type { Start } from '../../connection/messages.js';
import { changeTask } from './_lib/changeTask.js';
import { findCredit } from './_lib/findCredit.js';
import { replyResult, replyWithoutRecord } from './_lib/replyResult.js';
import type { AgentJob, AgentState, AgentTask } from './agentState.js';
import { grantCredits } from './grantCredits.js';
import { runWaitingTasks } from './runWaitingTasks.js';

/**
 * Handles a start idempotently. A repeated start is answered with the recorded state of its task; while the task
 * runs, only a start marked as a resend is answered. A start with an epoch below the job's is refused. A refused
 * attempt is recorded, so that it never runs.
 *
 * @param state - the agent's state
 * @param from - the entry that sent it
 * @param start - the message
 * @param now - ms since the epoch
 * @example
 * handleStart(state, 'entry-1@a', start, Date.now());
 */
export function handleStart(state: AgentState, from: string, start: Start, now: number): void {
  recordDemand(state, from, start);
  const job = findOrCreateJob(state, from, start, now);
  if (!job) return;
  const known = job.tasks.get(start.index);
  if (known && !isNewAttempt(known, start)) {
    if (known.state !== 'running' || start.again) replyResult(state, from, known);
    grantCredits(state);
    return;
  }
  const task = recordAttempt(job, known, from, start);
  const refusal = findRefusal(state, start, now);
  if (refusal) return refuseAttempt(state, task, refusal);
  acceptTask(state, task, now);
}

function recordDemand(state: AgentState, from: string, start: Start): void {
  const credit = state.credits.get(from);
  if (!credit) return;
  credit.used = Math.max(credit.used, start.used);
  credit.waiting = start.waiting;
  credit.headRank = start.headRank;
}

/** Finds or creates the job's record. Rejects a start that is too old or fenced. */
function findOrCreateJob(state: AgentState, from: string, start: Start, now: number): AgentJob | undefined {
  const job = state.jobs.get(start.job);
  if (!job) {
    if (start.createdAt + state.limits.horizonMs < now) {
      replyWithoutRecord(state, from, start, 'unknown', 'too-old');
      return undefined;
    }
    const { job: key, createdAt, epoch } = start;
    const created: AgentJob = { key, createdAt, epoch, owner: from, tasks: new Map() };
    state.jobs.set(key, created);
    return created;
  }
  const order = compareEpochs(start.epoch, job.epoch);
  if (order < 0) {
    replyWithoutRecord(state, from, start, 'refused', 'fenced');
    return undefined;
  }
  if (order > 0) job.epoch = start.epoch;
  job.owner = from;
  return job;
}

/** Checks whether a start replaces a recorded task: only a refused one, by a later attempt or a higher epoch. */
function isNewAttempt(known: AgentTask, start: Start): boolean {
  if (known.state !== 'refused') return false;
  return start.attempt > known.attempt || compareEpochs(start.epoch, known.epoch) > 0;
}

function recordAttempt(job: AgentJob, known: AgentTask | undefined, from: string, start: Start): AgentTask {
  const { attempt, epoch, kind, body, deadline, rank } = start;
  const fresh = { attempt, epoch, kind, body, deadline, rank, from, reason: '' };
  if (known) {
    changeTask(known, 'accept');
    return Object.assign(known, fresh);
  }
  const ended = { status: 0, answer: '', hasAnswer: false, startedAt: 0, workMs: 0 };
  const task: AgentTask = { job, index: start.index, state: 'waiting', ...fresh, ...ended };
  job.tasks.set(start.index, task);
  return task;
}

function findRefusal(state: AgentState, start: Start, now: number): string {
  if (state.leaving) return 'leaving';
  if (state.upstreamDown) return 'upstream-down';
  if (start.deadline < now) return 'late';
  const maxCredits = state.limits.slots + state.limits.overcommit;
  if (state.waiting.length >= maxCredits * (1 + state.credits.size)) return 'full';
  return '';
}

function refuseAttempt(state: AgentState, task: AgentTask, reason: string): void {
  changeTask(task, 'refuse');
  task.reason = reason;
  task.body = '';
  state.outbox.push({ type: 'decision', decision: 'refuse', task, reason });
  grantCredits(state);
  replyResult(state, task.from, task);
}

function acceptTask(state: AgentState, task: AgentTask, now: number): void {
  findCredit(state, task.from).outstanding += 1;
  insertByRank(state.waiting, task);
  runWaitingTasks(state, now);
  grantCredits(state);
}

function insertByRank(waiting: AgentTask[], task: AgentTask): void {
  let index = waiting.length;
  while (index > 0 && (waiting[index - 1] as AgentTask).rank > task.rank) index -= 1;
  waiting.splice(index, 0, task);
}
