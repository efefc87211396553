/**
 * A process of the randomised runs that can stand still, or whose VM can be suspended: its timers, orders and answers
 * wait meanwhile.
 */
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

/** Step in which a frozen process looks whether it runs again, ms. */
const STEP_MS = 5;

/** Time of day when the runs begin, Unix ms. */
const FIRST_TIME_OF_DAY_MS = 1_700_000_000_000;
/** What a VM's boot clock counts in, ms. */
const BOOT_STEP_MS = 10;

/** Whether a process runs: its timers, answers and messages wait while it stands still. */
export class ProcessGate extends Clock {
  frozenUntil = 0;
  dead = false;
  /** How far the time of day has been set since the start, ms. */
  private steppedMs = 0;
  private readonly clock: BootClock;

  /**
   * @param base - of the run
   * @param suspended - of the VM; a process that starts while it is suspended runs once it has woken
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
    await this.pass();
    while (this.readSteady() < until) {
      await this.base.sleep(until - this.readSteady());
      await this.pass();
    }
  }

  /** The VM is suspended from now on for so long. */
  suspend(ms: number): void {
    this.suspended.suspend(ms);
    this.frozenUntil = this.suspended.until;
  }

  /** The time of day is set. */
  stepTimeOfDay(ms: number): void {
    this.steppedMs += ms;
  }

  /** The process runs again before its time. */
  wake(): void {
    this.frozenUntil = 0;
    this.suspended.wake();
  }

  /** Waits until the process runs; never returns in a dead one. */
  async pass(): Promise<void> {
    if (this.dead) await new Promise<never>(() => undefined);
    while (this.isFrozen) await this.base.sleep(STEP_MS);
  }
}

/** Orders leave, and answers reach, a process only while it runs. */
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
    // Nothing is open.
  }

  private async pass<Answer>(answer: Promise<Answer>): Promise<Answer> {
    try {
      return await answer;
    } finally {
      await this.gate.pass();
    }
  }
}
