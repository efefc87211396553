import { assertInvariant } from '../../_lib/assertInvariant.js';
import { compareEpochs, NO_EPOCH } from '../../connection/compareEpochs.js';
import type { Claim, ClaimOutcome, Epoch } from '../../connection/messages.js';
import type { SeatTenure } from '../../version/configState.js';
import { findSeat } from '../../version/findSeat.js';
import type { ClaimRecord, RegistrarState } from './registrarState.js';

/** Epoch, owner, members and digest of an answer that names no claim. */
const NO_CLAIM = { epoch: NO_EPOCH, owner: '', members: [] as readonly string[], digest: '' };

/**
 * Answers one claim. The first entry to claim a key owns it; another learns the owner, and may take the job
 * over by naming the epoch it wants to end.
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
  const obstacle = findObstacle(state, from, claim, tenure, now);
  if (obstacle) return reply(state, from, claim, obstacle);
  const record = state.claims.get(claim.job);
  if (record) return answerKnown(state, from, claim, record, tenure as SeatTenure);
  if (claim.createdAt < findKnownFrom(state, tenure as SeatTenure))
    return reply(state, from, claim, 'unknown');
  if (claim.createdAt + state.limits.horizonMs < now) return reply(state, from, claim, 'unknown');
  if (claim.mode === 'lookup') return reply(state, from, claim, 'none');
  if (state.claims.size >= state.limits.maxClaims) return reply(state, from, claim, 'denied');
  grantNew(state, from, claim, (tenure as SeatTenure).sinceOffset);
}

/**
 * Finds the oldest creation time of keys that nobody can have claimed without this registrar knowing it.
 * Only entries that were removed before they announced their claims for the tenure make it later than 0.
 *
 * @param state - the registrar's state
 * @param tenure - the seat's tenure
 * @returns ms since the epoch
 */
export function findKnownFrom(state: RegistrarState, tenure: SeatTenure): number {
  let knownFrom = 0;
  for (const removed of state.config.removedEntries) {
    if (removed.joinedOffset > tenure.sinceOffset) continue;
    if ((state.announced.get(removed.peer) ?? -1) >= tenure.sinceOffset) continue;
    knownFrom = Math.max(knownFrom, removed.at + state.limits.leaseMs + 2 * state.limits.skewMs);
  }
  return knownFrom;
}

function findObstacle(
  state: RegistrarState,
  from: string,
  claim: Claim,
  tenure: SeatTenure | undefined,
  now: number,
): ClaimOutcome | undefined {
  if (claim.offset > state.config.offset) return 'pending';
  if (tenure?.peer !== state.peer) return 'pending';
  if (state.heardAt + state.limits.leaseMs < now) return 'denied';
  if (!state.config.entries.some((entry) => entry.peer === from)) return 'denied';
  if (!isTenureComplete(state, tenure)) return 'pending';
  if (claim.mode !== 'lookup' && !state.sets.has(`${from}/${claim.setId}`)) return 'pending';
  return undefined;
}

/** A seat is complete once every entry older than the tenure has announced its claims. */
function isTenureComplete(state: RegistrarState, tenure: SeatTenure): boolean {
  return state.config.entries.every((entry) => {
    if (entry.joinedOffset > tenure.sinceOffset) return true;
    return (state.announced.get(entry.peer) ?? -1) >= tenure.sinceOffset;
  });
}

function answerKnown(
  state: RegistrarState,
  from: string,
  claim: Claim,
  record: ClaimRecord,
  tenure: SeatTenure,
): void {
  if (record.digest !== claim.digest) return replyRecord(state, from, claim, 'owned', record);
  // A later owner that is gone may have taken the job over where this registrar could not see it. Then neither
  // the owner that announced it nor anybody else may start more of it.
  const stale = record.announced && record.createdAt < findKnownFrom(state, tenure);
  if (stale && (record.owner === from || claim.mode === 'takeover'))
    return reply(state, from, claim, 'unknown');
  if (claim.mode === 'takeover' && compareEpochs(claim.expected, record.epoch) === 0) {
    return grantTakeover(state, from, claim, record, tenure.sinceOffset);
  }
  if (record.owner !== from || claim.mode === 'takeover')
    return replyRecord(state, from, claim, 'owned', record);
  if (claim.mode !== 'lookup') widenMembers(state, from, claim, record);
  // The owner asks again: nothing was started under an answer it did not receive.
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

function grantNew(state: RegistrarState, from: string, claim: Claim, version: number): void {
  const { job, createdAt, digest } = claim;
  const members = state.sets.get(`${from}/${claim.setId}`) as readonly string[];
  const epoch = nextEpoch(state, version);
  const record: ClaimRecord = { job, createdAt, digest, owner: from, epoch, members, announced: false };
  state.claims.set(job, record);
  // A fresh key has no earlier owner whose agents would have to be asked.
  replyRecord(state, from, claim, 'granted', { ...record, members: [] });
}

function widenMembers(state: RegistrarState, from: string, claim: Claim, record: ClaimRecord): void {
  const added = state.sets.get(`${from}/${claim.setId}`);
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
