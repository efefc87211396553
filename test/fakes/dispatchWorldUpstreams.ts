/** Upstreams of the randomised runs: their lives, what they say of themselves, and the way to them. */
import type { UpstreamApi } from '../../src/ports/UpstreamApi.js';
import type { UpstreamReport } from '../../src/ports/UpstreamRegistry.js';
import { AddressUpstreamApi } from './AddressUpstreamApi.js';
import { CAPACITY, ROOM_TASKS } from './checkDispatchWorld.js';
import { ROUTE, STEP } from './dispatchFixtures.js';
import type { WorldAgent, WorldUpstream } from './dispatchWorldState.js';
import type { FakeClock } from './FakeClock.js';
import { FakeUpstream } from './FakeUpstream.js';
import { SuspendedTime } from './SuspendedTime.js';

/** Start of the first life that keeps its id, Unix ms. */
const FIRST_BORN_MS = 1_700_000_000_000;
/** Clock of an upstream before its first life, and what it changes by from life to life, ms. */
const FIRST_CLOCK_MS = 500_000;
const CLOCK_STEP_MS = 1_000;
/** Time for which an upstream that a task has crashed is down, ms. */
const CRASHED_MS = 3_000;
/** Reports that an earlier life has sent; far more than a run is long. */
const MANY_REPORTS = 1_000_000;
/** Longest time after waking for which a lease of before holds, ms. */
const REST_OF_LEASE_MS = 700;

/** The upstreams beside the agents of a run. */
export class WorldUpstreams {
  /** When tasks crashed upstreams. */
  readonly crashedAt: number[] = [];
  private readonly crashed = new Set<WorldAgent>();
  private poison = '';
  private sequence = 0;
  /** By agent, of the VM of its upstreams. */
  private readonly suspended = new Map<number, SuspendedTime>();

  /**
   * @param clock - of the run
   * @param keepsIds - whether lives of an upstream follow each other under one id, each with counts of its own
   */
  constructor(
    private readonly clock: FakeClock,
    private readonly keepsIds: boolean,
  ) {}

  /** Creates the first life of an agent's upstream. */
  create(index: number): WorldUpstream {
    return this.createLife(index, 1);
  }

  /** Ends the life of an agent's upstream, which answers nothing from now on. */
  end({ upstream }: WorldAgent): void {
    upstream.fake.running.clear();
    upstream.fake.isOver = true;
    upstream.fake.silent = true;
  }

  /** Has the next life of an agent's upstream take the place of the one that was ended. */
  begin(agent: WorldAgent): void {
    agent.upstream = this.createLife(agent.index, agent.upstream.life + 1);
  }

  /** Has the next life of an agent's upstream answer at once where the last one did. */
  replace(agent: WorldAgent): void {
    const { fake } = agent.upstream;
    this.end(agent);
    fake.silent = this.keepsIds;
    fake.isReplaced = !this.keepsIds;
    this.begin(agent);
  }

  /** Suspends the VM of an agent's upstream. */
  suspend({ index, upstream }: WorldAgent, ms: number): void {
    const suspended = this.findSuspended(index);
    suspended.suspend(ms);
    upstream.doubtfulUntil = suspended.until + REST_OF_LEASE_MS;
  }

  /** Has the VMs of all upstreams run. */
  wake(): void {
    for (const suspended of this.suspended.values()) suspended.wake();
  }

  /** Tasks of a job crash the upstreams that begin them. */
  setPoison(job: string, agents: readonly WorldAgent[]): void {
    this.poison = job;
    for (const { upstream } of agents) upstream.fake.poison = job;
  }

  /** Has the next life of each upstream that a task has crashed begin after a while. */
  restartCrashed(agents: readonly WorldAgent[], report: (agent: WorldAgent) => void): void {
    for (const agent of agents) {
      if (!agent.upstream.fake.refuses || this.crashed.has(agent)) continue;
      this.crashed.add(agent);
      this.crashedAt.push(this.clock.now());
      void this.clock.sleep(CRASHED_MS).then(() => {
        this.crashed.delete(agent);
        this.begin(agent);
        agent.upstream.fake.poison = this.poison;
        report(agent);
      });
    }
  }

  /** Builds the next report of a life of an agent's upstream. */
  buildReport({ index, upstream }: WorldAgent, life: number): UpstreamReport {
    this.sequence += 1;
    return {
      id: this.buildId(index, life),
      bornAt: this.findBornAt(life),
      service: ROUTE.service,
      address: `u${index}`,
      capacity: { ...CAPACITY, cpuMilli: this.takeTold(upstream, life) * STEP.resources.cpuMilli },
      labels: [],
      isDraining: false,
      clockMs: upstream.fake.clockMs,
      sequence: this.keepsIds ? this.countInLife(upstream, life) : this.sequence,
    };
  }

  /** Returns the tasks that a life has room for; an earlier one tells what it had at first. */
  private takeTold(upstream: WorldUpstream, life: number): number {
    if (life !== upstream.life) return ROOM_TASKS;
    if (upstream.roomTasks === upstream.toldTasks) return upstream.toldTasks;
    upstream.toldBefore = upstream.toldTasks;
    upstream.toldAt = this.clock.now();
    upstream.toldTasks = upstream.roomTasks;
    return upstream.toldTasks;
  }

  /** Opens the way to a life that has reported itself. */
  openExecutor(id: string, findAgent: () => WorldAgent): UpstreamApi {
    const { upstream } = findAgent();
    if (this.keepsIds) return new AddressUpstreamApi(() => findAgent().upstream.fake);
    if (id === upstream.id) return upstream.fake;
    const gone = new FakeUpstream(this.clock);
    gone.isReplaced = true;
    return gone;
  }

  /** Numbers of reports begin anew with each life; an earlier one had sent many. */
  private countInLife(upstream: WorldUpstream, life: number): number {
    if (life !== upstream.life) return MANY_REPORTS + this.sequence;
    upstream.reports += 1;
    return upstream.reports;
  }

  private createLife(index: number, life: number): WorldUpstream {
    const clockStep = this.keepsIds ? -CLOCK_STEP_MS : CLOCK_STEP_MS;
    const suspended = this.findSuspended(index);
    const clock = {
      now: () => this.clock.now() - suspended.ms,
      sleep: (ms: number) => this.clock.sleep(ms),
    };
    const fake = new FakeUpstream(clock, FIRST_CLOCK_MS + life * clockStep);
    fake.bornAt = this.findBornAt(life);
    return {
      id: this.buildId(index, life),
      life,
      fake,
      doubtfulUntil: suspended.until + REST_OF_LEASE_MS,
      reports: 0,
      roomTasks: ROOM_TASKS,
      toldTasks: ROOM_TASKS,
      toldAt: -Infinity,
      toldBefore: ROOM_TASKS,
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

  private buildId(index: number, life: number): string {
    return this.keepsIds ? `u${index}` : `u${index}-${life}`;
  }

  private findBornAt(life: number): number | undefined {
    return this.keepsIds ? FIRST_BORN_MS + life : undefined;
  }
}
