/** Timeouts and callbacks of a session with one incarnation of an upstream. */
import type { AttemptEnd } from '../../connection/peer/peerMessages.js';
import type { UpstreamReport } from '../../ports/UpstreamRegistry.js';
import type { Resources } from '../../request/dispatch/submission.js';
import type { SpeedMeasureKind } from '../settings/dispatchSettings.js';
import type { LocalTask } from './localTask.js';
import type { LeaseBounds } from './UpstreamCalls.js';

/** Timeouts and options of a session; durations in ms. */
export interface SessionBounds extends LeaseBounds {
  /** Longest time that a stop takes at the upstream. */
  readonly stopMs: number;
  /** Measure of the upstream's speed; `mean` if undefined. */
  readonly speedMeasure?: SpeedMeasureKind;
}

/** Callbacks of a session. */
export interface SessionEvents {
  /** Called when a task has ended. */
  readonly finish: (task: LocalTask, end: AttemptEnd, reason: string) => void;
  /**
   * Called when the answer to a renewal sent at `sentAt` shows that this incarnation runs nothing unknown.
   * Returns whether no call intended for another incarnation can reach it any more.
   */
  readonly settle: (sentAt: number) => boolean;
  /** Called when `settle` first returns true; the incarnation takes work once it is described. */
  readonly join: () => void;
  /** Called when another incarnation answers under the same id. */
  readonly findOtherLife: (bornAt: number, clockMs: number) => void;
  /** Called when the free capacity or the state has changed. */
  readonly change: () => void;
  /** Called when the total capacity of the upstream has changed. */
  readonly changeCapacity: (report: UpstreamReport, before: Resources) => void;
  /**
   * Called before a renewal or a start extends the lease of all runs: stops tasks that may not run any
   * longer.
   */
  readonly revalidate: (now: number) => void;
  /**
   * Finds the monotonic time by which the runs of a dispatcher must be over if it acknowledges no further
   * ping.
   */
  readonly findEndLimit: (owner: string) => number;
  /** Logs a decision. */
  readonly log: (event: string, fields: Readonly<Record<string, unknown>>) => void;
}
