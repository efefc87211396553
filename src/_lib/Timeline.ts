/** Time and timers of a process, as an object so that a model can play them. */
import type { Clock } from './Clock.js';

/** Time that goes on, and what is to happen later. */
export interface Timeline {
  /** Ms since some moment of this process. */
  now(): number;
  /** Runs something after at least so many ms; it must not throw. */
  schedule(delayMs: number, run: () => void): void;
}

/** The time of a clock, with the timers of the process; these do not keep it alive. */
export class ClockTimeline implements Timeline {
  constructor(private readonly clock: Clock) {}

  now(): number {
    return this.clock.now();
  }

  schedule(delayMs: number, run: () => void): void {
    setTimeout(run, delayMs).unref();
  }
}
