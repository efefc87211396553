import { assertInvariant } from '../../_lib/assertInvariant.js';
import { compareEpochs, NO_EPOCH } from '../../connection/compareEpochs.js';
import type { Claim, ClaimOutcome, Epoch } from '../../connection/messages.js';
import type { SeatTenure } from '../../version/configState.js';
import { findSeat } from '../../version/findSeat.js';
import type { ClaimRecord, RegistrarState } from './registrarState.js';

/** Fields of a reply that does not refer to a recorded claim. */
const NO_CLAIM = { epoch: NO_EPOCH, owner: '', members: [] as readonly string[], digest: '' };

/**
 * Handles a claim. The first entry to claim a key owns it. Any other entry receives the owner and its epoch, and
 * may take the job over by sending the epoch that it expects to replace.
 *
 * @param state - the registrar's state
 * @param from - the entry
 * @param claim - the message
 * @param now - ms since the epoch
 * @example
 * handleClaim(state, 'entry-1@a', claim, Date.now());
 */
export function handleClaim(state: RegistrarState, from: string, claim: Claim, now: number): void {
  const tenure = state.config.seats[findSeat(claim.job)];
  const blockingOutcome = findBlockingOutcome(state, from, claim, tenure, now);
  if (blockingOutcome) return reply(state, from, claim, blockingOutcome);
  const record = state.claims.get(claim.job);
  if (record) return replyToKnownClaim(state, from, claim, record, tenure as SeatTenure);
  if (claim.createdAt < findHistoryStart(state, tenure as SeatTenure))
    return reply(state, from, claim, 'unknown');
  if (claim.createdAt + state.limits.horizonMs < now) return reply(state, from, claim, 'unknown');
  if (claim.mode === 'lookup') return reply(state, from, claim, 'none');
  if (state.claims.size >= state.limits.maxClaims) return reply(state, from, claim, 'denied');
  grantNewClaim(state, from, claim, (tenure as SeatTenure).sinceOffset);
}

/**
 * Finds the time from which the claim history of a seat is complete: keys created later cannot have been claimed
 * unless this registrar has the claim. It is 0 unless an entry was removed before it announced its claims.
 *
 * @param state - the registrar's state
 * @param tenure - the seat's tenure
 * @returns ms since the epoch
 */
export function findHistoryStart(state: RegistrarState, tenure: SeatTenure): number {
  let historyStart = 0;
  for (const removed of state.config.removedEntries) {
    if (removed.joinedOffset > tenure.sinceOffset) continue;
    if ((state.announced.get(removed.peer) ?? -1) >= tenure.sinceOffset) continue;
    historyStart = Math.max(historyStart, removed.at + state.limits.leaseMs + 2 * state.limits.skewMs);
  }
  return historyStart;
}

function findBlockingOutcome(
  state: RegistrarState,
  from: string,
  claim: Claim,
  tenure: SeatTenure | undefined,
  now: number,
): ClaimOutcome | undefined {
  if (claim.offset > state.config.offset) return 'pending';
  if (tenure?.peer !== state.peer) return 'pending';
  if (state.leaseRenewedAt + state.limits.leaseMs < now) return 'denied';
  if (!state.config.entries.some((entry) => entry.peer === from)) return 'denied';
  if (!isTenureComplete(state, tenure)) return 'pending';
  if (claim.mode !== 'lookup' && !state.agentSets.has(`${from}/${claim.setId}`)) return 'pending';
  return undefined;
}

/** Checks whether every entry that joined before the tenure has announced its claims. */
function isTenureComplete(state: RegistrarState, tenure: SeatTenure): boolean {
  return state.config.entries.every((entry) => {
    if (entry.joinedOffset > tenure.sinceOffset) return true;
    return (state.announced.get(entry.peer) ?? -1) >= tenure.sinceOffset;
  });
}

function replyToKnownClaim(
  state: RegistrarState,
  from: string,
  claim: Claim,
  record: ClaimRecord,
  tenure: SeatTenure,
): void {
  if (record.digest !== claim.digest) return replyRecord(state, from, claim, 'owned', record);
  // An entry that was removed before it announced its claims may have taken the job over. No further task of the
  // job may be started then, neither by the announcing owner nor by a takeover.
  const stale = record.announced && record.createdAt < findHistoryStart(state, tenure);
  if (stale && (record.owner === from || claim.mode === 'takeover'))
    return reply(state, from, claim, 'unknown');
  if (claim.mode === 'takeover' && compareEpochs(claim.expected, record.epoch) === 0) {
    return grantTakeover(state, from, claim, record, tenure.sinceOffset);
  }
  if (record.owner !== from || claim.mode === 'takeover')
    return replyRecord(state, from, claim, 'owned', record);
  if (claim.mode !== 'lookup') widenMembers(state, from, claim, record);
  // A repeated claim of the owner: it cannot have started tasks under a reply that it did not receive.
  replyRecord(state, from, claim, 'granted', record);
}

function grantTakeover(
  state: RegistrarState,
  from: string,
  claim: Claim,
  record: ClaimRecord,
  version: number,
): void {
  const before = record.epoch;
  record.owner = from;
  record.announced = false;
  record.epoch = nextEpoch(state, version);
  assertInvariant(compareEpochs(record.epoch, before) > 0, `epoch of ${claim.job} did not grow`);
  widenMembers(state, from, claim, record);
  replyRecord(state, from, claim, 'granted', record);
}

function grantNewClaim(state: RegistrarState, from: string, claim: Claim, version: number): void {
  const { job, createdAt, digest } = claim;
  const members = state.agentSets.get(`${from}/${claim.setId}`) as readonly string[];
  const epoch = nextEpoch(state, version);
  const record: ClaimRecord = { job, createdAt, digest, owner: from, epoch, members, announced: false };
  state.claims.set(job, record);
  // A new key has no earlier owner, so there are no agents to sweep.
  replyRecord(state, from, claim, 'granted', { ...record, members: [] });
}

function widenMembers(state: RegistrarState, from: string, claim: Claim, record: ClaimRecord): void {
  const added = state.agentSets.get(`${from}/${claim.setId}`);
  if (!added || added === record.members) return;
  record.members = [...new Set([...record.members, ...added])];
}

function nextEpoch(state: RegistrarState, version: number): Epoch {
  state.counter += 1;
  return { version, counter: state.counter };
}

function reply(state: RegistrarState, to: string, claim: Claim, outcome: ClaimOutcome): void {
  const message = { type: 'claimed', id: claim.id, job: claim.job, outcome, ...NO_CLAIM } as const;
  state.outbox.push({ to, message });
}

function replyRecord(
  state: RegistrarState,
  to: string,
  claim: Claim,
  outcome: ClaimOutcome,
  record: ClaimRecord,
): void {
  const { epoch, owner, members, digest } = record;
  const message = {
    type: 'claimed',
    id: claim.id,
    job: claim.job,
    outcome,
    epoch,
    owner,
    members,
    digest,
  } as const;
  state.outbox.push({ to, message });
}
