/**
 * The configuration that every process derives from the platform's log: who is a registrar, who is an
 * entry, which events exist. It is plain data, so that a snapshot is its JSON.
 */

/** One kind of request that an event expects. */
export interface KindConfig {
  readonly name: string;
  /** Service the kind belongs to. */
  readonly service: string;
  /** Operator priority: 0 is served first. */
  readonly priority: number;
  /** Default deadline of a job's answer, in ms after its submission. */
  readonly deadlineMs: number;
  /** Whether the caller may repeat the request under another job key. */
  readonly repeatable: boolean;
  /** Declared duration of one task in ms; used until a measured one is known. */
  readonly expectedMs: number;
}

/** One event with a fixed start. */
export interface EventConfig {
  readonly name: string;
  /** Start, in ms since the epoch. Jobs that arrive earlier are held until then. */
  readonly startAt: number;
  /** End, in ms since the epoch; 0 for none. Later jobs are refused. */
  readonly endAt: number;
  readonly services: readonly string[];
  readonly kinds: readonly KindConfig[];
  /** Log offset of the record that last changed the event. */
  readonly version: number;
}

/** A process that the log knows as a member. */
export interface MemberConfig {
  /** Process id and incarnation, as `id@incarnation`. */
  readonly peer: string;
  /** `host:port` of its links. */
  readonly address: string;
  /** Offset of the record that admitted it. */
  readonly joinedOffset: number;
}

/** An entry that is no longer a member. Its claims may be known to nobody. */
export interface RemovedEntry {
  readonly peer: string;
  /** Offset of the record that had admitted it. */
  readonly joinedOffset: number;
  /** Log time of the removal, in ms since the epoch. */
  readonly at: number;
}

/** Which registrar holds a seat, and since when. */
export interface SeatTenure {
  /** Peer of the registrar, or an empty string while there is none. */
  readonly peer: string;
  /** Offset of the record that gave it the seat. */
  readonly sinceOffset: number;
}

/** What became of an operator's or a process's command. */
export interface CommandResult {
  readonly id: string;
  readonly offset: number;
  readonly accepted: boolean;
  /** Why it was rejected; empty when accepted. */
  readonly reason: string;
}

/** The whole configuration after the record at `offset`. */
export interface ConfigState {
  /** Offset of the last record applied; -1 before the first. */
  readonly offset: number;
  readonly registrars: readonly MemberConfig[];
  readonly standbys: readonly MemberConfig[];
  readonly entries: readonly MemberConfig[];
  readonly removedEntries: readonly RemovedEntry[];
  readonly seats: readonly SeatTenure[];
  readonly events: readonly EventConfig[];
  /** Failure domains in which nothing is started. */
  readonly emptiedDomains: readonly string[];
  /** The newest results, oldest first, at most `RESULTS_KEPT`. */
  readonly results: readonly CommandResult[];
}

/** Number of seats that job keys hash to. Fixed for the life of a log. */
export const SEAT_COUNT = 64;

/** Most registrars that hold seats at once; later ones stand by. */
export const MAX_REGISTRARS = 32;

/** How many command results the state keeps, for resolving lost append answers. */
export const RESULTS_KEPT = 256;

/** How long a removed entry is remembered, in ms of log time. Longer than any dedupe horizon. */
export const REMOVED_ENTRY_KEPT_MS = 3_600_000;

/**
 * Returns the configuration before the first record.
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
