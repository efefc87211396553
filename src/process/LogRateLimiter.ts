/** Limits how many log lines of one kind are written each second, and counts the skipped ones. */

const SECOND_MS = 1_000;

/** Rate limiter for one kind of log line. */
export class LogRateLimiter {
  private windowAt = 0;
  private used = 0;
  private skipped = 0;

  /** @param perSecond - most lines written each second */
  constructor(private readonly perSecond: number) {}

  /**
   * Requests permission to write one line.
   *
   * @returns whether to write it, and how many lines were skipped since the last one written
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
