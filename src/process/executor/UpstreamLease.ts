/**
 * What an agent knows of an upstream's clock, and until when anything there can still run.
 *
 * Everything at an upstream is leased up to a time on the upstream's own clock, which may be up to 2% slow. The
 * estimate of that clock counts from the moment an answer arrived, so it is never ahead of it by more than drift.
 *
 * All of this goes by our steady clock, which does not count the time in which the VM was suspended: the upstream may
 * stand on the same VM, so that its clock and its leases stood still as well. Where it went on meanwhile, leases count
 * for longer here than they hold there, and a lease that is given then ends early.
 *
 * Where an upstream may start again under its id, a call may reach the next life before that is known. It then names a
 * lease on another clock, which that life cuts to the longest that it grants.
 */

/** An upstream's clock may be this much slower than ours. */
export const CLOCK_DRIFT = 0.02;
/** Time for which an order may be on its way within one VM, and be carried out, ms. */
const ORDER_MARGIN_MS = 15;

/** Lease of one life of an upstream. */
export class UpstreamLease {
  private aliveUntilMs: number;

  /**
   * @param clockMs - the upstream's clock in its first report
   * @param heardAt - our steady time when the report came
   * @param leaseMs - how far ahead leases are given
   * @param effectiveMs - how long such a lease may hold: the longest that an upstream grants, where lives share an id
   */
  constructor(
    private clockMs: number,
    private heardAt: number,
    private readonly leaseMs: number,
    private readonly effectiveMs: number,
  ) {
    this.aliveUntilMs = heardAt;
    this.handleForeignWriter(heardAt);
  }

  /** Until when, in our steady time, something at the upstream may still run: the latest lease given, and drift. */
  get aliveUntil(): number {
    return this.aliveUntilMs;
  }

  /** Calls that were meant for another life may have reached this one until now; their lease holds for all that runs. */
  handleForeignWriter(now: number): void {
    const lapse = this.effectiveMs * (1 + CLOCK_DRIFT);
    this.aliveUntilMs = Math.max(this.aliveUntilMs, now + lapse + ORDER_MARGIN_MS);
  }

  /** Notes the clock of an answer that has just arrived. */
  recordClock(clockMs: number, now: number): void {
    if (clockMs < this.estimate(now)) {
      // An answer that was on its way for long tells less than what is known already.
      if (clockMs < this.clockMs) return;
    }
    this.clockMs = clockMs;
    this.heardAt = now;
  }

  /** Returns the end of a lease that is given now, on the upstream's clock, and remembers it. */
  extend(now: number): number {
    const lapse = (this.effectiveMs + (now - this.heardAt) * CLOCK_DRIFT) * (1 + CLOCK_DRIFT);
    this.aliveUntilMs = Math.max(this.aliveUntilMs, now + lapse + ORDER_MARGIN_MS);
    return Math.floor(this.estimate(now) + this.leaseMs);
  }

  private estimate(now: number): number {
    return this.clockMs + (now - this.heardAt);
  }
}
