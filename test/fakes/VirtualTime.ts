/** Virtual time in fixed steps, with what is to happen then: cheaper than `FakeClock` where thousands of things wait. */
import { Clock } from '../../src/_lib/Clock.js';

/** One step, ms. */
const STEP_MS = 0.5;
/** Turns of the microtask queue in each step; what is left runs on in the next ones. */
const SETTLE_TURNS = 8;

/** A clock that moves in steps. */
export class VirtualTime extends Clock {
  private step = 0;
  private readonly due = new Map<number, (() => void)[]>();

  override now(): number {
    return this.step * STEP_MS;
  }

  override readSteady(): number {
    return this.now();
  }

  override sleep(ms: number): Promise<void> {
    return new Promise((resolve) => this.schedule(ms, resolve));
  }

  /** Has something happen after at least so many ms, and after one step. */
  schedule(ms: number, action: () => void): void {
    const at = this.step + Math.max(1, Math.ceil(ms / STEP_MS));
    const actions = this.due.get(at);
    if (actions) actions.push(action);
    else this.due.set(at, [action]);
  }

  /** Moves time on by one step, and has happen what is due. */
  async advance(): Promise<void> {
    this.step += 1;
    const actions = this.due.get(this.step) ?? [];
    this.due.delete(this.step);
    for (const action of actions) action();
    for (let turn = 0; turn < SETTLE_TURNS; turn += 1) await Promise.resolve();
  }
}
