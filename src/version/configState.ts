/**
 * The configuration that every process derives from the platform's log: members, seats and events. It is plain
 * data, so that it can be stored as a JSON snapshot.
 */

/** One kind of request that an event expects. */
export interface KindConfig {
  readonly name: string;
  /** Service that runs tasks of this kind. */
  readonly service: string;
  /** Operator priority: 0 is served first. */
  readonly priority: number;
  /** Default deadline of a job, ms after its submission. */
  readonly deadlineMs: number;
  /** Whether the caller may repeat the request under another job key. */
  readonly repeatable: boolean;
  /** Expected duration of a task, ms; used until a measured duration is available. */
  readonly expectedMs: number;
}

/** One event with a fixed start. */
export interface EventConfig {
  readonly name: string;
  /** Start, ms since the epoch. Jobs that arrive earlier are held until then. */
  readonly startAt: number;
  /** End, ms since the epoch; 0 for none. Later jobs are refused. */
  readonly endAt: number;
  readonly services: readonly string[];
  readonly kinds: readonly KindConfig[];
  /** Log offset of the record that last changed the event. */
  readonly version: number;
}

/** A process that joined through the log. */
export interface MemberConfig {
  /** Process id and incarnation, as `id@incarnation`. */
  readonly peer: string;
  /** `host:port` of its links. */
  readonly address: string;
  /** Offset of its join record. */
  readonly joinedOffset: number;
}

/** An entry that is no longer a member. Its claims may not be recorded at any registrar. */
export interface RemovedEntry {
  readonly peer: string;
  /** Offset of its join record. */
  readonly joinedOffset: number;
  /** Log time of the removal, ms since the epoch. */
  readonly at: number;
}

/** The registrar that holds a seat, and the start of its tenure. */
export interface SeatTenure {
  /** Peer of the registrar; empty if there is none. */
  readonly peer: string;
  /** Offset of the record that assigned the seat. */
  readonly sinceOffset: number;
}

/** Result of a command of an operator or a process. */
export interface CommandResult {
  readonly id: string;
  readonly offset: number;
  readonly accepted: boolean;
  /** Reason of the rejection; empty if accepted. */
  readonly reason: string;
}

/** The complete configuration after the record at `offset`. */
export interface ConfigState {
  /** Offset of the last record applied; -1 before the first. */
  readonly offset: number;
  readonly registrars: readonly MemberConfig[];
  readonly standbys: readonly MemberConfig[];
  readonly entries: readonly MemberConfig[];
  readonly removedEntries: readonly RemovedEntry[];
  readonly seats: readonly SeatTenure[];
  readonly events: readonly EventConfig[];
  /** Evacuated failure domains, in which no task is started. */
  readonly emptiedDomains: readonly string[];
  /** The latest results, oldest first, at most `RESULTS_KEPT`. */
  readonly results: readonly CommandResult[];
}

/** Number of seats that job keys hash to. Must not change while a log exists. */
export const SEAT_COUNT = 64;

/** Maximum number of registrars that hold seats; further ones are standbys. */
export const MAX_REGISTRARS = 32;

/** Number of command results kept, to resolve commands whose append was not acknowledged. */
export const RESULTS_KEPT = 256;

/** Retention of removed entries, ms of log time. Must exceed every deduplication horizon. */
export const REMOVED_ENTRY_KEPT_MS = 3_600_000;

/**
 * Creates the configuration before the first record.
 *
 * @returns the empty state, at offset -1
 * @example
 * createConfigState().offset; // -1
 */
export function createConfigState(): ConfigState {
  return {
    offset: -1,
    registrars: [],
    standbys: [],
    entries: [],
    removedEntries: [],
    seats: Array.from({ length: SEAT_COUNT }, () => ({ peer: '', sinceOffset: -1 })),
    events: [],
    emptiedDomains: [],
    results: [],
  };
}
