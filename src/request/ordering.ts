/** In which order waiting jobs get free credits. */
import type { Job } from './job.js';

/** Decides the rank of a job; lower ranks are served first, across all entries. */
export abstract class Ordering {
  /**
   * Computes a job's rank.
   *
   * @param job - the job
   * @returns a number that is comparable between entries
   */
  abstract rankJob(job: Job): number;
}

/** First come, first served: the baseline. */
export class ArrivalOrdering extends Ordering {
  override rankJob(job: Job): number {
    return job.arrivedAt;
  }
}

/** What the product's ordering weighs. */
export interface RemainingWorkOptions {
  /** How many ms of remaining work one step of operator priority outweighs. */
  readonly priorityStepMs: number;
  /** How many ms of remaining work one ms of waiting outweighs. */
  readonly ageWeight: number;
}

/** Weights that the daemons start with. */
export const DEFAULT_REMAINING_WORK: RemainingWorkOptions = { priorityStepMs: 100_000, ageWeight: 0.2 };

/**
 * Operator priority, then least remaining work, with ageing. The age is part of a fixed sum (arrival time
 * times weight), so that a rank changes only when work of the job ends.
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
