/** Port: how callers reach a dispatcher. */
import type { Configuration, QueueRoute } from '../version/configuration.js';
import type { JobOutcome, JobSubmission } from '../request/dispatch/submission.js';

/** State of an open job. */
export type JobState = 'pending' | 'running';

/** Why a job is rejected before it is submitted. */
export type RejectReason = 'too-large' | 'cut' | 'malformed' | 'not-served';

/** A caller that waits for the outcome of its job. */
export interface Caller {
  /** Sends the outcome; further calls are ignored. */
  answer(outcome: JobOutcome): void;
}

/** Operations of the dispatcher for the gateway. */
export interface JobService {
  readonly configuration: Configuration | undefined;
  /** Whether the dispatcher can serve new jobs; reported to the load balancer. */
  readonly isReady: boolean;
  /** Whether the process is shutting down; connections are then closed after their answer. */
  readonly isLeaving: boolean;
  submit(submission: JobSubmission, caller: Caller): void;
  /**
   * Records a job that the gateway rejected, in log and metrics.
   *
   * @param detail - what was wrong, in the words of the answer; empty if the reason says it
   */
  recordRejected(jobId: string, status: number, reason: RejectReason, detail: string): void;
  /** Records a call that failed unexpectedly and was answered with an error. */
  recordFailure(call: string, error: unknown): void;
  /** Handles the loss of the caller's connection. */
  abandon(jobId: string, caller: Caller): void;
  findState(jobId: string): JobState | undefined;
  /** Cancels a job; returns false if there is none. */
  cancel(jobId: string): boolean;
  /** Finds the route of a request that the newest configuration has dropped, but under which jobs may run. */
  findDroppedRoute(host: string, path: string): QueueRoute | undefined;
  /** Counts the jobs of a queue of which no task has started. */
  countPending(routeName: string): number;
}

/** Accepts requests of callers and translates them into calls of a `JobService`. */
export abstract class CallerGateway {
  abstract start(jobService: JobService): Promise<void>;
  /** Applies the limits of a new configuration. */
  abstract applyConfiguration(configuration: Configuration): void;
  /** Closes idle connections and accepts no new ones. */
  abstract stop(): Promise<void>;
}
