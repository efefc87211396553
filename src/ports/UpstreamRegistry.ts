/** Port: how upstreams report themselves to the agent beside them. */
import type { Resources } from '../request/dispatch/submission.js';
import type { UpstreamApi } from './UpstreamApi.js';

/** What an upstream says of itself. */
export interface UpstreamReport {
  /** Id of the upstream; a later life of it may have the same one. */
  readonly id: string;
  /** Unix ms at which this life began, which tells lives of one id apart; undefined where each life has its own id. */
  readonly bornAt: number | undefined;
  readonly service: string;
  /** `host:port` of its orders. */
  readonly address: string;
  readonly capacity: Resources;
  readonly labels: readonly string[];
  readonly isDraining: boolean;
  /** The upstream's clock when it was sent, ms. */
  readonly clockMs: number;
  /** Rises with each report of a life, so that a late one is known. */
  readonly sequence: number;
}

/** Takes reports. */
export interface UpstreamListener {
  report(report: UpstreamReport): void;
  /** @param bornAt - life that leaves; undefined where it does not say */
  leave(upstreamId: string, bornAt: number | undefined): void;
  /** A report could not be read. */
  recordRejected(call: string, reason: string): void;
  /** Taking a call has failed; it was answered with an error. */
  recordFailure(call: string, error: unknown): void;
}

/** Where upstreams report. */
export abstract class UpstreamRegistry {
  abstract start(listener: UpstreamListener): Promise<void>;
  /** Opens the way to an upstream that has reported. */
  abstract openApi(report: UpstreamReport): UpstreamApi;
  abstract stop(): Promise<void>;
}
