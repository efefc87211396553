/**
 * Divides the free capacity of an executor among dispatchers by their demand. If tasks wait at two or more of
 * them, each is sent a share, so that they do not all send tasks for the same capacity. Shares only affect
 * reports: a start beyond the share of its dispatcher is accepted while there is free capacity, and a crashed
 * dispatcher holds no capacity.
 */
import { divideCapacity } from './divideCapacity.js';

/**
 * Time constant of the exponential decay of recent starts, ms; about a ping interval, so that capacity stays
 * reserved for a dispatcher that pauses for a short time.
 */
const RECENT_DECAY_MS = 200;
/**
 * Time for which a reported share is reserved, ms: a round trip and a turn of the dispatcher's event loop.
 */
const RESERVATION_MS = 20;
/** Time without a start after which a dispatcher's demand is ignored, ms, as its tasks are sent elsewhere. */
const UNUSED_TIMEOUT_MS = 30;
/** Time for which the expected starts of other dispatchers are reserved, ms. */
const FORECAST_MS = 40;
/** Minimum number of tasks reserved for a dispatcher with recent starts; tasks of a job arrive together. */
const RESERVED_TASKS = 1;
/** Limit of the demand counted for a dispatcher, in tasks; it may send to other executors as well. */
const MAX_COUNTED_TASKS = 4;
/**
 * Tasks by which a dispatcher may exceed its share and still be offered the capacity of its own ended task,
 * which it can reuse soonest.
 */
const TOLERATED_TASKS = 4;
/** Minimum age of a report that is corrected downwards, ms, as starts may be in flight. */
const CORRECTION_DELAY_MS = 30;
/** Fraction of the task size by which capacity for one task may fall short, as sizes vary. */
const SIZE_TOLERANCE = 0.25;
/** Fraction by which the estimated task size decreases with each smaller task. */
const TASK_SIZE_DECAY = 0.02;

/** Usage of a dispatcher that may be sent capacity. */
export interface DispatcherUsage {
  readonly incarnation: string;
  /** Capacity that its tasks use here, thousandths of a core. */
  readonly used: number;
  readonly isPreferred: boolean;
}

/** Share to report to a dispatcher. Amounts are thousandths of a core. */
export interface ReportedShare {
  readonly cpuMilli: number;
  /** Whether it equals the last reported share less the starts since then. */
  readonly isUnchanged: boolean;
}

interface DispatcherShare {
  /** Demand of its waiting tasks; undefined if not reported. */
  waiting: number | undefined;
  /** Decaying sum of the sizes of its starts here, and when it was last updated. */
  recent: number;
  recentAt: number;
  /** Last reported share less the starts since then. */
  reported: number;
  reportedAt: number;
  /** Since when it has had a share without using it; undefined while it has none. */
  unusedSince: number | undefined;
}

/**
 * Shares of one executor's capacity. Amounts are in thousandths of a core; points in time are monotonic ms.
 */
export class CapacityShares {
  private readonly shares = new Map<string, DispatcherShare>();
  /** Estimated size of the larger recent tasks; 0 before the first. */
  private taskSize = 0;

  /** Number of dispatchers at which tasks wait. */
  get waitingDispatchers(): number {
    return [...this.shares.values()].filter(({ waiting = 0 }) => waiting > 0).length;
  }

  /** Total demand of all dispatchers. */
  get demand(): number {
    let demand = 0;
    for (const { waiting = 0 } of this.shares.values()) demand += waiting;
    return demand;
  }

  /** Whether a dispatcher reports its demand; others are sent the undivided capacity. */
  hasReportedDemand(dispatcher: string): boolean {
    return this.shares.get(dispatcher)?.waiting !== undefined;
  }

  /** Records the demand of a dispatcher; undefined if not reported. */
  recordDemand(dispatcher: string, waiting: number | undefined): void {
    this.findOrAdd(dispatcher).waiting = waiting;
  }

  /** Records a start ordered by a dispatcher. */
  recordStart(dispatcher: string, cpuMilli: number, now: number): void {
    const share = this.findOrAdd(dispatcher);
    share.recent = readRecent(share, now) + cpuMilli;
    share.recentAt = now;
    this.taskSize = Math.max(cpuMilli, this.taskSize * (1 - TASK_SIZE_DECAY));
    this.recordShare(share, Math.max(0, share.reported - cpuMilli), now);
    if (share.unusedSince !== undefined) share.unusedSince = now;
  }

  /** Resets a dispatcher that has a new link, on which nothing has been reported. */
  handleLinked(dispatcher: string): void {
    this.shares.delete(dispatcher);
  }

  /** Removes a dispatcher. */
  remove(dispatcher: string): void {
    this.shares.delete(dispatcher);
  }

  /**
   * Finds the share to report to a dispatcher, and records it as reported.
   *
   * @param dispatcher - incarnation of the dispatcher
   * @param free - free capacity
   * @param dispatchers - all dispatchers that may be sent capacity, including this one
   * @param now - current time
   * @returns its share; all of the free capacity if no other dispatcher competes for it
   */
  reportShare(
    dispatcher: string,
    free: number,
    dispatchers: readonly DispatcherUsage[],
    now: number,
  ): ReportedShare {
    const share = this.findOrAdd(dispatcher);
    const cpuMilli = this.computeShare(dispatcher, free, dispatchers, now);
    const isUnchanged = cpuMilli === share.reported;
    if (!isUnchanged) share.reportedAt = now;
    this.recordShare(share, cpuMilli, now);
    return { cpuMilli, isUnchanged };
  }

  /**
   * Checks whether a share is to be reported before the next ping: because tasks wait at the dispatcher and
   * its share has grown, or because its reported share exceeds the free capacity while tasks wait at several
   * dispatchers.
   */
  isDue(dispatcher: string, free: number, dispatchers: readonly DispatcherUsage[], now: number): boolean {
    const { waiting, reported, reportedAt } = this.findOrAdd(dispatcher);
    if (
      waiting !== 0 &&
      this.computeShare(dispatcher, free, dispatchers, now) >= reported + Math.max(1, this.taskSize)
    )
      return true;
    const isOverReported =
      reported >= Math.max(0, free) + this.taskSize && now - reportedAt >= CORRECTION_DELAY_MS;
    return isOverReported && this.listWaiting(dispatchers).length > 1;
  }

  private computeShare(
    dispatcher: string,
    free: number,
    dispatchers: readonly DispatcherUsage[],
    now: number,
  ): number {
    if (this.taskSize === 0 || free <= 0 || !this.hasReportedDemand(dispatcher)) return free;
    const reserved = this.sumReserved(dispatcher, dispatchers, now);
    const reservedTasks = Math.floor(reserved / this.taskSize + SIZE_TOLERANCE);
    const unreserved =
      reservedTasks === 0
        ? free
        : Math.floor(free / this.taskSize + SIZE_TOLERANCE - reservedTasks) * this.taskSize;
    return Math.max(
      0,
      Math.min(free, unreserved, this.computeDemandShare(dispatcher, free, dispatchers, now)),
    );
  }

  /** Finds the share by demand; all of the free capacity if tasks wait at fewer than two dispatchers. */
  private computeDemandShare(
    dispatcher: string,
    free: number,
    dispatchers: readonly DispatcherUsage[],
    now: number,
  ): number {
    const waiting = this.listWaiting(dispatchers);
    if (waiting.length < 2) return free;
    const claimants = dispatchers.filter(
      (usage) => usage.incarnation === dispatcher || waiting.includes(usage),
    );
    const claims = claimants.map((usage) => {
      const share = this.findOrAdd(usage.incarnation);
      const usesShare = share.unusedSince === undefined || now - share.unusedSince <= UNUSED_TIMEOUT_MS;
      const countedDemand = usesShare ? Math.min(share.waiting ?? 0, MAX_COUNTED_TASKS * this.taskSize) : 0;
      const tolerated =
        usage.incarnation === dispatcher && countedDemand > 0 ? TOLERATED_TASKS * this.taskSize : 0;
      const used = Math.max(0, usage.used - tolerated);
      return { demand: countedDemand + readRecent(share, now), used, isPreferred: usage.isPreferred };
    });
    return (
      divideCapacity(free, this.taskSize, claims)[
        claimants.findIndex((usage) => usage.incarnation === dispatcher)
      ] ?? 0
    );
  }

  /**
   * Sums the capacity reserved for other dispatchers: shares that were just reported, and expected starts.
   */
  private sumReserved(dispatcher: string, dispatchers: readonly DispatcherUsage[], now: number): number {
    let reserved = 0;
    for (const other of dispatchers) {
      const share = this.findOrAdd(other.incarnation);
      if (other.incarnation === dispatcher || share.waiting === undefined) continue;
      const reported = Math.floor(share.reported / this.taskSize + SIZE_TOLERANCE) * this.taskSize;
      const isReserved = share.waiting > 0 && now - share.reportedAt <= RESERVATION_MS;
      reserved += isReserved ? reported : Math.min(reported, this.estimateUpcoming(share, now));
    }
    return reserved;
  }

  private estimateUpcoming(share: DispatcherShare, now: number): number {
    const recent = readRecent(share, now);
    const nextTasks = recent >= this.taskSize ? RESERVED_TASKS * this.taskSize : 0;
    return Math.max(nextTasks, (recent * FORECAST_MS) / RECENT_DECAY_MS);
  }

  private listWaiting(dispatchers: readonly DispatcherUsage[]): DispatcherUsage[] {
    return dispatchers.filter(({ incarnation }) => (this.shares.get(incarnation)?.waiting ?? 0) > 0);
  }

  private recordShare(share: DispatcherShare, reported: number, now: number): void {
    share.reported = reported;
    share.unusedSince =
      reported < this.taskSize * (1 - SIZE_TOLERANCE) ? undefined : (share.unusedSince ?? now);
  }

  private findOrAdd(dispatcher: string): DispatcherShare {
    let share = this.shares.get(dispatcher);
    if (!share) this.shares.set(dispatcher, (share = createShare()));
    return share;
  }
}

function createShare(): DispatcherShare {
  return {
    waiting: undefined,
    recent: 0,
    recentAt: 0,
    reported: 0,
    reportedAt: -Infinity,
    unusedSince: undefined,
  };
}

function readRecent({ recent, recentAt }: DispatcherShare, now: number): number {
  return recent * Math.exp((recentAt - now) / RECENT_DECAY_MS);
}
