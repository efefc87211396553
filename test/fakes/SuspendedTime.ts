/** Suspended time of a simulated VM. */
import type { FakeClock } from './FakeClock.js';

/** Accumulates the suspended time of one VM. */
export class SuspendedTime {
  private beforeMs = 0;
  private from = 0;
  private untilAt = 0;

  constructor(private readonly base: FakeClock) {}

  /** Time of the next or latest resume. */
  get until(): number {
    return this.untilAt;
  }

  /** Total suspended time until now, ms. */
  get ms(): number {
    return this.beforeMs + Math.max(0, Math.min(this.base.now(), this.untilAt) - this.from);
  }

  /** Suspends the VM from now on. */
  suspend(ms: number): void {
    this.beforeMs = this.ms;
    this.from = this.base.now();
    this.untilAt = this.from + ms;
  }

  /** Resumes the VM early. */
  wake(): void {
    this.untilAt = Math.min(this.untilAt, this.base.now());
  }
}
