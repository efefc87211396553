/** The executors of a dispatcher: their links, emptied failure domains and typical speed. */
import type { EarlierCapacity, ExecutorHello } from '../../connection/peer/peerMessages.js';
import { ExecutorView, buildExecutorId } from './ExecutorView.js';
import { KnownCapacities } from './KnownCapacities.js';

/** Lower bound of the typical speed, so that time estimates stay finite. */
const MIN_TYPICAL_SPEED = 0.2;
/** Interval at which the capacities of the upstreams are recorded, ms. */
const CAPACITIES_INTERVAL_MS = 1_000;
/** Age of the last message after which an unlinked executor is removed, ms. */
const RETENTION_MS = 10_000;

/** Executors of one dispatcher, by process and incarnation. */
export class ExecutorTable {
  private readonly executors = new Map<string, ExecutorView>();
  /** Failure domains in which no task is started. */
  private emptied: readonly string[] = [];
  private medianSpeed = 1;
  /** What the upstreams have had of late. */
  readonly capacities = new KnownCapacities();
  private capacitiesUpdatedAt = -Infinity;

  /** @param staleMs - age of the last message after which an executor is sent no new tasks, ms */
  constructor(readonly staleMs: number) {}

  /** Typical speed of the upstreams, ms of estimated work per ms. */
  get typicalSpeed(): number {
    return this.medianSpeed;
  }

  /** Lists all executors, linked or not. */
  list(): ExecutorView[] {
    return [...this.executors.values()];
  }

  /** Finds an incarnation of an executor. */
  find(id: string): ExecutorView | undefined {
    return this.executors.get(id);
  }

  /** Whether an executor of any service is linked and accepts tasks. */
  hasReady(now: number): boolean {
    for (const executor of this.executors.values()) {
      if (executor.isReady(now, this.staleMs)) return true;
    }
    return false;
  }

  /** Replaces the failure domains that operators have emptied. */
  setEmptied(domains: readonly string[]): void {
    this.emptied = domains;
    for (const executor of this.executors.values())
      executor.isEmptied = domains.includes(executor.failureDomain);
  }

  /** Adds a new incarnation of an executor. */
  add(hello: ExecutorHello, now: number): ExecutorView {
    const executor = new ExecutorView(hello, now);
    executor.isEmptied = this.emptied.includes(executor.failureDomain);
    this.executors.set(executor.id, executor);
    return executor;
  }

  /** Marks the other incarnations of an executor that has linked as unlinked. */
  unlinkOthers(hello: ExecutorHello): void {
    const id = buildExecutorId(hello);
    for (const other of this.executors.values()) {
      if (other.processId === hello.agent && other.id !== id) other.linked = false;
    }
  }

  /**
   * Lists the earlier incarnations of an executor that had the same upstream. A message of an earlier
   * incarnation may arrive late, so one counts as earlier only if it did not start later and has sent nothing
   * since this one was first linked. The tasks of any other are waited for until its orphan timeout.
   */
  listEarlierIncarnations(executor: ExecutorView): ExecutorView[] {
    return this.list().filter(
      (other) =>
        other !== executor &&
        other.processId === executor.processId &&
        other.report?.upstream === executor.report?.upstream &&
        !(other.startedAt > executor.startedAt) &&
        other.lastReceivedAt <= executor.firstLinkedAt,
    );
  }

  /**
   * Finds the capacity that the upstream has reported to the latest other incarnation of an executor; undefined also
   * if it drained.
   */
  findEarlierCapacity(hello: ExecutorHello, now: number): EarlierCapacity | undefined {
    const id = buildExecutorId(hello);
    const [latest] = this.list()
      .filter((other) => other.processId === hello.agent && other.id !== id && other.hasReportedCapacity)
      .sort((left, right) => left.findReportAge(now) - right.findReportAge(now));
    if (!latest?.report || latest.report.isUpstreamDraining === true) return undefined;
    const { upstream, capacity } = latest.report;
    return { upstream, capacity, ageMs: latest.findReportAge(now) };
  }

  /**
   * Records the capacities that the upstreams have.
   *
   * @returns whether there are services of which all upstreams are known from now on
   */
  updateCapacities(now: number): boolean {
    if (now - this.capacitiesUpdatedAt < CAPACITIES_INTERVAL_MS) return false;
    this.capacitiesUpdatedAt = now;
    for (const { report } of this.executors.values()) if (report) this.capacities.record(report, now);
    return this.capacities.tick(now);
  }

  /** Updates the typical speed from the reports of the executors. */
  updateSpeed(): void {
    this.medianSpeed = computeMedianSpeed(this.executors.values());
  }

  /** Removes an incarnation of an executor. */
  delete(id: string): void {
    this.executors.delete(id);
  }

  /** Removes an unlinked executor whose last message is older than the retention time. */
  deleteIfGone({ id, linked, lastReceivedAt }: ExecutorView, now: number): void {
    if (!linked && now > lastReceivedAt + RETENTION_MS) this.executors.delete(id);
  }

  /** Sums the bytes of starts in flight, except to unresponsive executors, where they may never arrive. */
  sumBytesInFlight(now: number): number {
    let bytes = 0;
    for (const executor of this.executors.values()) {
      if (executor.linked && this.isFresh(executor, now)) bytes += executor.bytesInFlight;
    }
    return bytes;
  }

  private isFresh({ lastReceivedAt }: ExecutorView, now: number): boolean {
    return now - lastReceivedAt <= this.staleMs;
  }
}

function computeMedianSpeed(executors: Iterable<ExecutorView>): number {
  const speeds: number[] = [];
  for (const { linked, report, isEmptied } of executors)
    if (linked && !isEmptied && report && report.state === 'ready') speeds.push(report.speed);
  speeds.sort((left, right) => left - right);
  return Math.max(MIN_TYPICAL_SPEED, speeds[Math.floor(speeds.length / 2)] ?? 1);
}
