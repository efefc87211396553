/** Follows the platform's log by long polling. */
import { setTimeout as sleep } from 'node:timers/promises';

import type { PlatformClient } from '../connection/PlatformClient.js';
import type { LogEntry } from '../version/logRecord.js';

/** Long-poll timeout of a process that holds a lease, ms; well below the lease, which each read renews. */
export const LEASED_POLL_MS = 1_000;
/** Long-poll timeout of a process without a lease, which only stores the configuration for its peers, ms. */
export const IDLE_POLL_MS = 10_000;
/** Delay after a failed read, ms. */
const RETRY_MS = 250;

/** Callbacks and options of a follower. */
export interface LogReader {
  /** Returns the next offset to read. */
  readonly nextOffset: () => number;
  /** Applies the entries of one read, possibly none; `sentAt` is when the read was sent. */
  readonly apply: (entries: readonly LogEntry[], sentAt: number) => void;
  readonly now: () => number;
  /** Long-poll timeout, ms. */
  readonly pollMs: number;
}

/** Reads the log until it is stopped. */
export class LogFollower {
  private stopped = false;

  constructor(
    private readonly platform: PlatformClient,
    private readonly reader: LogReader,
  ) {}

  /** Reads the log until `stop` is called; retries failed reads. */
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

  /** Stops after the read in progress. */
  stop(): void {
    this.stopped = true;
  }
}
