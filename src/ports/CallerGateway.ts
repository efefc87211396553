/** Port: where callers reach an entry. */
import type { Configuration } from '../version/configuration.js';
import type { JobOutcome, JobSubmission } from '../request/dispatch/submission.js';

/** State of a job that is asked for while it lives here. */
export type JobState = 'pending' | 'running';

/** One caller that waits for an answer. */
export interface Caller {
  /** Gives the answer; a second one is ignored. */
  answer(outcome: JobOutcome): void;
}

/** What the front door asks of the entry. */
export interface JobService {
  readonly configuration: Configuration | undefined;
  /** Whether new connections are welcome. */
  readonly isReady: boolean;
  /** Whether the process is on its way out, so that connections are closed after their answer. */
  readonly isLeaving: boolean;
  submit(submission: JobSubmission, caller: Caller): void;
  /** The front door has turned a job away; for log and metrics. */
  recordRejected(jobId: string, status: number, reason: string): void;
  /** Taking a call has failed; it was answered with an error. */
  recordFailure(call: string, error: unknown): void;
  /** The caller's connection is gone. */
  abandon(jobId: string, caller: Caller): void;
  findState(jobId: string): JobState | undefined;
  /** Cancels a job; false if there is none. */
  cancel(jobId: string): boolean;
  /** Jobs of a queue of which no task has begun. */
  countPending(routeName: string): number;
}

/** Receives callers and turns what they say into calls of the desk. */
export abstract class CallerGateway {
  abstract start(desk: JobService): Promise<void>;
  /** Applies limits of a new configuration. */
  abstract applyConfiguration(configuration: Configuration): void;
  /** Ends idle connections and takes no new ones. */
  abstract stop(): Promise<void>;
}
