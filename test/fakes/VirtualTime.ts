/** Virtual time in fixed steps; cheaper than `FakeClock` with thousands of timers. */
import { Clock } from '../../src/_lib/Clock.js';

/** Step, ms. */
const STEP_MS = 0.5;
/** Microtask turns per step; remaining continuations run in later steps. */
const SETTLE_TURNS = 8;

/** Clock that advances in fixed steps. */
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

  /** Runs an action after at least the given time and one step. */
  schedule(ms: number, action: () => void): void {
    const at = this.step + Math.max(1, Math.ceil(ms / STEP_MS));
    const actions = this.due.get(at);
    if (actions) actions.push(action);
    else this.due.set(at, [action]);
  }

  /** Advances time by one step and runs the actions that are due. */
  async advance(): Promise<void> {
    this.step += 1;
    const actions = this.due.get(this.step) ?? [];
    this.due.delete(this.step);
    for (const action of actions) action();
    for (let turn = 0; turn < SETTLE_TURNS; turn += 1) await Promise.resolve();
  }
}
