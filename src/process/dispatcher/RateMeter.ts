/** Part of the time constant that counts as observed at least: one amount by itself is no rate. */
const LEAST_OBSERVED = 0.05;

/** A rate that is averaged over time, newer amounts weighing more. */
export class RateMeter {
  private rate = 0;
  private at = 0;
  private begunAt: number | undefined;

  /** @param overMs - time constant of the average, ms */
  constructor(private readonly overMs: number) {}

  /** Counts an amount. */
  add(amount: number, now: number): void {
    this.begunAt ??= now;
    this.rate = this.rate * this.decay(now - this.at) + amount / this.overMs;
    this.at = now;
  }

  /** Amount per ms; over the time since the first amount while that is short. */
  read(now: number): number {
    if (this.begunAt === undefined) return 0;
    const observed = Math.max(1 - this.decay(now - this.begunAt), LEAST_OBSERVED);
    return (this.rate * this.decay(now - this.at)) / observed;
  }

  private decay(ms: number): number {
    return Math.exp(-ms / this.overMs);
  }
}
