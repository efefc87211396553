/** Job submitted to a dispatcher, which is open for as long as its caller's connection, and its outcome. */
import type { Finding } from '../../_lib/finding.js';
import type { QueueRoute } from '../../version/configuration.js';

/** Resources of an upstream that a task uses while it runs. */
export interface Resources {
  /** Thousandths of a core. */
  readonly cpuMilli: number;
  readonly memoryMb: number;
  readonly gpus: number;
}

/** Step of a job: parallel tasks that may start once the steps in `after` are done. */
export interface StepNeed {
  readonly count: number;
  readonly resources: Resources;
  /** The caller's estimate of the duration of one task, ms. */
  readonly estimateMs: number;
  /** Indexes of earlier steps that must be done first. */
  readonly after: readonly number[];
  /** Label that the upstream must have; empty for any. */
  readonly requiredLabel: string;
  /** Rack that holds the data; empty for none. */
  readonly preferredRack: string;
}

/** Job submission after its checks. */
export interface JobSubmission {
  /** Job id given by the caller. */
  readonly id: string;
  readonly route: QueueRoute;
  /** Text passed to every task. */
  readonly spec: string;
  readonly steps: readonly StepNeed[];
  /** Caller timeout: remaining time that the caller waits, ms. */
  readonly patienceMs: number;
}

/** None of the job's tasks has run, or will run under this submission. */
export interface Refusal {
  readonly kind: 'refused';
  readonly reason: string;
  /** When the caller should submit it again; undefined for never. */
  readonly retryAfterMs: number | undefined;
  /** What of the job cannot be served; undefined if that is not the reason. */
  readonly findings?: readonly Finding[];
}

/** Final outcome of a job. */
export type JobOutcome =
  | { readonly kind: 'completed' }
  /** A task has failed as often as its queue allows, or too many upstreams crashed under it. */
  | { readonly kind: 'failed'; readonly reason: string }
  /** The job was abandoned; some of its tasks may have run, and may run again if it is resubmitted. */
  | { readonly kind: 'interrupted'; readonly reason: string }
  /**
   * The job exceeds the limits of a single job; none of its tasks has run, and it should not be resubmitted.
   */
  | { readonly kind: 'rejected'; readonly reason: string; readonly findings: readonly Finding[] }
  | Refusal;
