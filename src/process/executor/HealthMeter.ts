/** Judges from failures whether an upstream is to be given work: it may be healthy by its own word and fail all. */
import type { UpstreamHealth } from '../../connection/peer/peerMessages.js';

/** Weight of the newest verdict in the moving share of failures. */
const NEWEST_WEIGHT = 0.3;
/** Share of failures from which on an upstream is suspect. */
const SUSPECT_SHARE = 0.6;
/** First and longest time without any work before one task may try again, ms. */
const FIRST_REST_MS = 700;
const LAST_REST_MS = 2_500;

/** Trust in one upstream. */
export class HealthMeter {
  private failureShare = 0;
  private restMs = FIRST_REST_MS;
  private suspectUntil = 0;
  private isSuspect = false;
  private lastFailedJob = '';

  /** Notes a task that ended well. */
  recordSuccess(): void {
    this.failureShare *= 1 - NEWEST_WEIGHT;
    if (this.isSuspect) this.failureShare = 0;
    this.isSuspect = false;
    this.restMs = FIRST_REST_MS;
  }

  /**
   * Notes a failure. Several failures of one job count once: the job itself may be what fails.
   *
   * @returns whether the upstream has just become suspect
   */
  recordFailure(job: string, now: number): boolean {
    if (job === this.lastFailedJob) return false;
    this.lastFailedJob = job;
    this.failureShare += (1 - this.failureShare) * NEWEST_WEIGHT;
    if (this.failureShare < SUSPECT_SHARE) return false;
    const before = this.isSuspect;
    if (before) this.restMs = Math.min(LAST_REST_MS, this.restMs * 2);
    this.isSuspect = true;
    this.suspectUntil = now + this.restMs;
    return !before;
  }

  /** Trust at a moment: `probation` admits one task at a time. */
  read(now: number): UpstreamHealth {
    if (!this.isSuspect) return 'healthy';
    return now < this.suspectUntil ? 'suspect' : 'probation';
  }
}
