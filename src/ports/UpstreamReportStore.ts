/**
 * Port: durable store of upstream reports, with which a restarted executor finds its upstream before its next
 * report.
 */
import type { UpstreamReport } from './UpstreamRegistry.js';

/** Stores the newest upstream report of each executor, on a best-effort basis. */
export abstract class UpstreamReportStore {
  /** Stores a report. Rejects without a retry when the call fails; the report may be stored late all the same. */
  abstract save(executorId: string, report: UpstreamReport): Promise<void>;
  /** Returns the stored report, if any. Rejects without a retry when it cannot be read. */
  abstract load(executorId: string): Promise<UpstreamReport | undefined>;
  abstract stop(): void;
}
