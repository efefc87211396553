import { compareEpochs } from '../../connection/compareEpochs.js';
import type { AgentSet, Announce, OwnedClaim } from '../../connection/messages.js';
import { findSeat } from '../../version/findSeat.js';
import type { RegistrarState } from './registrarState.js';

/**
 * Records the claims that an entry owns on this registrar's seats.
 *
 * @param state - the registrar's state
 * @param from - the entry
 * @param announce - one part of its announcement
 * @returns false if the part was not recorded, because the registrar lacks the entry's configuration or agent sets
 * or the entry is not a member; the entry has to resend it
 * @example
 * handleAnnounce(state, 'entry-1@a', { type: 'announce', offset: 3, claims: [], id: 1, part: 0, parts: 1 });
 */
export function handleAnnounce(state: RegistrarState, from: string, announce: Announce): boolean {
  if (announce.offset > state.config.offset) return false;
  if (!state.config.entries.some((entry) => entry.peer === from)) return false;
  if (announce.claims.some((claim) => findMembers(state, from, claim) === undefined)) return false;
  for (const claim of announce.claims) recordAnnounced(state, from, claim, announce.offset);
  const before = state.announced.get(from) ?? -1;
  if (!recordPart(state, from, announce)) return true;
  state.announced.set(from, Math.max(before, announce.offset));
  state.outbox.push({ to: from, message: { type: 'announced', offset: announce.offset } });
  return true;
}

/** Returns the agents that an announced claim may have used; undefined if its agent set has not been received. */
function findMembers(state: RegistrarState, from: string, claim: OwnedClaim): readonly string[] | undefined {
  return claim.members.length > 0 ? claim.members : state.agentSets.get(`${from}/${claim.setId}`);
}

/** Records one part of an announcement and returns whether all parts of it have been received. */
function recordPart(state: RegistrarState, from: string, announce: Announce): boolean {
  const { id, part, parts } = announce;
  const known = state.parts.get(from);
  if (known && known.id > id) return false;
  const current = known?.id === id ? known : { id, recorded: new Set<number>() };
  state.parts.set(from, current);
  current.recorded.add(part);
  return current.recorded.size === parts;
}

function recordAnnounced(state: RegistrarState, from: string, claim: OwnedClaim, offset: number): void {
  const { job, createdAt, epoch, digest } = claim;
  const tenure = state.config.seats[findSeat(job)];
  if (tenure?.peer !== state.peer || tenure.sinceOffset > offset) return;
  const known = state.claims.get(job);
  if (known && compareEpochs(known.epoch, epoch) >= 0) return;
  const members = findMembers(state, from, claim) ?? [];
  state.claims.set(job, { job, createdAt, digest, owner: from, epoch, members, announced: true });
}

/**
 * Records the members of an agent set, which claims reference by id.
 *
 * @param state - the registrar's state
 * @param from - the entry
 * @param set - the message
 * @example
 * handleAgentSet(state, 'entry-1@a', { type: 'agentSet', setId: 1, members: ['agent-1@a'] });
 */
export function handleAgentSet(state: RegistrarState, from: string, set: AgentSet): void {
  state.agentSets.set(`${from}/${set.setId}`, set.members);
}

/**
 * Renews the lease after the log was read or a majority of the registrars was confirmed.
 *
 * @param state - the registrar's state
 * @param now - ms since the epoch
 * @example
 * renewLease(state, Date.now());
 */
export function renewLease(state: RegistrarState, now: number): void {
  state.leaseRenewedAt = Math.max(state.leaseRenewedAt, now);
}

/**
 * Removes claims past the horizon, and the agent sets of entries that are no longer members.
 *
 * @param state - the registrar's state
 * @param now - ms since the epoch
 * @returns number of removed claims
 * @example
 * expireClaims(state, Date.now());
 */
export function expireClaims(state: RegistrarState, now: number): number {
  let expired = 0;
  for (const claim of state.claims.values()) {
    if (claim.createdAt + state.limits.horizonMs + 2 * state.limits.skewMs > now) continue;
    state.claims.delete(claim.job);
    expired += 1;
  }
  const live = new Set(state.config.entries.map((entry) => entry.peer));
  for (const key of state.agentSets.keys()) {
    if (!live.has(key.slice(0, key.lastIndexOf('/')))) state.agentSets.delete(key);
  }
  return expired;
}
