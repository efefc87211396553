/** Limits how many log lines of one kind are written each second, and counts the skipped ones. */
import type { LogFields } from './logger.js';

const SECOND_MS = 1_000;

/** Rate limiter for one kind of log line. */
export class LogRateLimiter {
  private windowAt = 0;
  private used = 0;
  private skipped = 0;

  /** @param perSecond - most lines written each second */
  constructor(private readonly perSecond: number) {}

  /**
   * Writes a line unless there have been too many, with the number of skipped ones.
   *
   * @param now - monotonic time, ms
   * @param fields - fields of the line
   * @param write - writes the line
   */
  writeLine(now: number, fields: LogFields, write: (fields: LogFields) => void): void {
    const { write: isAllowed, skipped } = this.take(now);
    if (isAllowed) write(skipped === 0 ? fields : { ...fields, skipped });
  }

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
