import { compareEpochs } from '../../connection/compareEpochs.js';
import type { Claimed } from '../../connection/messages.js';
import { findDifferences } from '../../request/digestJob.js';
import type { Job } from '../../request/job.js';
import { endWithAnswer, failJob, refuseJob } from './_lib/endJob.js';
import { startJob, changeJob, logDecision } from './_lib/jobChanges.js';
import { startClaim } from './_lib/sendClaim.js';
import { startAttach } from './attachJob.js';
import type { EntryState } from './entryState.js';
import { startSweep } from './sweepJob.js';
import { supersedeJob } from './supersedeJob.js';

/**
 * Handles a registrar's reply to a claim. Replies to abandoned claims are ignored.
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
    return endWithConflict(state, job, differs, now);
  }
  if (outcome === 'granted') return applyGrant(state, job, claimed, now);
  if (claimed.owner === state.peer) return applyOwnRecord(state, job, claimed, now);
  startAttach(state, job, claimed, now);
}

function endWithConflict(state: EntryState, job: Job, differs: readonly string[], now: number): void {
  changeJob(job, 'attach');
  endWithAnswer(state, job, { outcome: 'conflict', differs }, now);
  // The key belongs to a job with other contents, so later submissions must not find this job under it.
  state.jobs.delete(job.key);
}

/** Handles a lookup that found no claim, so the job has not run: sends a pending refusal or claims the job. */
function finishLookup(state: EntryState, job: Job, now: number): void {
  if (job.refusal) return refuseJob(state, job, job.refusal, now);
  startClaim(state, job, 'claim', now);
}

function applyGrant(state: EntryState, job: Job, claimed: Claimed, now: number): void {
  const mode = job.claimMode;
  if (mode === 'lookup') return resumeOwnClaim(state, job, claimed, now);
  const earlier = mode === 'takeover' ? mergeMembers(claimed.members, job.members) : claimed.members;
  // Under any epoch but the job's current one, tasks may have been started that this entry has no record of.
  const sweep = mode === 'takeover' || (earlier.length > 0 && compareEpochs(claimed.epoch, job.epoch) !== 0);
  job.owner = '';
  job.epoch = claimed.epoch;
  job.setId = job.claimSetId;
  job.members = mergeMembers(earlier, state.agentSets.get(job.claimSetId) ?? []);
  if (sweep) return startSweep(state, job, earlier, now);
  startJob(state, job, now);
}

/**
 * Handles a lookup that found this entry as the owner: sends a pending refusal or claims the job again. A job
 * that was superseded or has another epoch fails.
 */
function resumeOwnClaim(state: EntryState, job: Job, claimed: Claimed, now: number): void {
  if (compareEpochs(claimed.epoch, job.epoch) !== 0) return failJob(state, job, 'superseded', now);
  if (job.owner !== '') return failJob(state, job, 'superseded', now);
  if (job.refusal) return refuseJob(state, job, job.refusal, now);
  startClaim(state, job, 'claim', now);
}

/** Handles a takeover that was granted before, but whose first reply was lost. */
function applyOwnRecord(state: EntryState, job: Job, claimed: Claimed, now: number): void {
  job.claimMode = 'takeover';
  applyGrant(state, job, claimed, now);
}

function finishWidening(state: EntryState, job: Job, claimed: Claimed, now: number): void {
  if (claimed.outcome === 'granted' && compareEpochs(claimed.epoch, job.epoch) === 0) {
    job.setId = job.claimSetId;
    job.members = mergeMembers(job.members, claimed.members);
    return;
  }
  if (claimed.outcome === 'owned') supersedeJob(state, job, now);
}

function mergeMembers(left: readonly string[], right: readonly string[]): readonly string[] {
  if (left.length === 0) return right;
  return [...new Set([...left, ...right])];
}
