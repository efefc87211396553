/**
 * Jobs that callers have cancelled. A submission may be handled after the cancelling of its job: it was held, was read
 * from another connection, or is sent again. So each cancelled job is remembered for a time, and none of its
 * submissions is run meanwhile.
 */

/** How long a cancelled job is remembered by default, ms. */
const RETENTION_MS = 120_000;
/** Interval between searches for jobs whose time is over, ms. */
const SWEEP_INTERVAL_MS = 1_000;
/** Most cancelled jobs that are remembered, and most characters of their ids; the oldest are forgotten first. */
const LIMITS = { maxJobs: 50_000, maxCharacters: 2_000_000 };

/** Cancelled jobs known to one process. Points in time are monotonic ms. */
export class CancelledJobs {
  /** Times of the cancellings by job id, in the order in which they were recorded. */
  private readonly cancelledAt = new Map<string, number>();
  private characters = 0;
  private sweptAt = -Infinity;
  /** Number of jobs that were forgotten before their time was over, since the last line about it. */
  private forgottenEarly = 0;

  /**
   * @param log - logs a decision
   * @param retentionMs - how long a cancelled job is remembered, ms
   * @param limits - bounds of the memory; only tests set others
   */
  constructor(
    private readonly log: (event: string, fields: Readonly<Record<string, unknown>>) => void,
    private readonly retentionMs = RETENTION_MS,
    private readonly limits = LIMITS,
  ) {}

  /** Number of remembered jobs. */
  get size(): number {
    return this.cancelledAt.size;
  }

  /** Whether a job is cancelled. */
  has(job: string): boolean {
    return this.cancelledAt.has(job);
  }

  /** Finds when a job was cancelled; undefined if it was not, or is forgotten. */
  findTime(job: string): number | undefined {
    return this.cancelledAt.get(job);
  }

  /** Lists the ids of the remembered jobs, the newest last. */
  list(): string[] {
    return [...this.cancelledAt.keys()];
  }

  /**
   * Records that a job is cancelled, unless that is known or its time is over.
   *
   * @param job - id of the job
   * @param now - current time
   * @param ageMs - how long ago it was cancelled, ms
   * @returns whether it is new
   */
  record(job: string, now: number, ageMs = 0): boolean {
    if (this.cancelledAt.has(job) || ageMs >= this.retentionMs) return false;
    this.cancelledAt.set(job, now - ageMs);
    this.characters += job.length;
    this.removeOldest();
    return true;
  }

  /** Forgets the jobs whose time is over. They are in no order: others may have been cancelled elsewhere before. */
  tick(now: number): void {
    if (now - this.sweptAt < SWEEP_INTERVAL_MS) return;
    this.sweptAt = now;
    for (const [job, at] of this.cancelledAt) if (now - at >= this.retentionMs) this.remove(job);
    if (this.forgottenEarly > 0) this.log('cancelled-forgotten', { jobs: this.forgottenEarly });
    this.forgottenEarly = 0;
  }

  private removeOldest(): void {
    for (const job of this.cancelledAt.keys()) {
      if (!this.isBeyondLimits) return;
      this.remove(job);
      this.forgottenEarly += 1;
    }
  }

  private remove(job: string): void {
    this.cancelledAt.delete(job);
    this.characters -= job.length;
  }

  private get isBeyondLimits(): boolean {
    const { maxJobs, maxCharacters } = this.limits;
    return this.cancelledAt.size > maxJobs || this.characters > maxCharacters;
  }
}
