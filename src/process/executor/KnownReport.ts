/**
 * What is known of one incarnation of an upstream: its newest report, and where that comes from. A report of another
 * origin than the incarnation itself shows no capacity to be relied on, until one is confirmed.
 */
import type { UpstreamDescription } from '../../connection/peer/peerMessages.js';
import type { UpstreamReport } from '../../ports/UpstreamRegistry.js';
import { equalResources, limitResources, raiseResources } from '../../request/dispatch/resources.js';
import type { Resources } from '../../request/dispatch/submission.js';
import type { ConfirmedCapacity } from './EarlierCapacities.js';

/**
 * Origin of a report: the incarnation itself, the store of an earlier process, or the last report of the incarnation
 * before, whose answers have shown this one.
 */
export type ReportOrigin = 'upstream' | 'store' | 'predecessor';

/** Newest report of an incarnation. */
export class KnownReport {
  private currentDescription: UpstreamDescription;
  /** Largest amount of each resource in its reports. */
  private largest: Resources;
  /** Until when a capacity from the store is relied on, monotonic ms. */
  private confirmedUntil = -Infinity;

  /**
   * @param current - first report
   * @param origin - where it comes from
   * @param receivedAt - steady time at which it arrived, ms
   */
  constructor(
    private current: UpstreamReport,
    private origin: ReportOrigin,
    private receivedAt: number,
  ) {
    this.largest = current.capacity;
    this.currentDescription = this.describe();
  }

  /** The report. */
  get report(): UpstreamReport {
    return this.current;
  }

  /** Description of the upstream for dispatchers; replaced by another object only when it changes. */
  get description(): UpstreamDescription {
    return this.currentDescription;
  }

  /** Whether the incarnation itself has sent the report. */
  get isOwn(): boolean {
    return this.origin === 'upstream';
  }

  /** Whether the capacity may be relied on. */
  isCapacityKnown(now: number): boolean {
    return this.isOwn || now < this.confirmedUntil;
  }

  /**
   * Checks whether another report was sent before the newest one, by the clock of the upstream. Sequence numbers only
   * order reports of the same time, and a clock reading counts up to what the upstream's answers show: so a report of
   * another writer with a number or a clock far ahead does not keep out the ones that follow.
   *
   * @param other - report that has arrived
   * @param estimateClock - estimates the upstream's clock at a steady time, ms
   */
  isLaterThan(other: UpstreamReport, estimateClock: (at: number) => number): boolean {
    const { clockMs, sequence } = this.current;
    if (!this.isOwn) return false;
    if (other.clockMs === clockMs) return other.sequence < sequence;
    return other.clockMs < Math.min(clockMs, estimateClock(this.receivedAt));
  }

  /** Replaces the report by a later one that the incarnation itself has sent. */
  replace(report: UpstreamReport, receivedAt: number): void {
    this.current = report;
    this.origin = 'upstream';
    this.receivedAt = receivedAt;
    this.largest = raiseResources(this.largest, report.capacity);
    const description = this.describe();
    if (JSON.stringify(description) !== JSON.stringify(this.currentDescription))
      this.currentDescription = description;
  }

  /**
   * Limits a capacity from the store to a confirmed one, to be relied on for a time.
   *
   * @returns whether the report is from the store; any other one is left as it is
   */
  confirm({ capacity, until }: ConfirmedCapacity): boolean {
    if (this.origin !== 'store') return false;
    this.current = { ...this.current, capacity: limitResources(this.current.capacity, capacity) };
    this.currentDescription = this.describe();
    this.confirmedUntil = until;
    return true;
  }

  private describe(): UpstreamDescription {
    const { id, service, labels, capacity } = this.current;
    const largest = equalResources(this.largest, capacity) ? undefined : this.largest;
    return { upstream: id, service, labels, capacity, largest };
  }
}
