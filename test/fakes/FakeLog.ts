/** The platform's log in memory, with offsets, outages and retention. */
import type { LogEntry, LogRecord } from '../../src/version/logRecord.js';

/** Log that can be down or drop its oldest records. */
export class FakeLog {
  readonly entries: LogEntry[] = [];
  down = false;
  private next = 0;

  /** Appends unless the log is down. */
  append(record: LogRecord, at: number): void {
    if (this.down) return;
    this.entries.push({ offset: this.next, at, record });
    this.next += 1;
  }

  /** Reads from an offset; undefined while the log is down. */
  read(from: number): readonly LogEntry[] | undefined {
    if (this.down) return undefined;
    const found = this.entries.filter((entry) => entry.offset >= from);
    // The requested record has expired, so all remaining records are returned.
    return found[0] && found[0].offset > from ? this.entries : found;
  }

  /** Drops all but the newest records. */
  expire(keep: number): void {
    this.entries.splice(0, Math.max(0, this.entries.length - keep));
  }
}
