/** Order in which waiting jobs receive free credits. */
import type { Job } from './job.js';

/** Computes the rank of a job; lower ranks are served first, across all entries. */
export abstract class Ordering {
  /**
   * Computes a job's rank.
   *
   * @param job - the job
   * @returns the rank, comparable between entries
   */
  abstract rankJob(job: Job): number;
}

/** First come, first served; a baseline. */
export class ArrivalOrdering extends Ordering {
  override rankJob(job: Job): number {
    return job.arrivedAt;
  }
}

/** Weights of `RemainingWorkOrdering`. */
export interface RemainingWorkOptions {
  /** Remaining work equivalent to one step of operator priority, ms. */
  readonly priorityStepMs: number;
  /** Remaining work equivalent to one ms of waiting, ms. */
  readonly ageWeight: number;
}

/** Default weights. */
export const DEFAULT_REMAINING_WORK: RemainingWorkOptions = { priorityStepMs: 100_000, ageWeight: 0.2 };

/**
 * Operator priority, then least remaining work, with ageing. Ageing uses the weighted arrival time, which is
 * constant, so that a rank changes only when work of the job ends.
 */
export class RemainingWorkOrdering extends Ordering {
  constructor(private readonly options: RemainingWorkOptions = DEFAULT_REMAINING_WORK) {
    super();
  }

  override rankJob(job: Job): number {
    const { priorityStepMs, ageWeight } = this.options;
    return job.priority * priorityStepMs + job.arrivedAt * ageWeight + job.remainingMs;
  }
}
