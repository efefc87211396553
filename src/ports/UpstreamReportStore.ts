/** Port: where an agent finds, after a restart, the upstream that it had before, until that reports itself again. */
import type { UpstreamReport } from './UpstreamRegistry.js';

/** Keeps the newest report of each agent's upstream, as far as it can be reached. */
export abstract class UpstreamReportStore {
  /** Keeps a report. Rejects when that failed after several tries; a loss only makes the next start slower. */
  abstract save(agent: string, report: UpstreamReport): Promise<void>;
  /** Returns what was kept, or undefined if nothing was. Rejects soon when it cannot be read. */
  abstract load(agent: string): Promise<UpstreamReport | undefined>;
  abstract stop(): void;
}
