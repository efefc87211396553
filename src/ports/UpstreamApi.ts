/** Port: how an agent has one upstream run tasks under a lease. */

/** Names one run of one task at an upstream. */
export interface RunName {
  /** The caller's id of the job. */
  readonly job: string;
  readonly step: number;
  readonly index: number;
  /** Counts the starts of the task at this upstream, from 1. */
  readonly run: number;
}

/** Order to start a run. */
export interface RunStart {
  readonly name: RunName;
  readonly spec: string;
  /** Lease of everything that runs there, on the upstream's clock, ms. */
  readonly leaseUntilMs: number;
  readonly fencingToken: number;
}

/**
 * Outcome of a start. `superseded`: a run as new as this one has stopped or ended there; `late`: the lease was
 * over on arrival; `refused`: the upstream did nothing and says so.
 */
export type StartVerdict =
  'started' | 'superseded' | 'late' | 'no-room' | 'fenced' | 'refused' | 'invalid' | 'other-life';

/** Answer to an order; the clock is the upstream's, ms, where it was told. */
export interface OrderAnswer<Verdict extends string> {
  readonly verdict: Verdict;
  readonly clockMs: number | undefined;
}

/** Outcome of a stop. */
export type StopVerdict = 'accepted' | 'fenced' | 'refused' | 'other-life';

/** How a run ended. `lapsed`: its lease ran out. */
export type RunEnd = 'done' | 'failed' | 'stopped' | 'lapsed' | 'broken';

/** A run at work. */
export interface RunningRun {
  readonly name: RunName;
  /** Progress, 0 to 100. */
  readonly percent: number;
}

/** A run that is over. */
export interface EndedRun {
  /** Rises by one with each end of this life of the upstream. */
  readonly sequence: number;
  readonly name: RunName;
  readonly end: RunEnd;
}

/** Asks for the lists and prolongs the lease. */
export interface LeaseRenewal {
  /** Undefined leaves the lease as it is. */
  readonly leaseUntilMs: number | undefined;
  readonly fencingToken: number;
  /** Ends up to here have been noted for good. */
  readonly lastSequence: number;
  /** How long the upstream may wait for an end before it answers, ms. */
  readonly waitMs: number;
}

/** What an upstream holds. */
export type LeaseAnswer =
  | {
      readonly verdict: 'held';
      readonly clockMs: number;
      /** Start of the life that answers, Unix ms; undefined where it tells none. */
      readonly bornAt: number | undefined;
      readonly running: readonly RunningRun[];
      readonly ended: readonly EndedRun[];
    }
  | { readonly verdict: 'fenced'; readonly clockMs: number | undefined }
  | { readonly verdict: 'other-life' }
  | { readonly verdict: 'refused' };

/**
 * Sends orders to one upstream; where another id is there, calls are answered `other-life`. Every call rejects when no
 * answer came in time; with a ConnectionRefusedError if nobody listens at the upstream's address, so that nothing was sent.
 */
export abstract class UpstreamApi {
  abstract start(order: RunStart, timeoutMs: number): Promise<OrderAnswer<StartVerdict>>;
  abstract stop(name: RunName, fencingToken: number, timeoutMs: number): Promise<OrderAnswer<StopVerdict>>;
  abstract renew(renewal: LeaseRenewal, timeoutMs: number): Promise<LeaseAnswer>;
  /** Closes the connections. */
  abstract close(): void;
}
