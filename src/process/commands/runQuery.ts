import type { EntryState } from '../entry/entryState.js';
import type { Condition, QueryStatement, Subject } from './statement.js';

/** One row of a query result, by column. */
export type Row = Readonly<Record<string, string | number | boolean>>;

/** Maximum number of rows of a query without a limit. */
export const DEFAULT_ROW_LIMIT = 1_000;

/**
 * Subjects that come from the replicated configuration and are the same on every entry, so that one entry
 * answers for all.
 */
const SHARED_SUBJECTS: ReadonlySet<Subject> = new Set([
  'events',
  'kinds',
  'registrars',
  'entries',
  'domains',
]);

/**
 * Checks whether a query must be run on every entry.
 *
 * @param statement - the query
 * @returns false when the configuration suffices
 */
export function needsAllEntries(statement: QueryStatement): boolean {
  return !SHARED_SUBJECTS.has(statement.subject);
}

/**
 * Runs a query on the state of one entry.
 *
 * @param state - the entry's state
 * @param statement - the query
 * @param now - ms since the epoch
 * @returns the rows that meet all conditions; for `list` sorted and limited
 */
export function runQuery(state: EntryState, statement: QueryStatement, now: number): Row[] {
  const rows = listRows(state, statement.subject, now).filter((row) => meetsAll(row, statement.conditions));
  return statement.action === 'count' ? rows : sortRows(rows, statement);
}

/**
 * Sorts rows and applies the limit.
 *
 * @param rows - the rows
 * @param statement - the query
 * @returns the sorted rows, at most the limit
 */
export function sortRows(rows: readonly Row[], statement: QueryStatement): Row[] {
  const { order, limit } = statement;
  const sorted = [...rows];
  if (order) {
    const sign = order.descending ? -1 : 1;
    sorted.sort((left, right) => sign * compareValues(left[order.field], right[order.field]));
  }
  return sorted.slice(0, limit ?? DEFAULT_ROW_LIMIT);
}

function listRows(state: EntryState, subject: Subject, now: number): Row[] {
  const { config } = state;
  switch (subject) {
    case 'jobs':
      return [...state.jobs.values()].map((job) => ({
        job: job.key,
        state: job.state,
        event: job.event,
        caller: job.caller,
        team: job.team,
        priority: job.priority,
        tasks: job.taskCount,
        finished: job.finished,
        queued: job.queued.length,
        ageMs: Math.round(now - job.arrivedAt),
        entry: state.peer,
      }));
    case 'tasks':
      return [...state.active].flatMap((job) =>
        job.tasks.map((task) => ({
          job: job.key,
          index: task.index,
          kind: task.kind,
          state: task.state,
          agent: task.agent,
          attempt: task.attempt,
          expectedMs: Math.round(task.expectedMs),
          entry: state.peer,
        })),
      );
    case 'agents':
      return [...state.agents.values()].map((agent) => ({
        agent: agent.peer,
        failureDomain: agent.failureDomain,
        state: agent.leaving ? 'leaving' : agent.connected ? 'up' : 'down',
        slots: agent.slots,
        outstanding: agent.outstanding.size,
        credits: agent.granted - agent.used,
        slowness: Number(agent.slowness.toFixed(2)),
        entry: state.peer,
      }));
    case 'events':
      return config.events.map(({ name, version, startAt, endAt, services, kinds }) => {
        const phase = now < startAt ? 'declared' : endAt > 0 && now >= endAt ? 'ended' : 'open';
        return {
          event: name,
          version,
          state: phase,
          startAt,
          endAt,
          services: services.join(','),
          kinds: kinds.length,
        };
      });
    case 'kinds':
      return config.events.flatMap((event) =>
        event.kinds.map((kind) => ({ event: event.name, ...kind, kind: kind.name })),
      );
    case 'entries':
      return config.entries.map(({ peer, address, joinedOffset }) => ({
        entry: peer,
        address,
        joinedOffset,
      }));
    case 'domains':
      return config.emptiedDomains.map((domain) => ({ domain, state: 'emptied' }));
    case 'registrars':
      return config.registrars.map(({ peer, address, joinedOffset }) => {
        const seats = config.seats.filter((seat) => seat.peer === peer).length;
        return { registrar: peer, address, joinedOffset, seats };
      });
  }
}

function meetsAll(row: Row, conditions: readonly Condition[]): boolean {
  return conditions.every(({ field, comparison, value }) => {
    const actual = row[field];
    if (actual === undefined) return false;
    if (comparison === '~') return String(actual).includes(String(value));
    const order = compareValues(actual, value);
    if (comparison === '=') return order === 0;
    if (comparison === '!=') return order !== 0;
    if (comparison === '<') return order < 0;
    if (comparison === '<=') return order <= 0;
    if (comparison === '>') return order > 0;
    return order >= 0;
  });
}

function compareValues(left: unknown, right: unknown): number {
  if (typeof left === 'number' && typeof right === 'number') return left - right;
  return String(left).localeCompare(String(right));
}
