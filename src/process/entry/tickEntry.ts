import type { Job, Task } from '../../request/job.js';
import { flushAcks } from './_lib/acks.js';
import { expireJob, failJob } from './_lib/endJob.js';
import { runJob } from './_lib/jobChanges.js';
import { sendClaim } from './_lib/sendClaim.js';
import { announceClaims } from './applyEntryConfig.js';
import { contactOwner } from './attachJob.js';
import { removeLostAgent } from './entryLinks.js';
import type { AgentView, EntryState } from './entryState.js';
import { buildStart } from './placeTasks.js';
import { shedJobs } from './shedJobs.js';
import { repeatSweep } from './sweepJob.js';

/** How long an ended job is kept beyond the horizon and the clock skew, ms. */
const KEEP_MARGIN_MS = 5_000;

/**
 * Runs the periodic work: resends unanswered requests, takes over the jobs of lost owners, removes lost agents,
 * releases held jobs, ends jobs at their deadlines and removes old jobs.
 *
 * @param state - the entry's state
 * @param now - ms since the epoch
 * @example
 * tickEntry(state, Date.now());
 */
export function tickEntry(state: EntryState, now: number): void {
  for (const agent of [...state.agents.values()]) tickAgent(state, agent, now);
  for (const job of [...state.active]) tickJob(state, job, now);
  shedJobs(state, now);
  announceClaims(state, now);
  flushAcks(state, now);
  expireAnswers(state, now);
}

/**
 * Runs the held jobs whose event has started.
 *
 * @param state - the entry's state
 * @param now - ms since the epoch
 */
export function releaseHeldJobs(state: EntryState, now: number): void {
  const started = new Set(
    state.config.events.filter((event) => event.startAt <= now).map((event) => event.name),
  );
  for (const job of state.active) {
    if (job.state === 'held' && started.has(job.event)) runJob(state, job, now);
  }
}

function tickAgent(state: EntryState, agent: AgentView, now: number): void {
  if (!agent.connected) {
    if (now - agent.downSince >= state.limits.agentLostMs)
      removeLostAgent(state, agent.peer, 'agent-lost', now);
    return;
  }
  for (const task of agent.outstanding) {
    if (task.askAt <= now) resendStart(state, agent, task, now);
  }
}

function resendStart(state: EntryState, agent: AgentView, task: Task, now: number): void {
  const job = state.jobs.get(task.job);
  if (!job) return;
  task.askAt = now + state.limits.askAgainMs;
  state.outbox.push({ type: 'send', to: agent.peer, message: buildStart(job, task, agent.used, true) });
}

function tickJob(state: EntryState, job: Job, now: number): void {
  // A refusal that waits for its lookup ends at the claim timeout, not at the deadline.
  if (job.state === 'claiming' && job.refusal) return tickClaim(state, job, now);
  if (job.deadline <= now) return expireJob(state, job, 'deadline', now);
  if (job.state === 'claiming') return tickClaim(state, job, now);
  if (job.state === 'attached' && job.claimAt <= now) return contactOwner(state, job, now);
  if (job.state === 'sweeping' && job.sweepAt <= now) return repeatSweep(state, job, now);
  if (job.state === 'held') return tickHeld(state, job, now);
  if (job.claimId !== 0 && job.claimAt <= now) sendClaim(state, job, now);
}

function tickClaim(state: EntryState, job: Job, now: number): void {
  if (now - job.claimSince >= state.limits.claimTimeoutMs) return expireJob(state, job, 'claim-timeout', now);
  if (job.claimAt <= now) sendClaim(state, job, now);
}

function tickHeld(state: EntryState, job: Job, now: number): void {
  const event = state.config.events.find((one) => one.name === job.event);
  if (!event) return failJob(state, job, 'event-gone', now);
  if (event.endAt > 0 && event.endAt <= now) return expireJob(state, job, 'event-ended', now);
  if (event.startAt <= now) runJob(state, job, now);
}

/** Removes ended jobs past the horizon, and drops the oldest answers while too many bytes are held. */
function expireAnswers(state: EntryState, now: number): void {
  const keepMs = state.limits.horizonMs + 2 * state.limits.skewMs + KEEP_MARGIN_MS;
  while (state.answered[0] && state.answered[0].createdAt + keepMs <= now) {
    const job = state.answered.shift() as Job;
    state.bytes -= job.bytes;
    if (state.jobs.get(job.key) === job) state.jobs.delete(job.key);
  }
  let index = 0;
  while (state.bytes > state.limits.maxBytes / 2 && index < state.answered.length) {
    dropAnswer(state, state.answered[index] as Job);
    index += 1;
  }
}

function dropAnswer(state: EntryState, job: Job): void {
  if (job.answer?.outcome !== 'complete') return;
  state.bytes -= job.bytes;
  job.bytes = 0;
  job.answer = { outcome: 'failed', ran: 'some', reason: 'answer-dropped', retryAfterMs: 0 };
}
