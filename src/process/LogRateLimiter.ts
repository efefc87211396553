/** Bounds how many lines of one kind are written each second; what is left out is counted. */

const SECOND_MS = 1_000;

/** Budget of one kind of line. */
export class LogRateLimiter {
  private windowAt = 0;
  private used = 0;
  private skipped = 0;

  /** @param perSecond - lines that are written each second */
  constructor(private readonly perSecond: number) {}

  /**
   * Asks for one line.
   *
   * @returns whether to write it, and how many were left out since the last one that was
   */
  take(now: number): { readonly write: boolean; readonly skipped: number } {
    if (now - this.windowAt >= SECOND_MS) {
      this.windowAt = now;
      this.used = 0;
    }
    if (this.used >= this.perSecond) {
      this.skipped += 1;
      return { write: false, skipped: 0 };
    }
    this.used += 1;
    const { skipped } = this;
    this.skipped = 0;
    return { write: true, skipped };
  }
}
