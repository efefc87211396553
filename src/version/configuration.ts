/** The operators' configuration of queues and services, as every process holds it. One version is immutable. */

/** Where jobs of one kind enter, and how they are treated. */
export interface QueueRoute {
  readonly name: string;
  /** Host name that callers address, lower case. */
  readonly host: string;
  /** Start of the paths that belong to the queue. */
  readonly pathPrefix: string;
  /** Service whose upstreams run the tasks. */
  readonly service: string;
  /** 0 goes first. */
  readonly priority: number;
  /** Runs of a task that may fail before its job fails. */
  readonly maxAttempts: number;
  /** Factor of the work in a job's latency objective. */
  readonly stretch: number;
  /** Constant part of a job's latency objective, ms. */
  readonly targetLatencyMs: number;
  /** Whether an external adviser decides which upstreams may run a step. */
  readonly needsAdvice: boolean;
}

/** Bounds of what a caller may send. */
export interface CallerLimits {
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** One version of the configuration. */
export interface Configuration {
  /** Rises with every change, in uneven steps. */
  readonly version: number;
  readonly routes: readonly QueueRoute[];
  readonly limits: CallerLimits;
}
