/** The records on the platform's log. Each carries the id of the command that wrote it. */
import type { ConfigState, EventConfig } from './configState.js';

interface RecordBase {
  /** Unique id of the command; a second record with the same id has no effect. */
  readonly id: string;
}

/** A process becomes a member. */
export interface JoinRecord extends RecordBase {
  readonly type: 'join';
  readonly role: 'entry' | 'registrar';
  readonly peer: string;
  readonly address: string;
}

/** A process stops being a member. */
export interface LeaveRecord extends RecordBase {
  readonly type: 'leave';
  readonly peer: string;
}

/** An operator declares, replaces or ends an event. */
export interface EventRecord extends RecordBase {
  readonly type: 'event';
  readonly action: 'declare' | 'change' | 'end';
  /** Version of the event that a change or end was decided on. */
  readonly decidedOn: number;
  readonly event: EventConfig;
}

/** An operator empties a failure domain, so that nothing is started there, or takes it back. */
export interface DomainRecord extends RecordBase {
  readonly type: 'domain';
  readonly failureDomain: string;
  readonly isEmptied: boolean;
}

/** The whole state after the record before it, so that older records may expire. */
export interface SnapshotRecord extends RecordBase {
  readonly type: 'snapshot';
  readonly state: ConfigState;
}

/** Any record of the log. */
export type LogRecord = JoinRecord | LeaveRecord | EventRecord | DomainRecord | SnapshotRecord;

/** A record with the place and time that the log gave it. */
export interface LogEntry {
  readonly offset: number;
  /** Log time of the append, in ms since the epoch. */
  readonly at: number;
  readonly record: LogRecord;
}
