/**
 * Paces the changes of room that an entry is told. Their number rises with all work of the agent, whoever ordered it;
 * so the time between two of them grows with the number of links, and where an entry's processor or link is short of
 * that, its echoes come late, and it is told less often: half as often with each late echo, a tenth more often with
 * each other one.
 */

/** Shortest time before a change is told, and what each link adds to the time between two of them, ms. */
const GATHER_MS = 4;
const INTERVAL_PER_LINK_MS = 10;
/** Longest time between two changes that are told, ms; pings tell the room as well. */
const MAX_INTERVAL_MS = 120;
/** Time from a ping to its echo from which on the entry counts as congested, ms. */
const CONGESTED_MS = 50;
const SLOWDOWN = 2;
const SPEEDUP = 0.9;
const MAX_FACTOR = MAX_INTERVAL_MS / INTERVAL_PER_LINK_MS;

/** Pace of one link. */
export class CapacityReportLimiter {
  private factor = 1;
  private reportedAt = -Infinity;

  /** Notes how long an echo took. */
  recordRoundTrip(roundTripMs: number): void {
    const next = this.factor * (roundTripMs > CONGESTED_MS ? SLOWDOWN : SPEEDUP);
    this.factor = Math.min(MAX_FACTOR, Math.max(1, next));
  }

  /** Notes that a change was told. */
  recordReport(now: number): void {
    this.reportedAt = now;
  }

  /**
   * Finds when a change that has just come may be told, together with those that come until then.
   *
   * @param now - monotonic time, ms
   * @param links - links of the agent
   * @returns the time to wait, ms
   */
  findWait(now: number, links: number): number {
    const intervalMs = Math.min(MAX_INTERVAL_MS, INTERVAL_PER_LINK_MS * links * this.factor);
    return Math.max(GATHER_MS, this.reportedAt + intervalMs - now);
  }

  /**
   * Finds when a part of the room may be told that is meant for this link only: at once, unless its echoes come late.
   *
   * @param now - monotonic time, ms
   * @param links - links that are told a part
   * @returns the time to wait, ms
   */
  findShareWait(now: number, links: number): number {
    return this.factor > 1 ? this.findWait(now, links) : 0;
  }
}
