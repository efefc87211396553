/**
 * A process of the randomised runs that can stand still, or whose VM can be suspended: its timers, orders and answers
 * wait meanwhile.
 */
import { Clock } from '../../src/_lib/Clock.js';
import { TaskExecutor } from '../../src/ports/TaskExecutor.js';
import type {
  LeaseAnswer,
  LeaseRenewal,
  OrderAnswer,
  RunName,
  RunStart,
  StartVerdict,
  StopVerdict,
} from '../../src/ports/TaskExecutor.js';
import type { FakeClock } from './FakeClock.js';

/** Step in which a frozen process looks whether it runs again, ms. */
const STEP_MS = 5;

/** Whether a process runs: its timers, answers and messages wait while it stands still. */
export class ProcessGate extends Clock {
  frozenUntil = 0;
  dead = false;
  /** Time in which the VM was suspended, which its steady clock does not count, ms. */
  private suspendedMs = 0;

  constructor(private readonly base: FakeClock) {
    super();
  }

  get isFrozen(): boolean {
    return this.base.now() < this.frozenUntil;
  }

  override now(): number {
    return this.base.now();
  }

  override readSteady(): number {
    return this.base.now() - this.suspendedMs;
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
    this.frozenUntil = this.base.now() + ms;
    this.suspendedMs += ms;
  }

  /** Waits until the process runs; never returns in a dead one. */
  async pass(): Promise<void> {
    if (this.dead) await new Promise<never>(() => undefined);
    while (this.isFrozen) await this.base.sleep(STEP_MS);
  }
}

/** Orders leave, and answers reach, a process only while it runs. */
export class GatedExecutor extends TaskExecutor {
  constructor(
    private readonly fake: TaskExecutor,
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
