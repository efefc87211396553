import { NO_EPOCH } from '../../../connection/compareEpochs.js';
import type { ClaimMode, Epoch } from '../../../connection/messages.js';
import type { Job } from '../../../request/job.js';
import { findSeat } from '../../../version/findSeat.js';
import type { EntryState } from '../entryState.js';
import { clearRequests } from './jobChanges.js';

/**
 * Starts a claim at the registrar of a job's seat, and drops pending requests of the job.
 *
 * @param state - the entry's state
 * @param job - the job
 * @param mode - kind of claim
 * @param now - ms since the epoch
 * @param expected - takeover only: the epoch to replace
 */
export function startClaim(
  state: EntryState,
  job: Job,
  mode: ClaimMode,
  now: number,
  expected: Epoch = NO_EPOCH,
): void {
  clearRequests(state, job);
  job.claimMode = mode;
  job.claimSince = now;
  job.claimTries = 0;
  job.expected = expected;
  sendClaim(state, job, now);
}

/**
 * Sends or resends a job's claim. Without a lease or a link to the registrar, only schedules the next try.
 *
 * @param state - the entry's state
 * @param job - the job
 * @param now - ms since the epoch
 */
export function sendClaim(state: EntryState, job: Job, now: number): void {
  const wait = Math.min(state.limits.claimRetryMaxMs, state.limits.claimRetryMs * 2 ** job.claimTries);
  job.claimTries += 1;
  // The first reply of a busy registrar may be slow; a longer first wait avoids needless resends.
  job.claimAt = now + Math.max(wait, job.claimTries === 1 ? state.limits.claimRetryMs * 10 : wait);
  if (!hasLease(state, now)) return;
  const registrar = state.config.seats[findSeat(job.key)]?.peer ?? '';
  if (!state.peers.get(registrar)?.connected) return;
  // A resent claim keeps its id, so the first reply counts. Each lookup gets a new id, so that only a reply to the
  // last one counts: a refusal must not rest on an outdated lookup.
  if (job.claimId === 0 || job.claimMode === 'lookup') assignClaimId(state, job);
  sendAgentSet(state, registrar, job.claimSetId, job.claimTries > 1);
  const { key, createdAt, digest, claimId: id, claimMode: mode, expected } = job;
  const { setId, config } = state;
  const message = {
    type: 'claim',
    id,
    job: key,
    createdAt,
    digest,
    setId,
    mode,
    expected,
    offset: config.offset,
  } as const;
  state.outbox.push({ type: 'send', to: registrar, message });
}

/**
 * Checks whether the entry may claim: it has recently read the log or received messages from a majority of the
 * registrars.
 *
 * @param state - the entry's state
 * @param now - ms since the epoch
 * @returns true within the lease
 */
export function hasLease(state: EntryState, now: number): boolean {
  return Math.max(state.logReadAt, state.majorityReceivedAt) + state.limits.leaseMs >= now;
}

function assignClaimId(state: EntryState, job: Job): void {
  state.claims.delete(job.claimId);
  job.claimId = state.nextId;
  state.nextId += 1;
  job.claimSetId = state.setId;
  state.claims.set(job.claimId, job);
}

function sendAgentSet(state: EntryState, registrar: string, setId: number, again: boolean): void {
  if (!again && (state.sentSetIds.get(registrar) ?? -1) >= setId) return;
  state.sentSetIds.set(registrar, Math.max(setId, state.sentSetIds.get(registrar) ?? -1));
  const members = state.agentSets.get(setId) ?? [];
  state.outbox.push({ type: 'send', to: registrar, message: { type: 'agentSet', setId, members } });
}
