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

/**
 * Age of a report, by the clock of its upstream, from which it was delayed on its way, ms. The upstream waits a second for
 * an answer, and may have sent others since.
 */
const DELAYED_MS = 1_500;
/** Difference of the delays of two reports up to which they are the same, ms. */
const SAME_DELAY_MS = 250;

/** The clock of an upstream, as far as its answers show it. */
export interface UpstreamClock {
  /** Whether an answer has shown it. */
  readonly isClockKnown: boolean;
  /** Estimates it at a steady time, ms. */
  readonly estimateClock: (at: number) => number;
}

/** A delayed report. */
interface DelayedReport {
  readonly clockMs: number;
  readonly delayMs: number;
}

/** Newest report of an incarnation. */
export class KnownReport {
  private currentDescription: UpstreamDescription;
  /** Largest amount of each resource in its reports. */
  private largest: Resources;
  /** Until when a capacity from the store is relied on, monotonic ms. */
  private confirmedUntil = -Infinity;
  /** Latest report that was delayed. */
  private delayed: DelayedReport | undefined;

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

  /** Finds how long ago it arrived, ms. */
  findAge(now: number): number {
    return now - this.receivedAt;
  }

  /** Whether the capacity may be relied on. */
  isCapacityKnown(now: number): boolean {
    return this.isOwn || now < this.confirmedUntil;
  }

  /**
   * Checks whether a report that has arrived is passed over: it was sent before the newest one, or would be the first
   * of the incarnation to this process and was delayed on its way, or may have been while the clock is not known.
   *
   * @param report - report that has arrived
   * @param receivedAt - steady time at which it arrived, ms
   * @param clock - the upstream's clock
   */
  supersedes(report: UpstreamReport, receivedAt: number, clock: UpstreamClock): boolean {
    if (this.isOwn) return this.isLaterThan(report, clock);
    return !clock.isClockKnown || this.isDelayed(report, receivedAt, clock);
  }

  /**
   * Checks whether another report was sent before the newest one, by the clock of the upstream. Sequence numbers only
   * order reports of the same time, and a clock reading counts up to what the upstream's answers show: so a report of
   * another writer with a number or a clock far ahead does not keep out the ones that follow.
   */
  private isLaterThan(other: UpstreamReport, clock: UpstreamClock): boolean {
    const { clockMs, sequence } = this.current;
    if (other.clockMs === clockMs) return other.sequence < sequence;
    return other.clockMs < Math.min(clockMs, clock.estimateClock(this.receivedAt));
  }

  /**
   * Checks whether a report shows what was true some time ago: another process may have received later ones. A second
   * one with the same delay does not count, as reports may always take that long.
   */
  private isDelayed({ clockMs }: UpstreamReport, receivedAt: number, clock: UpstreamClock): boolean {
    const delayMs = clock.estimateClock(receivedAt) - clockMs;
    if (delayMs < DELAYED_MS) return false;
    const { delayed } = this;
    this.delayed = { clockMs, delayMs };
    const isLater = delayed !== undefined && clockMs > delayed.clockMs;
    return !isLater || Math.abs(delayMs - delayed.delayMs) > SAME_DELAY_MS;
  }

  /**
   * Checks the first report once the upstream's answers show its clock: if it was delayed, its capacity is not relied on
   * until it is confirmed or the next report arrives.
   *
   * @returns whether it was delayed
   */
  reviewDelay(clock: UpstreamClock): boolean {
    if (!this.isOwn || !this.isDelayed(this.current, this.receivedAt, clock)) return false;
    this.origin = 'store';
    return true;
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
