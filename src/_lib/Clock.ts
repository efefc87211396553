/** Monotonic time, as an object so that tests can hold it. */
import { performance } from 'node:perf_hooks';

/** A clock that never goes back, and waits by it. */
export abstract class Clock {
  /**
   * Ms since some moment of this process; never compared with another process's. Counts the time in which the VM was
   * suspended, as everyone else does.
   */
  abstract now(): number;
  /**
   * Ms since some moment of this process, without the time in which the VM was suspended: what runs on the same VM counts
   * no more than this. Never compared with `now`.
   */
  abstract readSteady(): number;
  /** Resolves after at least so many ms, without suspended time. */
  abstract sleep(ms: number): Promise<void>;
}

/** The steady clock of the VM, for programs that live no longer than a test. */
export class SteadyClock extends Clock {
  override now(): number {
    return performance.now();
  }

  override readSteady(): number {
    return performance.now();
  }

  override sleep(ms: number): Promise<void> {
    return new Promise((resolve) => setTimeout(resolve, ms));
  }
}
