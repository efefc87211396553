/** The time in which a VM of a test was suspended. */
import type { FakeClock } from './FakeClock.js';

/** Suspended time of one VM, as it goes by. */
export class SuspendedTime {
  private beforeMs = 0;
  private from = 0;
  private untilAt = 0;

  constructor(private readonly base: FakeClock) {}

  /** When the VM wakes, or has woken last. */
  get until(): number {
    return this.untilAt;
  }

  /** Suspended time up to now, ms. */
  get ms(): number {
    return this.beforeMs + Math.max(0, Math.min(this.base.now(), this.untilAt) - this.from);
  }

  /** The VM is suspended from now on for so long. */
  suspend(ms: number): void {
    this.beforeMs = this.ms;
    this.from = this.base.now();
    this.untilAt = this.from + ms;
  }

  /** The VM wakes before its time. */
  wake(): void {
    this.untilAt = Math.min(this.untilAt, this.base.now());
  }
}
