/** What an executor knows of a dispatcher, and what it has sent to it. */
import type { AttemptResult, CrashedTask, UpstreamDescription } from '../../connection/peer/peerMessages.js';

/** State of one dispatcher. */
export interface DispatcherLiveness {
  /** Local time at which the ping that it last acknowledged, or the hello message of its link, was sent. */
  acknowledgedAt: number;
  /**
   * Local time up to which the dispatcher has handled the ends of its callers' connections, and has sent the
   * stops that follow from them: that of the ping of its newest pong, less the age of what it has not read.
   */
  handledUntil: number;
  /** Number of start orders received on its current link. */
  startsSeen: number;
  /** Typical speed of upstreams as reported by the dispatcher. */
  typicalSpeed: number;
  /** Capacity last reported on its link. */
  reported: ReportedCapacity;
  /** Whether its link is about to be closed, so that it must not order new tasks. */
  isRetiring: boolean;
  /** Recent results, oldest first. */
  results: RetainedResult[];
}

/** A recently sent result. */
export interface RetainedResult {
  readonly at: number;
  readonly result: AttemptResult;
  /** Set if the task was lost in a crash. */
  readonly crash: CrashedTask | undefined;
}

/** Capacity last reported on a link, in a form for comparison. */
export interface ReportedCapacity {
  readonly description: UpstreamDescription | undefined;
  /** State, health, speed and preference as JSON. */
  readonly status: string;
  /** The status, free capacity and number of received starts as JSON; empty to force the next report. */
  readonly capacity: string;
}

/** Nothing reported yet on a link. */
export const NOTHING_REPORTED: ReportedCapacity = { description: undefined, status: '', capacity: '' };

/**
 * Creates the state of a dispatcher of which nothing has been reported.
 *
 * @param acknowledgedAt - local time at which the ping that it last acknowledged was sent; -Infinity for none
 * @returns the state
 */
export function createLiveness(acknowledgedAt: number): DispatcherLiveness {
  return {
    acknowledgedAt,
    handledUntil: -Infinity,
    startsSeen: 0,
    typicalSpeed: 1,
    reported: NOTHING_REPORTED,
    isRetiring: false,
    results: [],
  };
}
