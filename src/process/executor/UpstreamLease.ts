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

/** Lease of one incarnation of an upstream. */
export class UpstreamLease {
  private aliveUntilMs: number;
  private lastUntilMs = 0;

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

  /** Records the clock of an answer that has just arrived. */
  recordClock(clockMs: number, now: number): void {
    if (clockMs < this.estimate(now)) {
      // Answers may arrive out of order; an earlier clock reading than the recorded one is skipped.
      if (clockMs < this.clockMs) return;
    }
    this.clockMs = clockMs;
    this.receivedAt = now;
  }

  /** Extends the lease from now on, and returns its end on the upstream's clock. */
  extend(now: number): number {
    const lapse = (this.effectiveMs + (now - this.receivedAt) * CLOCK_DRIFT) * (1 + CLOCK_DRIFT);
    this.aliveUntilMs = Math.max(this.aliveUntilMs, now + lapse + ORDER_TRANSIT_MS);
    this.lastUntilMs = Math.floor(this.estimate(now) + this.leaseMs);
    return this.lastUntilMs;
  }

  private estimate(now: number): number {
    return this.clockMs + (now - this.receivedAt);
  }
}
