import { NO_EPOCH } from '../../../connection/compareEpochs.js';
import type { ClaimMode, Epoch } from '../../../connection/messages.js';
import type { Job } from '../../../request/job.js';
import { findSeat } from '../../../version/findSeat.js';
import type { EntryState } from '../entryState.js';
import { dropRequests } from './jobChanges.js';

/**
 * Begins to ask the registrar of a job's seat.
 *
 * @param state - the entry's state
 * @param job - the job
 * @param mode - what to ask for
 * @param now - ms since the epoch
 * @param expected - takeover only: the epoch to end
 */
export function startClaim(
  state: EntryState,
  job: Job,
  mode: ClaimMode,
  now: number,
  expected: Epoch = NO_EPOCH,
): void {
  dropRequests(state, job);
  job.claimMode = mode;
  job.claimSince = now;
  job.claimTries = 0;
  job.expected = expected;
  sendClaim(state, job, now);
}

/**
 * Sends a job's claim, or sends it again. Without a lease or a linked registrar it is only scheduled.
 *
 * @param state - the entry's state
 * @param job - the job
 * @param now - ms since the epoch
 */
export function sendClaim(state: EntryState, job: Job, now: number): void {
  const wait = Math.min(state.limits.claimRetryMaxMs, state.limits.claimRetryMs * 2 ** job.claimTries);
  job.claimTries += 1;
  // The first answer may take as long as a loaded registrar needs; a repeat costs little but is not free.
  job.claimAt = now + Math.max(wait, job.claimTries === 1 ? state.limits.claimRetryMs * 10 : wait);
  if (!hasLease(state, now)) return;
  const registrar = state.config.seats[findSeat(job.key)]?.peer ?? '';
  if (!state.peers.get(registrar)?.connected) return;
  // A repeated claim is the same request: whichever answer comes first counts. Of lookups only the last one
  // counts, because a refusal has to be true when it is said.
  if (job.claimId === 0 || job.claimMode === 'lookup') numberClaim(state, job);
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
 * Tells whether the entry may claim: it heard the log, or a majority of the registrars, a short while ago.
 *
 * @param state - the entry's state
 * @param now - ms since the epoch
 * @returns true within the lease
 */
export function hasLease(state: EntryState, now: number): boolean {
  return Math.max(state.heardLogAt, state.heardMajorityAt) + state.limits.leaseMs >= now;
}

function numberClaim(state: EntryState, job: Job): void {
  state.claims.delete(job.claimId);
  job.claimId = state.nextId;
  state.nextId += 1;
  job.claimSetId = state.setId;
  state.claims.set(job.claimId, job);
}

function sendAgentSet(state: EntryState, registrar: string, setId: number, again: boolean): void {
  if (!again && (state.sentSets.get(registrar) ?? -1) >= setId) return;
  state.sentSets.set(registrar, Math.max(setId, state.sentSets.get(registrar) ?? -1));
  const members = state.sets.get(setId) ?? [];
  state.outbox.push({ type: 'send', to: registrar, message: { type: 'agentSet', setId, members } });
}
