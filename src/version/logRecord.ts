/** Records of the platform's log. Each contains the id of the command that wrote it. */
import type { ConfigState, EventConfig } from './configState.js';

interface RecordBase {
  /** Unique id of the command; further records with the same id are ignored. */
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
  /** Version of the event that a change or end is based on; it is rejected for any other version. */
  readonly decidedOn: number;
  readonly event: EventConfig;
}

/** An operator evacuates a failure domain, so that no task is started there, or restores it. */
export interface DomainRecord extends RecordBase {
  readonly type: 'domain';
  readonly failureDomain: string;
  readonly isEmptied: boolean;
}

/** The complete state at `state.offset`, so that older records may expire. */
export interface SnapshotRecord extends RecordBase {
  readonly type: 'snapshot';
  readonly state: ConfigState;
}

/** Any record of the log. */
export type LogRecord = JoinRecord | LeaveRecord | EventRecord | DomainRecord | SnapshotRecord;

/** A record with its offset and time in the log. */
export interface LogEntry {
  readonly offset: number;
  /** Time of the append by the log's clock, ms since the epoch. */
  readonly at: number;
  readonly record: LogRecord;
}
