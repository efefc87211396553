import type { ConfigState, EventConfig } from '../../version/configState.js';
import type { DomainRecord, EventRecord } from '../../version/logRecord.js';
import type { CommandStatement, EventClauses, EventStatement, TimeValue } from './statement.js';

/** A record for the log, or the reason why the command is rejected. */
export type RecordResult<Record = EventRecord> =
  { readonly ok: true; readonly record: Record } | { readonly ok: false; readonly reason: string };

/**
 * Builds the log record of an operator's command.
 *
 * @param statement - the command
 * @param config - the current configuration
 * @param id - unique id of the command
 * @param now - ms since the epoch
 * @returns the record, or the reason for the rejection
 */
export function buildCommandRecord(
  statement: CommandStatement,
  config: ConfigState,
  id: string,
  now: number,
): RecordResult<EventRecord | DomainRecord> {
  if (!('failureDomain' in statement)) return buildEventRecord(statement, config, id, now);
  const { failureDomain, type } = statement;
  return { ok: true, record: { type: 'domain', id, failureDomain, isEmptied: type === 'evacuate' } };
}

/**
 * Builds the log record of an operator's command on an event. Omitted clauses keep their current values.
 * A command that was decided on another version of the event is rejected, so that it cannot overwrite a
 * concurrent change.
 *
 * @param statement - the command
 * @param config - the current configuration
 * @param id - unique id of the command
 * @param now - ms since the epoch
 * @returns the record, or the reason for the rejection
 */
export function buildEventRecord(
  statement: EventStatement,
  config: ConfigState,
  id: string,
  now: number,
): RecordResult {
  const current = config.events.find((event) => event.name === statement.name);
  if (statement.type === 'declare') {
    const event = buildNewEvent(statement.name, statement.clauses, now);
    if (event.kinds.length === 0) return { ok: false, reason: 'an event needs kinds' };
    return checkEvent({ type: 'event', id, action: 'declare', decidedOn: 0, event });
  }
  if (!current) return { ok: false, reason: `no event ${statement.name}` };
  const decidedOn = statement.version;
  if (current.version !== decidedOn) {
    return { ok: false, reason: `event ${current.name} is at version ${current.version}, not ${decidedOn}` };
  }
  if (statement.type === 'end') {
    const event = { ...current, endAt: resolveTime(statement.at, now) };
    return { ok: true, record: { type: 'event', id, action: 'end', decidedOn, event } };
  }
  if (statement.type === 'prioritize') {
    const { kind: name, priority } = statement;
    if (!current.kinds.some((kind) => kind.name === name)) return { ok: false, reason: `no kind ${name}` };
    const kinds = current.kinds.map((kind) => (kind.name === name ? { ...kind, priority } : kind));
    return checkEvent({ type: 'event', id, action: 'change', decidedOn, event: { ...current, kinds } });
  }
  const event = mergeClauses(current, statement.clauses, now);
  return checkEvent({ type: 'event', id, action: 'change', decidedOn, event });
}

function buildNewEvent(name: string, clauses: EventClauses, now: number): EventConfig {
  const empty: EventConfig = { name, startAt: now, endAt: 0, services: [], kinds: [], version: 0 };
  return mergeClauses(empty, clauses, now);
}

function mergeClauses(event: EventConfig, clauses: EventClauses, now: number): EventConfig {
  const { start, end, services, kinds } = clauses;
  return {
    ...event,
    startAt: start ? resolveTime(start, now) : event.startAt,
    endAt: end ? resolveTime(end, now) : event.endAt,
    services: services ?? event.services,
    kinds: kinds ?? event.kinds,
  };
}

function resolveTime(time: TimeValue, now: number): number {
  return time.type === 'at' ? time.ms : Math.round(now) + time.plusMs;
}

function checkEvent(record: EventRecord): RecordResult {
  const { startAt, endAt, kinds, services } = record.event;
  if (endAt > 0 && endAt <= startAt) return { ok: false, reason: 'the end must be after the start' };
  const names = new Set(kinds.map((kind) => kind.name));
  if (names.size !== kinds.length) return { ok: false, reason: 'a kind stands twice' };
  for (const { name, service, priority, expectedMs, deadlineMs } of kinds) {
    if (service !== '' && !services.includes(service))
      return { ok: false, reason: `kind ${name}: no service ${service}` };
    if (priority < 0 || !Number.isInteger(priority))
      return { ok: false, reason: `kind ${name}: priority is a whole number from 0` };
    if (expectedMs <= 0 || deadlineMs <= 0)
      return { ok: false, reason: `kind ${name}: durations are above 0` };
  }
  return { ok: true, record };
}
