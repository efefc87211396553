/** Upstreams of the simulation: incarnations, reports and clients. */
import type { UpstreamApi } from '../../src/ports/UpstreamApi.js';
import type { UpstreamReport } from '../../src/ports/UpstreamRegistry.js';
import { AddressUpstreamApi } from './AddressUpstreamApi.js';
import { CAPACITY, CAPACITY_TASKS } from './checkDispatchSimulation.js';
import { ROUTE, STEP } from './dispatchFixtures.js';
import type { SimExecutor, SimUpstream } from './dispatchSimulationState.js';
import type { FakeClock } from './FakeClock.js';
import { FakeUpstream } from './FakeUpstream.js';
import { SuspendedTime } from './SuspendedTime.js';

/** Start of the first incarnation if incarnations share an id, Unix ms. */
const FIRST_BORN_MS = 1_700_000_000_000;
/** Clock of an upstream before its first incarnation, and its change per incarnation, ms. */
const FIRST_CLOCK_MS = 500_000;
const CLOCK_STEP_MS = 1_000;
/** Downtime of an upstream after a crash by a task, ms. */
const DOWN_MS = 3_000;
/** Reports of an earlier incarnation; more than any run sends. */
const EARLIER_REPORTS = 1_000_000;
/** Longest time after a resume for which an earlier lease is valid, ms. */
const REMAINING_LEASE_MS = 700;

/** Upstreams of the executors of a run. */
export class SimUpstreams {
  /** Times at which tasks crashed upstreams. */
  readonly crashedAt: number[] = [];
  /** Duration of the tasks of some jobs, by job, ms. */
  readonly durations = new Map<string, number>();
  private readonly crashed = new Set<SimExecutor>();
  private poison = '';
  private sequence = 0;
  /** Suspended time of each upstream's VM, by index of the executor. */
  private readonly suspended = new Map<number, SuspendedTime>();

  /**
   * @param clock - clock of the run
   * @param keepsIds - whether incarnations of an upstream share an id, each with its own report sequence
   * @param clockRates - rates of the upstreams' clocks, by index of the executor; 1 if not set
   */
  constructor(
    private readonly clock: FakeClock,
    private readonly keepsIds: boolean,
    private readonly clockRates: readonly number[] = [],
  ) {}

  /** Creates the first incarnation of an executor's upstream. */
  create(index: number): SimUpstream {
    return this.createIncarnation(index, 1);
  }

  /** Ends the incarnation of an executor's upstream, which no longer answers. */
  end({ upstream }: SimExecutor): void {
    upstream.fake.running.clear();
    upstream.fake.isOver = true;
    upstream.fake.silent = true;
  }

  /** Starts the next incarnation of an executor's upstream. */
  begin(executor: SimExecutor): void {
    executor.upstream = this.createIncarnation(executor.index, executor.upstream.incarnation + 1);
  }

  /** Replaces an executor's upstream by its next incarnation, which answers at once at the same address. */
  replace(executor: SimExecutor): void {
    const { fake } = executor.upstream;
    this.end(executor);
    fake.silent = this.keepsIds;
    fake.isReplaced = !this.keepsIds;
    this.begin(executor);
  }

  /** Suspends the VM of an executor's upstream. */
  suspend({ index, upstream }: SimExecutor, ms: number): void {
    const suspended = this.findSuspended(index);
    suspended.suspend(ms);
    upstream.uncertainUntil = suspended.until + REMAINING_LEASE_MS;
  }

  /** Resumes the VMs of all upstreams. */
  wake(): void {
    for (const suspended of this.suspended.values()) suspended.wake();
  }

  /** Sets the job whose tasks crash the upstreams that start them. */
  setPoison(job: string, executors: readonly SimExecutor[]): void {
    this.poison = job;
    for (const { upstream } of executors) upstream.fake.poison = job;
  }

  /** Schedules the next incarnation of each upstream that a task has crashed. */
  restartCrashed(executors: readonly SimExecutor[], report: (executor: SimExecutor) => void): void {
    for (const executor of executors) {
      if (!executor.upstream.fake.refuses || this.crashed.has(executor)) continue;
      this.crashed.add(executor);
      this.crashedAt.push(this.clock.now());
      void this.clock.sleep(DOWN_MS).then(() => {
        this.crashed.delete(executor);
        this.begin(executor);
        executor.upstream.fake.poison = this.poison;
        report(executor);
      });
    }
  }

  /** Builds the next report of an incarnation of an executor's upstream. */
  buildReport({ index, upstream }: SimExecutor, incarnation: number): UpstreamReport {
    this.sequence += 1;
    return {
      id: this.buildId(index, incarnation),
      bornAt: this.findBornAt(incarnation),
      service: ROUTE.service,
      address: `u${index}`,
      capacity: {
        ...CAPACITY,
        cpuMilli: this.takeReportedTasks(upstream, incarnation) * STEP.resources.cpuMilli,
      },
      labels: [],
      isDraining: false,
      clockMs: upstream.fake.clockMs,
      sequence: this.keepsIds ? this.countInIncarnation(upstream, incarnation) : this.sequence,
    };
  }

  /** Returns the capacity to report, in tasks; earlier incarnations report the initial capacity. */
  private takeReportedTasks(upstream: SimUpstream, incarnation: number): number {
    if (incarnation !== upstream.incarnation) return CAPACITY_TASKS;
    if (upstream.capacityTasks === upstream.reportedTasks) return upstream.reportedTasks;
    upstream.previousTasks = upstream.reportedTasks;
    upstream.reportedAt = this.clock.now();
    upstream.reportedTasks = upstream.capacityTasks;
    return upstream.reportedTasks;
  }

  /** Opens a client of the incarnation that has reported itself. */
  openApi(id: string, findExecutor: () => SimExecutor): UpstreamApi {
    const { upstream } = findExecutor();
    if (this.keepsIds) return new AddressUpstreamApi(() => findExecutor().upstream.fake);
    if (id === upstream.id) return upstream.fake;
    const gone = new FakeUpstream(this.clock);
    gone.isReplaced = true;
    return gone;
  }

  /** Returns the next report number of an incarnation; earlier incarnations have sent many reports. */
  private countInIncarnation(upstream: SimUpstream, incarnation: number): number {
    if (incarnation !== upstream.incarnation) return EARLIER_REPORTS + this.sequence;
    upstream.reports += 1;
    return upstream.reports;
  }

  private createIncarnation(index: number, incarnation: number): SimUpstream {
    const clockStep = this.keepsIds ? -CLOCK_STEP_MS : CLOCK_STEP_MS;
    const suspended = this.findSuspended(index);
    const rate = this.clockRates[index] ?? 1;
    const clock = {
      now: () => (this.clock.now() - suspended.ms) * rate,
      sleep: (ms: number) => this.clock.sleep(ms),
    };
    const fake = new FakeUpstream(clock, FIRST_CLOCK_MS + incarnation * clockStep);
    fake.bornAt = this.findBornAt(incarnation);
    fake.durations = this.durations;
    return {
      id: this.buildId(index, incarnation),
      incarnation,
      fake,
      uncertainUntil: suspended.until + REMAINING_LEASE_MS,
      reports: 0,
      capacityTasks: CAPACITY_TASKS,
      reportedTasks: CAPACITY_TASKS,
      reportedAt: -Infinity,
      previousTasks: CAPACITY_TASKS,
      checkedStarts: 0,
    };
  }

  private findSuspended(index: number): SuspendedTime {
    const known = this.suspended.get(index);
    if (known) return known;
    const suspended = new SuspendedTime(this.clock);
    this.suspended.set(index, suspended);
    return suspended;
  }

  private buildId(index: number, incarnation: number): string {
    return this.keepsIds ? `u${index}` : `u${index}-${incarnation}`;
  }

  private findBornAt(incarnation: number): number | undefined {
    return this.keepsIds ? FIRST_BORN_MS + incarnation : undefined;
  }
}
