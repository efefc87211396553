/** Port: how upstreams report to the executor on their VM. */
import type { Resources } from '../request/dispatch/submission.js';
import type { UpstreamApi } from './UpstreamApi.js';

/** Heartbeat of an upstream. */
export interface UpstreamReport {
  /** Id of the upstream, which a later incarnation may share. */
  readonly id: string;
  /** Start of this incarnation, Unix ms; undefined when every incarnation has its own id. */
  readonly bornAt: number | undefined;
  readonly service: string;
  /** `host:port` that accepts orders. */
  readonly address: string;
  readonly capacity: Resources;
  readonly labels: readonly string[];
  readonly isDraining: boolean;
  /** The upstream's clock when the report was sent, ms. */
  readonly clockMs: number;
  /** Rises with each report of an incarnation, so that reports out of order are detected. */
  readonly sequence: number;
}

/** Receives reports and deregistrations. */
export interface UpstreamListener {
  report(report: UpstreamReport): void;
  /** @param bornAt - start of the incarnation that deregisters, Unix ms; undefined when not given */
  leave(upstreamId: string, bornAt: number | undefined): void;
  /** Records an invalid report. */
  recordRejected(call: string, reason: string): void;
  /** Records a call that failed unexpectedly and was answered with an error. */
  recordFailure(call: string, error: unknown): void;
}

/** Receives the reports of upstreams. */
export abstract class UpstreamRegistry {
  abstract start(listener: UpstreamListener): Promise<void>;
  /** Creates a client of an upstream that has reported. */
  abstract openApi(report: UpstreamReport): UpstreamApi;
  abstract stop(): Promise<void>;
}
