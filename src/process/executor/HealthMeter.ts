/**
 * Evaluates the health of an upstream from failed tasks, as it may report itself healthy and fail all of
 * them.
 */
import type { UpstreamHealth } from '../../connection/peer/peerMessages.js';

/** Weight of the newest result in the moving average of the failure rate. */
const NEWEST_WEIGHT = 0.3;
/** Failure rate from which an upstream is suspect. */
const SUSPECT_RATE = 0.6;
/** Initial backoff of a suspect upstream before it gets a task on probation, ms. */
const FIRST_BACKOFF_MS = 700;
/** Longest backoff, ms. */
const MAX_BACKOFF_MS = 2_500;

/** Health of one upstream. */
export class HealthMeter {
  private failureRate = 0;
  private backoffMs = FIRST_BACKOFF_MS;
  private suspectUntil = 0;
  private isSuspect = false;
  private lastFailedJob = '';

  /** Records a successful task. */
  recordSuccess(): void {
    this.failureRate *= 1 - NEWEST_WEIGHT;
    if (this.isSuspect) this.failureRate = 0;
    this.isSuspect = false;
    this.backoffMs = FIRST_BACKOFF_MS;
  }

  /**
   * Records a failed task. It is ignored if its job is that of the last counted failure, as the job itself
   * may be the cause.
   *
   * @returns whether the upstream has just become suspect
   */
  recordFailure(job: string, now: number): boolean {
    if (job === this.lastFailedJob) return false;
    this.lastFailedJob = job;
    this.failureRate += (1 - this.failureRate) * NEWEST_WEIGHT;
    if (this.failureRate < SUSPECT_RATE) return false;
    const wasSuspect = this.isSuspect;
    if (wasSuspect) this.backoffMs = Math.min(MAX_BACKOFF_MS, this.backoffMs * 2);
    this.isSuspect = true;
    this.suspectUntil = now + this.backoffMs;
    return !wasSuspect;
  }

  /** Returns the current health; `probation` admits one task at a time. */
  read(now: number): UpstreamHealth {
    if (!this.isSuspect) return 'healthy';
    return now < this.suspectUntil ? 'suspect' : 'probation';
  }
}
