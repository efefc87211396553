/** Monotonic clock that a test advances. */
import { Clock } from '../../src/_lib/Clock.js';

/** Microtask turns after which all resolved promises have run their continuations. */
const SETTLE_TURNS = 40;

interface Sleeper {
  readonly at: number;
  readonly wake: () => void;
}

/** Clock that changes only when a test advances it. */
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

  /** Advances time in small steps and wakes sleepers that are due. */
  async advance(ms: number, stepMs = 5): Promise<void> {
    const until = this.time + ms;
    while (this.time < until) {
      this.time = Math.min(until, this.time + stepMs);
      await this.wakeDue();
    }
  }

  /** Advances time in one step, as for a stalled process. */
  async jump(ms: number): Promise<void> {
    this.time += ms;
    await this.wakeDue();
  }

  /** Runs the continuations of all resolved promises. */
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
