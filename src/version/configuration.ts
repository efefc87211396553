/** The operators' configuration of queues and services. Each version is immutable. */

/** Route and properties of one queue. */
export interface QueueRoute {
  readonly name: string;
  /** Host name of the requests, lower case. */
  readonly host: string;
  /** Path prefix of the requests. */
  readonly pathPrefix: string;
  /** Service whose upstreams run the tasks. */
  readonly service: string;
  /** Priority; 0 is the highest. */
  readonly priority: number;
  /** Number of failed runs of a task after which its job fails. */
  readonly maxAttempts: number;
  /** Factor of a job's work in its latency objective. */
  readonly stretch: number;
  /** Constant part of a job's latency objective, ms. */
  readonly targetLatencyMs: number;
  /** Whether an external adviser selects the upstreams of a step. */
  readonly needsAdvice: boolean;
}

/** Limits of requests. */
export interface CallerLimits {
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** One version of the configuration. */
export interface Configuration {
  /** Increases with every change, not necessarily by one. */
  readonly version: number;
  readonly routes: readonly QueueRoute[];
  readonly limits: CallerLimits;
}
