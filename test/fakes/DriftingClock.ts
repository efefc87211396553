/** Clock of an upstream that runs at another rate than the local one. */

/** Reading at local time 0, ms. */
const FIRST_CLOCK_MS = 500_000;

/** Clock that advances by `rate` per local time. */
export class DriftingClock {
  /**
   * @param rate - progress per local time
   * @param readLocal - reads the local time, ms
   */
  constructor(
    private readonly rate: number,
    private readonly readLocal: () => number,
  ) {}

  /** Reads it as of some time ago, in whole ms. */
  read(agoMs = 0): number {
    return Math.floor(FIRST_CLOCK_MS + (this.readLocal() - agoMs) * this.rate);
  }

  /** Finds the local time of a reading. */
  findLocalTime(clockMs: number): number {
    return (clockMs - FIRST_CLOCK_MS) / this.rate;
  }
}
