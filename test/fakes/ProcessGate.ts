/** Process of the simulation that can be frozen, or whose VM can be suspended. */
import { BootClock } from '../../src/_lib/BootClock.js';
import { Clock } from '../../src/_lib/Clock.js';
import { UpstreamApi } from '../../src/ports/UpstreamApi.js';
import type {
  LeaseAnswer,
  LeaseRenewal,
  OrderAnswer,
  RunName,
  RunStart,
  StartVerdict,
  StopVerdict,
} from '../../src/ports/UpstreamApi.js';
import type { FakeClock } from './FakeClock.js';
import { SuspendedTime } from './SuspendedTime.js';

/** Interval at which a frozen process checks whether it may resume, ms. */
const STEP_MS = 5;

/** Time of day at the start of a run, Unix ms. */
const FIRST_TIME_OF_DAY_MS = 1_700_000_000_000;
/** Resolution of a VM's boot clock, ms. */
const BOOT_STEP_MS = 10;

/** Clock of a process that delays its timers and answers while the process is frozen. */
export class ProcessGate extends Clock {
  frozenUntil = 0;
  dead = false;
  /** Sum of the steps of the time of day, ms. */
  private steppedMs = 0;
  private readonly clock: BootClock;

  /**
   * @param base - clock of the run
   * @param suspended - suspended time of the VM; a process that starts during a suspension runs after it
   */
  constructor(
    private readonly base: FakeClock,
    private readonly suspended = new SuspendedTime(base),
  ) {
    super();
    this.frozenUntil = suspended.until;
    this.clock = new BootClock(() => undefined, {
      readSteady: () => this.readSteady(),
      readTimeOfDay: () => FIRST_TIME_OF_DAY_MS + base.now() + this.steppedMs,
      readBoot: () => Math.floor(base.now() / BOOT_STEP_MS) * BOOT_STEP_MS,
    });
  }

  /** Creates the gate of the next process on the VM. */
  createNext(): ProcessGate {
    return new ProcessGate(this.base, this.suspended);
  }

  get isFrozen(): boolean {
    return this.base.now() < this.frozenUntil;
  }

  override now(): number {
    return this.clock.now();
  }

  override readSteady(): number {
    return this.base.now() - this.suspended.ms;
  }

  override async sleep(ms: number): Promise<void> {
    const until = this.readSteady() + ms;
    await this.base.sleep(ms);
    await this.waitUntilAwake();
    while (this.readSteady() < until) {
      await this.base.sleep(until - this.readSteady());
      await this.waitUntilAwake();
    }
  }

  /** Suspends the VM from now on. */
  suspend(ms: number): void {
    this.suspended.suspend(ms);
    this.frozenUntil = this.suspended.until;
  }

  /** Steps the time of day. */
  stepTimeOfDay(ms: number): void {
    this.steppedMs += ms;
  }

  /** Resumes the process early. */
  wake(): void {
    this.frozenUntil = 0;
    this.suspended.wake();
  }

  /** Waits until the process runs; never resolves for a dead process. */
  async waitUntilAwake(): Promise<void> {
    if (this.dead) await new Promise<never>(() => undefined);
    while (this.isFrozen) await this.base.sleep(STEP_MS);
  }
}

/** Upstream client that delays answers while its process is frozen. */
export class GatedUpstreamApi extends UpstreamApi {
  constructor(
    private readonly fake: UpstreamApi,
    private readonly gate: ProcessGate,
  ) {
    super();
  }

  override start(order: RunStart, timeoutMs: number): Promise<OrderAnswer<StartVerdict>> {
    return this.pass(this.fake.start(order, timeoutMs));
  }

  override stop(name: RunName, fencingToken: number, timeoutMs: number): Promise<OrderAnswer<StopVerdict>> {
    return this.pass(this.fake.stop(name, fencingToken, timeoutMs));
  }

  override renew(renewal: LeaseRenewal, timeoutMs: number): Promise<LeaseAnswer> {
    return this.pass(this.fake.renew(renewal, timeoutMs));
  }

  override close(): void {
    // There is no connection to close.
  }

  private async pass<Answer>(answer: Promise<Answer>): Promise<Answer> {
    try {
      return await answer;
    } finally {
      await this.gate.waitUntilAwake();
    }
  }
}
