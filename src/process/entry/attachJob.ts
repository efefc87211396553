import type { Attach, Attached, Claimed } from '../../connection/messages.js';
import type { Job, JobAnswer } from '../../request/job.js';
import { endWithAnswer } from './_lib/endJob.js';
import { changeJob, clearRequests, logDecision } from './_lib/jobChanges.js';
import { startClaim } from './_lib/sendClaim.js';
import type { EntryState } from './entryState.js';

/**
 * Attaches to a job that another entry owns, to receive its answer; takes the job over when the owner is lost.
 *
 * @param state - the entry's state
 * @param job - a job that another entry owns
 * @param claimed - the registrar's answer
 * @param now - ms since the epoch
 */
export function startAttach(state: EntryState, job: Job, claimed: Claimed, now: number): void {
  changeJob(job, 'attach');
  job.owner = claimed.owner;
  job.expected = claimed.epoch;
  job.members = claimed.members;
  job.ownerLostAt = 0;
  contactOwner(state, job, now);
}

/**
 * Sends an attach request to the owner, or starts a takeover once the owner is no longer a member or has been
 * unreachable for too long.
 *
 * @param state - the entry's state
 * @param job - an attached job
 * @param now - ms since the epoch
 */
export function contactOwner(state: EntryState, job: Job, now: number): void {
  const member = state.config.entries.some((entry) => entry.peer === job.owner);
  if (!member) return takeOver(state, job, now, 'owner-removed');
  const owner = state.peers.get(job.owner);
  if (owner?.connected && now - owner.lastReceivedAt < state.limits.unresponsiveAfterMs) {
    job.ownerLostAt = 0;
    return sendAttach(state, job, now);
  }
  if (job.ownerLostAt === 0) job.ownerLostAt = now;
  if (now - job.ownerLostAt >= state.limits.takeoverAfterMs) takeOver(state, job, now, 'owner-lost');
}

/**
 * Replies to an entry that attaches to a job: with its answer, with `waiting` until the job ends, or with
 * `absent` if this entry has not run the job.
 *
 * @param state - the entry's state
 * @param from - the attaching entry
 * @param attach - the message
 */
export function handleAttach(state: EntryState, from: string, attach: Attach): void {
  const { id, job: key } = attach;
  const job = state.jobs.get(key);
  const reply = (attachState: string, answer = ''): void => {
    const message = { type: 'attached', id, job: key, state: attachState, answer } as const;
    state.outbox.push({ type: 'send', to: from, message });
  };
  if (!job || job.digest !== attach.digest) return reply('absent');
  if (job.state === 'refused' || job.unclaimed) return reply('absent');
  if (job.answer) return reply('answered', JSON.stringify(job.answer));
  if (!job.attached.some((one) => one.peer === from && one.id === id)) job.attached.push({ peer: from, id });
  reply('waiting');
}

/**
 * Handles the owner's reply to an attach request.
 *
 * @param state - the entry's state
 * @param from - the owner
 * @param attached - the message
 * @param now - ms since the epoch
 */
export function handleAttached(state: EntryState, from: string, attached: Attached, now: number): void {
  const job = state.attaches.get(attached.id);
  if (!job || job.attachId !== attached.id || job.state !== 'attached' || job.owner !== from) return;
  if (attached.state === 'waiting') return;
  clearRequests(state, job);
  if (attached.state === 'absent') return takeOver(state, job, now, 'owner-refused');
  endWithAnswer(state, job, JSON.parse(attached.answer) as JobAnswer, now);
}

function sendAttach(state: EntryState, job: Job, now: number): void {
  if (job.attachId === 0) {
    job.attachId = state.nextId;
    state.nextId += 1;
    state.attaches.set(job.attachId, job);
  }
  job.claimAt = now + state.limits.repeatMs;
  const message = { type: 'attach', id: job.attachId, job: job.key, digest: job.digest } as const;
  state.outbox.push({ type: 'send', to: job.owner, message });
}

function takeOver(state: EntryState, job: Job, now: number, reason: string): void {
  logDecision(state, 'takeover', job.key, { owner: job.owner, reason });
  changeJob(job, 'reclaim');
  startClaim(state, job, 'takeover', now, job.expected);
}
