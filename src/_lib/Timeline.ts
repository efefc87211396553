/** Time and timers of a process, as an object that a simulation can replace. */
import type { Clock } from './Clock.js';

/** Current time and timers. */
export interface Timeline {
  /** Returns ms since an arbitrary origin. */
  now(): number;
  /** Calls `run` after at least `delayMs` ms; it must not throw. */
  schedule(delayMs: number, run: () => void): void;
}

/** Time of a clock and timers of the process, which do not keep the process alive. */
export class ClockTimeline implements Timeline {
  constructor(private readonly clock: Clock) {}

  now(): number {
    return this.clock.now();
  }

  schedule(delayMs: number, run: () => void): void {
    setTimeout(run, delayMs).unref();
  }
}
