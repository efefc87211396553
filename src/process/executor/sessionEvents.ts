/** What a session with one life of an upstream keeps to, and what it tells its agent. */
import type { AttemptEnd } from '../../connection/peer/peerMessages.js';
import type { UpstreamReport } from '../../ports/UpstreamRegistry.js';
import type { Resources } from '../../request/dispatch/submission.js';
import type { SpeedMeasureKind } from '../settings/dispatchSettings.js';
import type { LocalTask } from './localTask.js';
import type { LeaseBounds } from './UpstreamCalls.js';

/** What a session keeps to; durations in ms. */
export interface SessionBounds extends LeaseBounds {
  /** Time a stop may take at the upstream. */
  readonly stopMs: number;
  /** How the speed of an upstream is measured; `mean` if undefined. */
  readonly speedMeasure?: SpeedMeasureKind;
}

/** What a session tells the agent. */
export interface SessionEvents {
  /** A task is over. */
  readonly finish: (task: LocalTask, end: AttemptEnd, reason: string) => void;
  /**
   * The answer to a renewal that was sent then shows that this life is there and runs nothing that nobody here has
   * ordered. Returns whether nothing of other lives can reach it any more.
   */
  readonly settle: (sentAt: number) => boolean;
  /** The same, for the first time: the life takes work once it is described. */
  readonly join: () => void;
  /** Another life answers under the same id. */
  readonly findOtherLife: (bornAt: number, clockMs: number) => void;
  /** Room or state has changed. */
  readonly change: () => void;
  /** The upstream has another capacity. */
  readonly changeCapacity: (report: UpstreamReport, before: Resources) => void;
  /** Called before the lease of what runs is renewed, by a start as well: stop what may not run on. */
  readonly revalidate: (now: number) => void;
  /** A decision, for the log. */
  readonly log: (event: string, fields: Readonly<Record<string, unknown>>) => void;
}
