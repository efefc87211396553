import { compareEpochs } from '../../connection/compareEpochs.js';
import type { Claimed } from '../../connection/messages.js';
import { findDifferences } from '../../request/digestJob.js';
import type { Job } from '../../request/job.js';
import { adoptAnswer, failJob, refuseJob } from './_lib/endJob.js';
import { beginJob, changeJob, logDecision } from './_lib/jobChanges.js';
import { startClaim } from './_lib/sendClaim.js';
import { startAttach } from './attachJob.js';
import type { EntryState } from './entryState.js';
import { startSweep } from './sweepJob.js';
import { supersedeJob } from './supersedeJob.js';

/**
 * Handles a registrar's answer. Answers to requests that were given up are ignored.
 *
 * @param state - the entry's state
 * @param from - the registrar
 * @param claimed - the message
 * @param now - ms since the epoch
 * @example
 * handleClaimed(state, 'agent-1@a', claimed, Date.now());
 */
export function handleClaimed(state: EntryState, from: string, claimed: Claimed, now: number): void {
  const job = state.claims.get(claimed.id);
  if (!job || job.claimId !== claimed.id) return;
  const { outcome } = claimed;
  logDecision(state, 'claim', job.key, {
    registrar: from,
    mode: job.claimMode,
    outcome,
    owner: claimed.owner,
  });
  if (outcome === 'pending' || outcome === 'denied') return;
  state.claims.delete(claimed.id);
  job.claimId = 0;
  if (job.claimMode === 'widen') return finishWidening(state, job, claimed, now);
  if (outcome === 'unknown') return failJob(state, job, 'history-lost', now);
  if (outcome === 'none') return finishLookup(state, job, now);
  if (claimed.digest !== '' && claimed.digest !== job.digest) {
    const differs = findDifferences(claimed.digest, job.digest);
    return adoptConflict(state, job, differs, now);
  }
  if (outcome === 'granted') return takeGrant(state, job, claimed, now);
  if (claimed.owner === state.peer) return takeOwnRecord(state, job, claimed, now);
  startAttach(state, job, claimed, now);
}

function adoptConflict(state: EntryState, job: Job, differs: readonly string[], now: number): void {
  changeJob(job, 'attach');
  adoptAnswer(state, job, { outcome: 'conflict', differs }, now);
  // The key belongs to other contents, which this entry must not answer for.
  state.jobs.delete(job.key);
}

/** Nobody claimed the key: the refusal is true. */
function finishLookup(state: EntryState, job: Job, now: number): void {
  if (job.refusal) return refuseJob(state, job, job.refusal, now);
  startClaim(state, job, 'claim', now);
}

function takeGrant(state: EntryState, job: Job, claimed: Claimed, now: number): void {
  const mode = job.claimMode;
  if (mode === 'lookup') return resumeOwnClaim(state, job, claimed, now);
  const earlier = mode === 'takeover' ? joinMembers(claimed.members, job.members) : claimed.members;
  // Any epoch but the one this entry already works under may stand for starts that it does not know.
  const sweep = mode === 'takeover' || (earlier.length > 0 && compareEpochs(claimed.epoch, job.epoch) !== 0);
  job.owner = '';
  job.epoch = claimed.epoch;
  job.setId = job.claimSetId;
  job.members = joinMembers(earlier, state.sets.get(job.claimSetId) ?? []);
  if (sweep) return startSweep(state, job, earlier, now);
  beginJob(state, job, now);
}

/** A lookup says that this entry owns the key: it was refused here before, or was fenced by a lost owner. */
function resumeOwnClaim(state: EntryState, job: Job, claimed: Claimed, now: number): void {
  if (compareEpochs(claimed.epoch, job.epoch) !== 0) return failJob(state, job, 'superseded', now);
  if (job.owner !== '') return failJob(state, job, 'superseded', now);
  if (job.refusal) return refuseJob(state, job, job.refusal, now);
  startClaim(state, job, 'claim', now);
}

/** The answer to an earlier takeover was lost; the registrar says that it took effect. */
function takeOwnRecord(state: EntryState, job: Job, claimed: Claimed, now: number): void {
  job.claimMode = 'takeover';
  takeGrant(state, job, claimed, now);
}

function finishWidening(state: EntryState, job: Job, claimed: Claimed, now: number): void {
  if (claimed.outcome === 'granted' && compareEpochs(claimed.epoch, job.epoch) === 0) {
    job.setId = job.claimSetId;
    job.members = joinMembers(job.members, claimed.members);
    return;
  }
  if (claimed.outcome === 'owned') supersedeJob(state, job, now);
}

function joinMembers(left: readonly string[], right: readonly string[]): readonly string[] {
  if (left.length === 0) return right;
  return [...new Set([...left, ...right])];
}
