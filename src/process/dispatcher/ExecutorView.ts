/** A dispatcher's view of one executor: its last capacity report, less what was sent since. */
import type {
  ExecutorHello,
  Ping,
  CapacityReport,
  UpstreamDescription,
} from '../../connection/peer/peerMessages.js';
import {
  addResources,
  equalResources,
  NO_RESOURCES,
  subtractResources,
} from '../../request/dispatch/resources.js';
import type { Resources } from '../../request/dispatch/submission.js';
import { parseIncarnationStart } from '../parseIncarnationStart.js';

/**
 * Builds the id of an incarnation of an executor.
 *
 * @param hello - first message of the executor
 * @returns process id and incarnation
 */
export function buildExecutorId({ agent, life }: ExecutorHello): string {
  return `${agent}@${life}`;
}

/** Weight of earlier observations, at each ping or report, in the rate at which others take capacity. */
const HISTORY_WEIGHT = 0.8;
/**
 * Time from sending a start until it takes capacity at the executor, ms: one transit and one turn of the
 * executor's event loop.
 */
const START_TRANSIT_MS = 3;

/**
 * Relative rise of the minimum round-trip time with each value. The minimum adapts to a longer route within
 * about 20 s, but not to a link that is congested for seconds.
 */
const MIN_RISE = 0.01;

/** A start that the executor has not acknowledged. */
interface InFlightStart {
  readonly number: number;
  readonly need: Resources;
  readonly bytes: number;
}

/** An upstream and its last reported capacity. */
export type ExecutorCapacity = UpstreamDescription & Omit<CapacityReport, 'description'>;

/** An executor as seen by a dispatcher. */
export class ExecutorView {
  /** Process id and incarnation: attempts belong to one incarnation of an executor. */
  readonly id: string;
  readonly processId: string;
  readonly failureDomain: string;
  /** Orphan timeout: how long tasks of this dispatcher can still run there after the last message, ms. */
  readonly orphanMs: number;
  /** Start of its incarnation by the time of day of its VM, Unix ms; NaN if not known. */
  readonly startedAt: number;
  /** When its first hello arrived. */
  readonly firstLinkedAt: number;
  /** Number of its newest link; undefined for earlier versions. */
  private linkNumber: number | undefined;
  linked = true;
  /** Whether operators have emptied its failure domain, so that no task is placed there. */
  isEmptied = false;
  report: ExecutorCapacity | undefined;
  /**
   * Time of the last hello, ping, capacity report or result. The executor measures its orphan timeout from
   * the last acknowledged ping, which is not later, so a timeout measured from here never ends before it.
   */
  lastReceivedAt: number;
  /** When its upstream last became unresponsive, ms. */
  downAt = -Infinity;
  /** Until when no task is sent after the executor returned a start as not run, ms. */
  pausedUntil = 0;
  /** Last clock reading of the executor, and when it was received, ms. */
  private executorClock = 0;
  private clockAt = 0;
  private startsSent = 0;
  /** Starts that the last report does not include, oldest first. */
  private readonly inFlight: InFlightStart[] = [];
  /** Resources of these starts, and their bytes. */
  private reserved: Resources = NO_RESOURCES;
  private inFlightBytes = 0;
  /** Recent minimum of the round-trip time, ms. */
  private minRoundTripMs = Infinity;
  /** Resources of attempts that have ended since the last report. */
  private released: Resources = NO_RESOURCES;
  /** Decaying sums of the CPU that other dispatchers took, thousandths of a core, and of the time, ms. */
  private takenByOthers = 0;
  private observedMs = 0;
  /** Time of the last ping or capacity report; initially the time of the hello. */
  private reportedAt: number;
  /** Age of the upstream's last report at the last ping, if that was long ago, ms. */
  private reportAgeMs = 0;
  /** Whether the report was received on the newest link. */
  private isReportCurrent = false;

  constructor(hello: ExecutorHello, now: number) {
    this.id = buildExecutorId(hello);
    this.processId = hello.agent;
    this.failureDomain = hello.failureDomain;
    this.orphanMs = hello.orphanMs;
    this.startedAt = parseIncarnationStart(hello.life);
    this.firstLinkedAt = now;
    this.linkNumber = hello.linkNumber;
    this.lastReceivedAt = now;
    this.reportedAt = now;
  }

  /** Resources available for new tasks. */
  get free(): Resources {
    const reported = addResources(this.report?.free ?? NO_RESOURCES, this.released);
    return subtractResources(reported, this.reserved);
  }

  /** Whether this is the preferred dispatcher of the executor; each executor has at most one. */
  get isHome(): boolean {
    return this.report?.isHome === true;
  }

  /**
   * Checks whether the executor is linked and accepts tasks.
   *
   * @param now - monotonic time, ms
   * @param staleMs - age of the last message after which it is sent no new tasks, ms
   */
  isReady(now: number, staleMs: number): boolean {
    if (!this.linked || this.isEmptied || now - this.lastReceivedAt > staleMs) return false;
    return this.isReportCurrent && this.report?.state === 'ready';
  }

  /** Number of starts that the executor has not acknowledged. */
  get startsInFlight(): number {
    return this.inFlight.length;
  }

  /** Bytes of the starts that the executor has not acknowledged. */
  get bytesInFlight(): number {
    return this.inFlightBytes;
  }

  /** Records a round-trip time, and returns by how much it exceeds the recent minimum, ms. */
  recordRoundTrip(roundTripMs: number): number {
    this.minRoundTripMs = Math.min(roundTripMs, this.minRoundTripMs * (1 + MIN_RISE));
    return roundTripMs - this.minRoundTripMs;
  }

  /** Whether a hello was sent on an earlier link than the newest. */
  isLateHello({ linkNumber }: ExecutorHello): boolean {
    return linkNumber !== undefined && this.linkNumber !== undefined && linkNumber < this.linkNumber;
  }

  /**
   * Resets the starts in flight and the released resources for a reopened link. No task is sent before a report on
   * that link, as another upstream may have replaced the one of the last report.
   */
  reopen({ linkNumber }: ExecutorHello, now: number): void {
    this.linked = true;
    this.isReportCurrent = false;
    this.linkNumber = linkNumber;
    this.lastReceivedAt = Math.max(this.lastReceivedAt, now);
    this.startsSent = 0;
    this.inFlight.length = 0;
    this.inFlightBytes = 0;
    this.reserved = NO_RESOURCES;
    this.released = NO_RESOURCES;
  }

  /** Records a ping, which carries the executor's clock and possibly its capacity. */
  recordPing(ping: Ping, now: number): void {
    this.reportAgeMs = ping.reportAgeMs ?? 0;
    this.lastReceivedAt = now;
    this.recordClock(ping.at, now);
    if (ping.room) this.recordCapacity(ping.room, now);
    else this.recordTakenByOthers(0, now);
  }

  /** Records the executor's clock from a message just received. */
  recordClock(at: number, now: number): void {
    this.executorClock = at;
    this.clockAt = now;
  }

  /** Records a capacity report; ignored if no description was received yet. */
  recordCapacity(report: CapacityReport, now: number): void {
    const { description = this.report, ...rest } = report;
    if (!description) return;
    const { upstream, service, labels, capacity, largest } = description;
    const freeBefore = this.free.cpuMilli;
    const isComparable = this.report?.upstream === upstream && equalResources(this.report.capacity, capacity);
    const isDown = report.state === 'silent' || report.state === 'absent';
    if (isDown && this.report?.state === 'ready') this.downAt = now;
    this.report = { upstream, service, labels, capacity, largest, ...rest };
    this.isReportCurrent = true;
    this.released = NO_RESOURCES;
    while (this.inFlight[0] && this.inFlight[0].number <= report.startsSeen) {
      const acknowledged = this.inFlight.shift();
      if (!acknowledged) continue;
      this.reserved = subtractResources(this.reserved, acknowledged.need);
      this.inFlightBytes -= acknowledged.bytes;
    }
    if (isComparable) this.recordTakenByOthers(Math.max(0, freeBefore - this.free.cpuMilli), now);
    this.reportedAt = now;
  }

  /** Whether the upstream has reported its capacity to this incarnation of the executor. */
  get hasReportedCapacity(): boolean {
    return this.report !== undefined && this.report.state !== 'absent' && this.report.isRecalled !== true;
  }

  /** Time since the capacity was last true, as far as the executor has told, ms. */
  findReportAge(now: number): number {
    return Math.max(0, now - this.reportedAt) + this.reportAgeMs;
  }

  private recordTakenByOthers(taken: number, now: number): void {
    this.takenByOthers = this.takenByOthers * HISTORY_WEIGHT + taken;
    this.observedMs = this.observedMs * HISTORY_WEIGHT + (now - this.reportedAt);
    this.reportedAt = now;
  }

  /**
   * Estimates the probability that other dispatchers have meanwhile taken the capacity that a task needs. It
   * grows with the age of the report and with the rate at which they take capacity, and falls with the spare
   * capacity.
   *
   * @param need - resources of the task
   * @param now - monotonic time, ms
   * @returns 0 to 1
   */
  estimateRisk(need: Resources, now: number): number {
    if (this.takenByOthers === 0 || this.observedMs === 0) return 0;
    const takenSince = (this.takenByOthers / this.observedMs) * (now - this.reportedAt + START_TRANSIT_MS);
    return Math.exp(-Math.max(0, this.free.cpuMilli - need.cpuMilli) / takenSince);
  }

  /** Reserves capacity for a start of the given size that is sent now. */
  reserve(need: Resources, bytes = 0): void {
    this.startsSent += 1;
    this.inFlight.push({ number: this.startsSent, need, bytes });
    this.inFlightBytes += bytes;
    this.reserved = addResources(this.reserved, need);
  }

  /** Releases the resources of an ended attempt until the next capacity report. */
  release(need: Resources): void {
    this.released = addResources(this.released, need);
  }

  /** Estimates the executor's current clock; it lags by the transit time of the last message. */
  estimateClock(now: number): number {
    return this.executorClock + (now - this.clockAt);
  }
}
