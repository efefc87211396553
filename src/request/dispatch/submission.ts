/** What a caller asks for: a job that lives as long as its caller's connection. */
import type { Finding } from '../../_lib/finding.js';
import type { QueueRoute } from '../../version/configuration.js';

/** What one task takes of an upstream while it runs. */
export interface Resources {
  /** Thousandths of a core. */
  readonly cpuMilli: number;
  readonly memoryMb: number;
  readonly gpus: number;
}

/** Parallel tasks that start together once the steps before them are done. */
export interface StepNeed {
  readonly count: number;
  readonly resources: Resources;
  /** The caller's guess of one task's time, ms. */
  readonly estimateMs: number;
  /** Numbers of earlier steps that must be done first. */
  readonly after: readonly number[];
  /** Label that the upstream must have; empty for any. */
  readonly requiredLabel: string;
  /** Rack that holds the data; empty for any. */
  readonly preferredRack: string;
}

/** A job as the front door has read it. */
export interface JobSubmission {
  /** The caller's id of the job. */
  readonly id: string;
  readonly route: QueueRoute;
  /** Text that is handed to every task. */
  readonly spec: string;
  readonly steps: readonly StepNeed[];
  /** Time that the caller waits from now on, ms. */
  readonly patienceMs: number;
}

/** The one answer of a job. */
export type JobOutcome =
  | { readonly kind: 'completed' }
  /** A task has failed as often as its queue allows, or upstreams crash under it. */
  | { readonly kind: 'failed'; readonly reason: string }
  /** The job is given up and parts of it may have run; submitted again it may run anew. */
  | { readonly kind: 'interrupted'; readonly reason: string }
  /** The job is larger than any that is taken; nothing of it has run, and it is not to be submitted again. */
  | { readonly kind: 'rejected'; readonly reason: string; readonly findings: readonly Finding[] }
  /** Nothing of the job has run or ever will under this submission. */
  | { readonly kind: 'refused'; readonly reason: string; readonly retryAfterMs: number };
