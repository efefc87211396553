/** Monotonic time, as an object so that tests can hold it. */
import { performance } from 'node:perf_hooks';

/** A clock that never goes back, and waits by it. */
export abstract class Clock {
  /** Ms since some moment of this process; never compared with another process's. */
  abstract now(): number;
  /** Resolves after at least so many ms. */
  abstract sleep(ms: number): Promise<void>;
}

/** The clock of the VM. */
export class SteadyClock extends Clock {
  override now(): number {
    return performance.now();
  }

  override sleep(ms: number): Promise<void> {
    return new Promise((resolve) => setTimeout(resolve, ms));
  }
}
