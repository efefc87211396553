import { assignSeats } from './assignSeats.js';
import { MAX_REGISTRARS, REMOVED_ENTRY_KEPT_MS, RESULTS_KEPT } from './configState.js';
import type { ConfigState, MemberConfig } from './configState.js';
import type { DomainRecord, EventRecord, JoinRecord, LeaveRecord, LogEntry } from './logRecord.js';

/** The changed fields of the state, or the reason why the record is rejected. */
type Outcome = Partial<ConfigState> | string;

/**
 * Applies one record of the log. It is deterministic: all processes apply the same records in the same order
 * and so accept the same commands. A record at or below the offset of the state is ignored.
 *
 * @param state - the configuration before the record
 * @param entry - the record with its offset and log time
 * @returns the configuration after the record
 * @example
 * applyRecord(createConfigState(), { offset: 0, at: 1, record }).offset; // 0
 */
export function applyRecord(state: ConfigState, entry: LogEntry): ConfigState {
  const { offset, at, record } = entry;
  if (offset <= state.offset) return state;
  if (record.type === 'snapshot') return { ...state, offset };
  if (state.results.some((result) => result.id === record.id)) return { ...state, offset };
  const outcome = decideOutcome(state, entry);
  const accepted = typeof outcome !== 'string';
  const result = { id: record.id, offset, accepted, reason: accepted ? '' : outcome };
  const results = [...state.results, result].slice(-RESULTS_KEPT);
  const removedEntries = (accepted && outcome.removedEntries) || state.removedEntries;
  return {
    ...state,
    ...(accepted ? outcome : {}),
    offset,
    results,
    removedEntries: removedEntries.filter((removed) => removed.at + REMOVED_ENTRY_KEPT_MS > at),
  };
}

function decideOutcome(state: ConfigState, entry: LogEntry): Outcome {
  const { offset, at, record } = entry;
  if (record.type === 'join') return decideJoin(state, record, offset);
  if (record.type === 'leave') return decideLeave(state, record, offset, at);
  if (record.type === 'event') return decideEvent(state, record, offset);
  if (record.type === 'domain') return decideDomain(state, record);
  return `unknown record type`;
}

function decideJoin(state: ConfigState, record: JoinRecord, offset: number): Outcome {
  const member: MemberConfig = { peer: record.peer, address: record.address, joinedOffset: offset };
  if (record.role === 'entry') {
    if (hasPeer(state.entries, record.peer)) return 'already an entry';
    if (state.removedEntries.some((removed) => removed.peer === record.peer)) return 'was removed';
    return { entries: [...state.entries, member] };
  }
  if (hasPeer(state.registrars, record.peer) || hasPeer(state.standbys, record.peer))
    return 'already a registrar';
  return fillRegistrars(state, state.registrars, [...state.standbys, member], offset);
}

function decideLeave(state: ConfigState, record: LeaveRecord, offset: number, at: number): Outcome {
  const { peer } = record;
  const entry = state.entries.find((member) => member.peer === peer);
  if (entry) {
    const removed = { peer, joinedOffset: entry.joinedOffset, at };
    return { entries: withoutPeer(state.entries, peer), removedEntries: [...state.removedEntries, removed] };
  }
  if (!hasPeer(state.registrars, peer) && !hasPeer(state.standbys, peer)) return 'not a member';
  return fillRegistrars(
    state,
    withoutPeer(state.registrars, peer),
    withoutPeer(state.standbys, peer),
    offset,
  );
}

/** Promotes standbys up to `MAX_REGISTRARS` and assigns the seats. */
function fillRegistrars(
  state: ConfigState,
  registrars: readonly MemberConfig[],
  standbys: readonly MemberConfig[],
  offset: number,
): Outcome {
  const free = Math.max(0, MAX_REGISTRARS - registrars.length);
  const active = [...registrars, ...standbys.slice(0, free)];
  return {
    registrars: active,
    standbys: standbys.slice(free),
    seats: assignSeats(state.seats, active, offset),
  };
}

function decideEvent(state: ConfigState, record: EventRecord, offset: number): Outcome {
  const current = state.events.find((event) => event.name === record.event.name);
  if (record.action === 'declare') {
    if (current) return `event ${current.name} exists at version ${current.version}`;
    return { events: [...state.events, { ...record.event, version: offset }] };
  }
  if (!current) return `no event ${record.event.name}`;
  if (current.version !== record.decidedOn) {
    return `event ${current.name} is at version ${current.version}, the command was decided on ${record.decidedOn}`;
  }
  const others = state.events.filter((event) => event !== current);
  return { events: [...others, { ...record.event, version: offset }] };
}

function decideDomain({ emptiedDomains }: ConfigState, { failureDomain, isEmptied }: DomainRecord): Outcome {
  if (emptiedDomains.includes(failureDomain) === isEmptied)
    return `failure domain ${failureDomain} is ${isEmptied ? '' : 'not '}emptied`;
  const others = emptiedDomains.filter((one) => one !== failureDomain);
  return { emptiedDomains: isEmptied ? [...others, failureDomain] : others };
}

function hasPeer(members: readonly MemberConfig[], peer: string): boolean {
  return members.some((member) => member.peer === peer);
}

function withoutPeer(members: readonly MemberConfig[], peer: string): MemberConfig[] {
  return members.filter((member) => member.peer !== peer);
}
