/**
 * Limits the rate at which changes of capacity are reported on a link. As all work of the executor changes
 * its capacity, the interval grows with the number of links to report on. It also doubles with each late pong
 * of a congested dispatcher or link, and shrinks by a tenth with each timely one.
 */

/** Shortest delay of a report, in which changes are combined, ms. */
const MIN_DELAY_MS = 4;
/** Interval between two reports on a link, for each link with a report due, ms. */
const INTERVAL_PER_LINK_MS = 10;
/** Longest interval between two reports, ms; pings report the capacity as well. */
const MAX_INTERVAL_MS = 120;
/** Round-trip time above which a link counts as congested, ms. */
const CONGESTED_MS = 50;
/** Factor of the interval for each late pong. */
const LATE_FACTOR = 2;
/** Factor of the interval for each timely pong. */
const TIMELY_FACTOR = 0.9;
/** Largest product of these factors. */
const MAX_FACTOR = MAX_INTERVAL_MS / INTERVAL_PER_LINK_MS;

/** Rate limiter of one link. */
export class CapacityReportLimiter {
  private congestionFactor = 1;
  private reportedAt = -Infinity;

  /** Records the round-trip time of a pong. */
  recordRoundTrip(roundTripMs: number): void {
    const next = this.congestionFactor * (roundTripMs > CONGESTED_MS ? LATE_FACTOR : TIMELY_FACTOR);
    this.congestionFactor = Math.min(MAX_FACTOR, Math.max(1, next));
  }

  /** Records that a report was sent. */
  recordReport(now: number): void {
    this.reportedAt = now;
  }

  /**
   * Finds how long to delay the report of a change, which then includes later changes.
   *
   * @param now - monotonic time, ms
   * @param links - number of links to report on
   * @returns the delay, ms
   */
  findWait(now: number, links: number): number {
    const intervalMs = Math.min(MAX_INTERVAL_MS, INTERVAL_PER_LINK_MS * links * this.congestionFactor);
    return Math.max(MIN_DELAY_MS, this.reportedAt + intervalMs - now);
  }

  /**
   * Finds how long to delay the report of a dispatcher's share: not at all, unless the link is congested.
   *
   * @param now - monotonic time, ms
   * @param links - number of links to report on
   * @returns the delay, ms
   */
  findShareWait(now: number, links: number): number {
    return this.congestionFactor > 1 ? this.findWait(now, links) : 0;
  }
}
