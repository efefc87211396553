import { assertInvariant } from '../../_lib/assertInvariant.js';
import type { OwnedClaim } from '../../connection/messages.js';
import type { ConfigState } from '../../version/configState.js';
import { findSeat } from '../../version/findSeat.js';
import { isOwned } from './_lib/jobChanges.js';
import type { EntryState } from './entryState.js';

/**
 * Applies a newer configuration. Drops pending claims on seats with a new tenure, and announces the claims that
 * this entry owns to the new registrars.
 *
 * @param state - the entry's state
 * @param config - a configuration at the same offset or a later one
 * @param now - ms since the epoch
 * @throws InvariantError when the configuration is older than the one in use
 */
export function applyEntryConfig(state: EntryState, config: ConfigState, now: number): void {
  assertInvariant(config.offset >= state.config.offset, 'the new configuration is older than the one in use');
  const before = state.config;
  state.config = config;
  for (const [id, job] of state.claims) {
    const seat = findSeat(job.key);
    if (before.seats[seat]?.sinceOffset === config.seats[seat]?.sinceOffset) continue;
    state.claims.delete(id);
    job.claimId = 0;
    job.claimAt = now;
  }
  announceClaims(state, now);
}

/**
 * Announces this entry's claims to every registrar that received a seat since its last recorded announcement.
 *
 * @param state - the entry's state
 * @param now - ms since the epoch
 */
export function announceClaims(state: EntryState, now: number): void {
  for (const [registrar, sinceOffset] of listTenures(state.config)) {
    if ((state.announced.get(registrar) ?? -1) >= sinceOffset) continue;
    if (!state.peers.get(registrar)?.connected) continue;
    const last = state.announcedAt.get(registrar) ?? Number.NEGATIVE_INFINITY;
    if (last + state.limits.announceRepeatMs > now) continue;
    state.announcedAt.set(registrar, now);
    sendAnnounce(state, registrar);
  }
}

/**
 * Records that a registrar acknowledged an announcement.
 *
 * @param state - the entry's state
 * @param registrar - `id@incarnation` of the registrar
 * @param offset - configuration offset of the announcement
 */
export function recordAnnounced(state: EntryState, registrar: string, offset: number): void {
  state.announced.set(registrar, Math.max(offset, state.announced.get(registrar) ?? -1));
}

/** Returns the offset of each registrar's newest tenure. */
function listTenures(config: ConfigState): Map<string, number> {
  const tenures = new Map<string, number>();
  for (const { peer, sinceOffset } of config.seats) {
    if (peer !== '') tenures.set(peer, Math.max(sinceOffset, tenures.get(peer) ?? -1));
  }
  return tenures;
}

function sendAnnounce(state: EntryState, registrar: string): void {
  const claims: OwnedClaim[] = [];
  const setIds = new Set<number>();
  for (const job of state.jobs.values()) {
    if (!isOwned(job) || state.config.seats[findSeat(job.key)]?.peer !== registrar) continue;
    const { key, createdAt, epoch, digest, setId } = job;
    // The members of most jobs equal an agent set, which is sent once and referenced by its id.
    const members = job.members === state.agentSets.get(setId) ? [] : job.members;
    if (members.length === 0) setIds.add(setId);
    claims.push({ job: key, createdAt, epoch, digest, setId, members });
  }
  for (const setId of setIds) {
    const message = { type: 'agentSet', setId, members: state.agentSets.get(setId) ?? [] } as const;
    state.outbox.push({ type: 'send', to: registrar, message });
  }
  sendAnnounceParts(state, registrar, claims);
}

function sendAnnounceParts(state: EntryState, registrar: string, claims: readonly OwnedClaim[]): void {
  const { offset } = state.config;
  const { claimsPerPart } = state.limits;
  const id = state.nextId;
  state.nextId += 1;
  const parts = Math.max(1, Math.ceil(claims.length / claimsPerPart));
  for (let part = 0; part < parts; part += 1) {
    const own = claims.slice(part * claimsPerPart, (part + 1) * claimsPerPart);
    const message = { type: 'announce', offset, claims: own, id, part, parts } as const;
    state.outbox.push({ type: 'send', to: registrar, message });
  }
}
