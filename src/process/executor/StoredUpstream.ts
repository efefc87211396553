/**
 * Keeps the stored report of an executor's upstream in step with the upstream: a report stays due until it has been
 * written, a later one replaces it, or its incarnation is gone. A write without an answer may be carried out late, over
 * a later one, so the next process takes the stored capacity only as a bound.
 */
import type { Clock } from '../../_lib/Clock.js';
import type { UpstreamReportStore } from '../../ports/UpstreamReportStore.js';
import type { UpstreamReport } from '../../ports/UpstreamRegistry.js';
import { describeError } from '../failures.js';
import type { LogFields } from '../logger.js';
import { buildIncarnationName } from './buildIncarnationName.js';

/** Pause after the first failed call to the store, doubled after each further one, ms; before jitter. */
const MIN_PAUSE_MS = 400;
/** Longest pause, ms: a thousand executors make 100 calls a second while the store is out. */
const MAX_PAUSE_MS = 10_000;
/** Share of a pause that is drawn at random, so that executors do not call the store all at once. */
const JITTER = 0.5;

/** Callbacks to the process. */
export interface StoredUpstreamEvents {
  /** Whether an incarnation may still be running, so that its report is worth storing. */
  readonly isOpen: (name: string) => boolean;
  /** Random numbers from 0 to 1. */
  readonly nextRandom: () => number;
  readonly warn: (event: string, fields: LogFields) => void;
}

/** The stored report of one executor. */
export class StoredUpstream {
  /** Incarnation and capacity that are stored or due. */
  private key = '';
  private due: UpstreamReport | undefined;
  private isWriting = false;
  private stopped = false;

  constructor(
    private readonly store: UpstreamReportStore,
    private readonly executorId: string,
    private readonly clock: Clock,
    private readonly events: StoredUpstreamEvents,
  ) {}

  /** Stores the report of an incarnation that has answered; a report alone may be outdated. */
  save(report: UpstreamReport): void {
    const key = buildKey(report);
    if (key === this.key || report.isDraining) return;
    this.key = key;
    this.due = report;
    if (!this.isWriting) void this.writeDue();
  }

  /** Stores a changed capacity if the report of the same incarnation is stored or due. */
  saveChange(report: UpstreamReport): void {
    if (this.key.startsWith(buildPrefix(report))) this.save(report);
  }

  /**
   * Loads the report that an earlier process has stored, and repeats calls that fail.
   *
   * @param isWanted - checked before each call
   * @returns undefined if there is none, or once it is no longer wanted
   */
  async load(isWanted: () => boolean): Promise<UpstreamReport | undefined> {
    for (let pauseMs = MIN_PAUSE_MS; isWanted() && !this.stopped; pauseMs = this.lengthen(pauseMs)) {
      try {
        const report = await this.store.load(this.executorId);
        if (report && isWanted() && this.key === '') this.key = buildKey(report);
        return isWanted() ? report : undefined;
      } catch (error) {
        this.events.warn('upstream-not-recalled', { error: describeError(error) });
        await this.pause(pauseMs);
      }
    }
    return undefined;
  }

  /** Ends all calls; a report that is still due is not stored. */
  stop(): void {
    this.stopped = true;
    this.store.stop();
  }

  /** Writes what is due. One call at a time, so that no repeated write of a report follows that of a later one. */
  private async writeDue(): Promise<void> {
    this.isWriting = true;
    let pauseMs = MIN_PAUSE_MS;
    while (this.due && !this.stopped) {
      const report = this.due;
      const upstream = buildIncarnationName(report);
      try {
        await this.store.save(this.executorId, report);
        if (this.due === report) this.due = undefined;
        pauseMs = MIN_PAUSE_MS;
      } catch (error) {
        this.events.warn('upstream-not-remembered', { upstream, error: describeError(error) });
        await this.pause(pauseMs);
        pauseMs = this.lengthen(pauseMs);
        if (this.due === report && !this.events.isOpen(upstream)) this.drop(upstream);
      }
    }
    this.isWriting = false;
  }

  /** Gives up the report of an incarnation that is gone. */
  private drop(upstream: string): void {
    this.due = undefined;
    this.key = '';
    this.events.warn('upstream-not-remembered', { upstream, error: 'it is gone' });
  }

  private lengthen(pauseMs: number): number {
    return Math.min(MAX_PAUSE_MS, pauseMs * 2);
  }

  private pause(pauseMs: number): Promise<void> {
    return this.clock.sleep(pauseMs * (1 - JITTER * this.events.nextRandom()));
  }
}

/** Builds a key of the stored properties, to detect changes. */
function buildKey(report: UpstreamReport): string {
  return buildPrefix(report) + JSON.stringify(report.capacity);
}

function buildPrefix(report: UpstreamReport): string {
  return `${buildIncarnationName(report)} `;
}
