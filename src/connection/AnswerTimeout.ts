/**
 * Adaptive timeout: the smoothed response time plus four times its deviation, doubled with each timeout, as
 * TCP computes its retransmission timeout (RFC 6298).
 */

/** Weight of the newest response time in the smoothed time, and in its deviation. */
const SMOOTHING_WEIGHT = 1 / 8;
const DEVIATION_WEIGHT = 1 / 4;
/** Number of deviations added to the smoothed time. */
const DEVIATION_FACTOR = 4;

/** Bounds of a timeout, ms. */
export interface TimeoutBounds {
  readonly minMs: number;
  readonly maxMs: number;
  /** Timeout before the first answer. */
  readonly firstMs: number;
}

/** Timeout of requests to one peer. */
export class AnswerTimeout {
  private smoothedMs: number | undefined;
  private deviationMs = 0;
  private backoff = 1;

  constructor(private readonly bounds: TimeoutBounds) {}

  /** Records the response time of an answer and resets the backoff. */
  recordAnswer(tookMs: number): void {
    this.backoff = 1;
    if (this.smoothedMs === undefined) {
      this.smoothedMs = tookMs;
      this.deviationMs = tookMs / 2;
      return;
    }
    this.deviationMs += DEVIATION_WEIGHT * (Math.abs(tookMs - this.smoothedMs) - this.deviationMs);
    this.smoothedMs += SMOOTHING_WEIGHT * (tookMs - this.smoothedMs);
  }

  /** Records a timeout and doubles the next one, up to the maximum. */
  recordTimeout(): void {
    if (this.compute() < this.bounds.maxMs) this.backoff *= 2;
  }

  /** Returns the timeout of the next request, ms. */
  compute(): number {
    const { minMs, maxMs, firstMs } = this.bounds;
    if (this.smoothedMs === undefined) return Math.min(maxMs, firstMs * this.backoff);
    const timeoutMs = this.smoothedMs + DEVIATION_FACTOR * this.deviationMs;
    return Math.min(maxMs, Math.max(minMs, timeoutMs) * this.backoff);
  }
}
