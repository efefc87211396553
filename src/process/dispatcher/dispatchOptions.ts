/** Options of a dispatcher and its side effects. */
import type { DispatcherMessage } from '../../connection/peer/peerMessages.js';
import type { JobBounds } from '../../request/dispatch/JobBounds.js';
import type { JobOutcome } from '../../request/dispatch/submission.js';
import type { Admission } from './Admission.js';
import type { DispatchJob } from './dispatchJob.js';
import type { Placement } from './Placement.js';
import type { SendWindow } from './SendWindow.js';
import type { TaskOrder } from './TaskOrder.js';

/** Side effects of the dispatcher, implemented by its process. */
export interface DispatchEffects {
  readonly send: (executorId: string, message: DispatcherMessage) => void;
  readonly log: (event: string, fields: Readonly<Record<string, unknown>>) => void;
  /** Records the answer to a job. */
  readonly recordOutcome: (job: DispatchJob, outcome: JobOutcome, now: number) => void;
}

/** Options of a dispatcher. */
export interface DispatchOptions {
  readonly pingMs: number;
  readonly placement: Placement;
  readonly window: SendWindow;
  /** Decides when jobs are given up; `CallerTimeoutAdmission` by default. */
  readonly admission?: Admission;
  /** Order in which tasks are placed; `DeadlineOrder` by default. */
  readonly order?: TaskOrder;
  /** Limits on the size of each job, and on the number and total size of open jobs. */
  readonly bounds: JobBounds;
  /** Crashes of upstreams under one task after which its job fails; 0 or undefined for no limit. */
  readonly crashLimit?: number;
  /** How long a cancelled job is remembered, ms; 120 s by default. */
  readonly cancelledMs?: number;
  /** Finds how long ago input may have arrived that is handled now, ms; 0 if undefined. */
  readonly findInputLag?: (now: number) => number;
  readonly nextRandom: () => number;
}
