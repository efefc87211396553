/** Monotonic clocks, as objects that tests can replace. */
import { performance } from 'node:perf_hooks';

/** A monotonic clock. */
export abstract class Clock {
  /**
   * Returns ms since an arbitrary origin, including the time in which the VM was suspended, as other VMs
   * count it too. Not comparable between processes.
   */
  abstract now(): number;
  /**
   * Returns ms since an arbitrary origin, excluding the time in which the VM was suspended: the time that passed
   * for processes on the same VM. Not comparable with `now`.
   */
  abstract readSteady(): number;
  /** Resolves after at least `ms` ms, excluding suspended time. */
  abstract sleep(ms: number): Promise<void>;
}

/** The steady clock of the VM, which excludes suspended time; for short-lived programs such as tests. */
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
