/**
 * Estimates the clock of an upstream, and until when its runs can still be active.
 *
 * Runs are leased up to a time on the upstream's own clock, which may be up to 2% slow. The estimate of that
 * clock starts from the arrival of an answer, so it is never ahead by more than the drift.
 *
 * Local times are those of the steady clock, which excludes the time in which the VM was suspended: an
 * upstream on the same VM is suspended as well, with its leases. If the upstream continued to run, leases are
 * assumed to last longer than they do, and new leases end early.
 *
 * If an upstream can restart with the same id, a call may reach the next incarnation before the restart is
 * detected. Its lease then refers to another clock, and the next incarnation limits it to the longest lease
 * that it grants.
 */

/** Fraction by which the clock of an upstream may be slower than the local one. */
export const CLOCK_DRIFT = 0.02;
/** Allowance for the transit and execution of an order within one VM, ms. */
const ORDER_TRANSIT_MS = 15;

/** Longest time by which an answer may be overtaken by a later one, ms; calls time out sooner. */
const MAX_REORDER_MS = 5_000;

/** Duration of a lease as a multiple, including the drift of the upstream's clock and of its estimate. */
const LEASE_ALLOWANCE = 1.05;

/**
 * Computes the longest time for which a lease may go on after it was granted.
 *
 * @param bounds - duration of a lease, and longest time that a stop takes, ms
 * @returns ms
 * @example
 * computeLongestLease({ leaseMs: 500, stopMs: 50 }); // 575
 */
export function computeLongestLease({
  leaseMs,
  stopMs,
}: {
  readonly leaseMs: number;
  readonly stopMs: number;
}): number {
  return leaseMs * LEASE_ALLOWANCE + stopMs;
}

/** Lease of one incarnation of an upstream. */
export class UpstreamLease {
  private aliveUntilMs: number;
  private lastUntilMs = 0;
  private isAnswered = false;

  /**
   * @param clockMs - clock of the upstream in its first report
   * @param receivedAt - steady time at which the report arrived
   * @param leaseMs - duration of a lease
   * @param effectiveMs - longest time that such a lease may last: the longest that an upstream grants if
   *   incarnations share an id
   */
  constructor(
    private clockMs: number,
    private receivedAt: number,
    private readonly leaseMs: number,
    private readonly effectiveMs: number,
  ) {
    this.aliveUntilMs = receivedAt;
    this.handleForeignWriter(receivedAt);
  }

  /** Steady time until which runs may be active: the end of the latest lease, including drift. */
  get aliveUntil(): number {
    return this.aliveUntilMs;
  }

  /** End of the lease as last extended, on the upstream's clock, ms; 0 before the first time. */
  get untilMs(): number {
    return this.lastUntilMs;
  }

  /**
   * Accounts for calls intended for another incarnation that may have extended the lease of this one until
   * now.
   */
  handleForeignWriter(now: number): void {
    const lapse = this.effectiveMs * (1 + CLOCK_DRIFT);
    this.aliveUntilMs = Math.max(this.aliveUntilMs, now + lapse + ORDER_TRANSIT_MS);
  }

  /** Whether an answer has shown the upstream's clock. */
  get isClockKnown(): boolean {
    return this.isAnswered;
  }

  /**
   * Records the clock of an answer that has just arrived. Answers may arrive out of order: a slightly earlier reading
   * than that of another answer is skipped. One that is much earlier corrects a wrong one.
   */
  recordClock(clockMs: number, now: number): void {
    const isOutOfOrder = clockMs < this.clockMs && clockMs > this.clockMs - MAX_REORDER_MS;
    if (this.isAnswered && isOutOfOrder) return;
    this.isAnswered = true;
    this.clockMs = clockMs;
    this.receivedAt = now;
  }

  /**
   * Extends the lease from now on, by no more than is allowed.
   *
   * @param now - steady time, ms
   * @param allowedMs - time from now on after which no run may be active any more, ms
   * @returns its end on the upstream's clock; undefined if it may not be extended
   */
  extend(now: number, allowedMs = Infinity): number | undefined {
    const leaseMs = this.findLongest(now, allowedMs);
    if (leaseMs <= 0) return undefined;
    // Where incarnations share an id, the next one grants its longest lease, whatever end is named.
    const effectiveMs = this.effectiveMs > this.leaseMs ? this.effectiveMs : leaseMs;
    const lapse = (effectiveMs + this.findClockError(now)) * (1 + CLOCK_DRIFT);
    this.aliveUntilMs = Math.max(this.aliveUntilMs, now + lapse + ORDER_TRANSIT_MS);
    this.lastUntilMs = Math.floor(this.estimate(now) + leaseMs);
    return this.lastUntilMs;
  }

  /** Whether the lease may be extended if no run may be active after the given time from now on, ms. */
  canExtend(now: number, allowedMs: number): boolean {
    return this.findLongest(now, allowedMs) > 0;
  }

  /** Finds the longest lease after which all runs have ended within the allowed time, drift included, ms. */
  private findLongest(now: number, allowedMs: number): number {
    const longestMs = (allowedMs - ORDER_TRANSIT_MS) / (1 + CLOCK_DRIFT) - this.findClockError(now);
    return Math.min(this.leaseMs, Math.floor(longestMs));
  }

  /** Finds by how much the estimate of the upstream's clock may be ahead of it, ms. */
  private findClockError(now: number): number {
    return (now - this.receivedAt) * CLOCK_DRIFT;
  }

  /** Estimates the upstream's clock at a steady time, ms. */
  estimate(at: number): number {
    return this.clockMs + (at - this.receivedAt);
  }
}
