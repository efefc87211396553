/** Monotonic time that a test moves on. */
import { Clock } from '../../src/_lib/Clock.js';

/** Turns of the microtask queue after which everything that was resolved has run on. */
const SETTLE_TURNS = 40;

interface Sleeper {
  readonly at: number;
  readonly wake: () => void;
}

/** A clock that stands until it is moved. */
export class FakeClock extends Clock {
  private time = 1_000;
  private sleepers: Sleeper[] = [];

  override now(): number {
    return this.time;
  }

  override readSteady(): number {
    return this.time;
  }

  override sleep(ms: number): Promise<void> {
    return new Promise((wake) => this.sleepers.push({ at: this.time + ms, wake }));
  }

  /** Moves time on in small steps, waking who sleeps. */
  async advance(ms: number, stepMs = 5): Promise<void> {
    const until = this.time + ms;
    while (this.time < until) {
      this.time = Math.min(until, this.time + stepMs);
      await this.wakeDue();
    }
  }

  /** Moves time at once, as for a process that stood still. */
  async jump(ms: number): Promise<void> {
    this.time += ms;
    await this.wakeDue();
  }

  /** Lets everything that was resolved run on. */
  async settle(): Promise<void> {
    for (let turn = 0; turn < SETTLE_TURNS; turn += 1) await Promise.resolve();
  }

  private async wakeDue(): Promise<void> {
    const due = this.sleepers.filter(({ at }) => at <= this.time);
    this.sleepers = this.sleepers.filter(({ at }) => at > this.time);
    for (const { wake } of due) wake();
    await this.settle();
  }
}
