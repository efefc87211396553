/** Reads the platform's log for as long as the process lives. */
import { setTimeout as sleep } from 'node:timers/promises';

import type { PlatformClient } from '../connection/PlatformClient.js';
import type { LogEntry } from '../version/logRecord.js';

/** How long the platform may hold an empty read, ms; well under the lease, which a read renews. */
export const LEASED_POLL_MS = 1_000;
/** The same for a process that holds no lease: it only keeps the configuration for its peers. */
export const IDLE_POLL_MS = 10_000;
/** Wait after a failed read, ms. */
const RETRY_MS = 250;

/** What a follower needs of its process. */
export interface LogReader {
  /** Next offset wanted. */
  readonly nextOffset: () => number;
  /** Records of one read, possibly none; `sentAt` is when the read was sent. */
  readonly apply: (entries: readonly LogEntry[], sentAt: number) => void;
  readonly now: () => number;
  /** How long the platform may hold an empty read, ms. */
  readonly pollMs: number;
}

/** Long-polls the log. */
export class LogFollower {
  private stopped = false;

  constructor(
    private readonly platform: PlatformClient,
    private readonly reader: LogReader,
  ) {}

  /** Reads until `stop`. */
  async run(): Promise<void> {
    while (!this.stopped) {
      try {
        const sentAt = this.reader.now();
        const entries = await this.platform.readLog(this.reader.nextOffset(), this.reader.pollMs);
        if (!this.stopped) this.reader.apply(entries, sentAt);
      } catch {
        await sleep(RETRY_MS);
      }
    }
  }

  /** Ends after the read in progress. */
  stop(): void {
    this.stopped = true;
  }
}
