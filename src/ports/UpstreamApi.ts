/** Port: API of an upstream, which runs tasks under a lease of its executor. */

/** Identifies a run of a task at an upstream. */
export interface RunName {
  /** The caller's id of the job. */
  readonly job: string;
  readonly step: number;
  readonly index: number;
  /**
   * Number of the run, from 1; higher for each new run of the task at this upstream, unchanged when a start
   * is repeated.
   */
  readonly run: number;
}

/** Order to start a run. */
export interface RunStart {
  readonly name: RunName;
  readonly spec: string;
  /** End of the lease for all runs at the upstream, on the upstream's clock, ms. */
  readonly leaseUntilMs: number;
  readonly fencingToken: number;
}

/**
 * Outcome of a start. `superseded`: this or a newer run of the task has already been stopped or has ended
 * there; `late`: the lease had expired on arrival; `no-room`: not enough free capacity; `fenced`: a newer
 * fencing token was seen; `refused`: the upstream rejected the order without any effect; `invalid`: any other
 * rejection; `other-life`: an upstream with another id answered.
 */
export type StartVerdict =
  'started' | 'superseded' | 'late' | 'no-room' | 'fenced' | 'refused' | 'invalid' | 'other-life';

/** Answer to an order, with the upstream's clock in ms if the answer contains it. */
export interface OrderAnswer<Verdict extends string> {
  readonly verdict: Verdict;
  readonly clockMs: number | undefined;
}

/** Outcome of a stop. */
export type StopVerdict = 'accepted' | 'fenced' | 'refused' | 'other-life';

/** How a run ended. `lapsed`: its lease expired. */
export type RunEnd = 'done' | 'failed' | 'stopped' | 'lapsed' | 'broken';

/** A run in progress. */
export interface RunningRun {
  readonly name: RunName;
  /** Progress, 0 to 100; undefined if it could not be read. */
  readonly percent: number | undefined;
}

/** A run that has ended. */
export interface EndedRun {
  /** Rises by one with each run that ends in this incarnation of the upstream. */
  readonly sequence: number;
  /** Undefined if it could not be read. */
  readonly name: RunName | undefined;
  readonly end: RunEnd;
}

/** Request to renew the lease and to list the running and ended runs. */
export interface LeaseRenewal {
  /** New end of the lease; undefined to leave it unchanged. */
  readonly leaseUntilMs: number | undefined;
  readonly fencingToken: number;
  /** Highest sequence number up to which all ended runs have been recorded. */
  readonly lastSequence: number;
  /** How long the upstream may wait for a run to end before it answers, ms. */
  readonly waitMs: number;
}

/** Answer to a renewal. */
export type LeaseAnswer =
  | {
      readonly verdict: 'held';
      readonly clockMs: number;
      /** Start of the incarnation that answers, Unix ms; undefined when not given. */
      readonly bornAt: number | undefined;
      readonly running: readonly RunningRun[];
      readonly ended: readonly EndedRun[];
      /** Number of rows in both lists that could not be read; undefined for none. */
      readonly unreadable?: number;
    }
  | { readonly verdict: 'fenced'; readonly clockMs: number | undefined }
  | { readonly verdict: 'other-life' }
  | { readonly verdict: 'refused' };

/**
 * Client of one upstream. The verdict is `other-life` when an upstream with another id answers. Calls reject
 * if no valid answer arrives in time. They reject with a ConnectionRefusedError if nothing listens at the
 * address, so the order was not sent.
 */
export abstract class UpstreamApi {
  abstract start(order: RunStart, timeoutMs: number): Promise<OrderAnswer<StartVerdict>>;
  abstract stop(name: RunName, fencingToken: number, timeoutMs: number): Promise<OrderAnswer<StopVerdict>>;
  abstract renew(renewal: LeaseRenewal, timeoutMs: number): Promise<LeaseAnswer>;
  /** Closes the connections. */
  abstract close(): void;
}
