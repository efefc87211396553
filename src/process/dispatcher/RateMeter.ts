/** Minimum observed fraction of the average, so that a single amount does not appear as a high rate. */
const MIN_OBSERVED_FRACTION = 0.05;

/** Exponentially weighted average of a rate. */
export class RateMeter {
  private rate = 0;
  private updatedAt = 0;
  private firstAt: number | undefined;

  /** @param timeConstantMs - time constant of the average, ms */
  constructor(private readonly timeConstantMs: number) {}

  /** Adds an amount. */
  add(amount: number, now: number): void {
    this.firstAt ??= now;
    this.rate = this.rate * this.computeDecay(now - this.updatedAt) + amount / this.timeConstantMs;
    this.updatedAt = now;
  }

  /** Reads the rate, per ms; initially averaged over the time since the first amount. */
  read(now: number): number {
    if (this.firstAt === undefined) return 0;
    const observedFraction = Math.max(1 - this.computeDecay(now - this.firstAt), MIN_OBSERVED_FRACTION);
    return (this.rate * this.computeDecay(now - this.updatedAt)) / observedFraction;
  }

  private computeDecay(ms: number): number {
    return Math.exp(-ms / this.timeConstantMs);
  }
}
