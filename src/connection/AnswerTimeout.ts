/**
 * How long to wait for an answer, from how long answers took: the smoothed time plus four times its deviation, doubled
 * while none comes, as TCP computes its retransmission time-out (RFC 6298).
 */

/** Weight of the newest answer in the smoothed time, and in its deviation. */
const TIME_WEIGHT = 1 / 8;
const DEVIATION_WEIGHT = 1 / 4;
/** Deviations that are added to the smoothed time. */
const DEVIATIONS = 4;

/** Bounds of a time-out, ms. */
export interface TimeoutBounds {
  readonly minMs: number;
  readonly maxMs: number;
  /** Before the first answer. */
  readonly firstMs: number;
}

/** Time-out of what one peer is asked. */
export class AnswerTimeout {
  private smoothedMs: number | undefined;
  private deviationMs = 0;
  private backoff = 1;

  constructor(private readonly bounds: TimeoutBounds) {}

  /** Notes an answer. */
  noteAnswer(tookMs: number): void {
    this.backoff = 1;
    if (this.smoothedMs === undefined) {
      this.smoothedMs = tookMs;
      this.deviationMs = tookMs / 2;
      return;
    }
    this.deviationMs += DEVIATION_WEIGHT * (Math.abs(tookMs - this.smoothedMs) - this.deviationMs);
    this.smoothedMs += TIME_WEIGHT * (tookMs - this.smoothedMs);
  }

  /** Notes that no answer came in time: the next is waited for twice as long. */
  noteSilence(): void {
    if (this.read() < this.bounds.maxMs) this.backoff *= 2;
  }

  /** Time to wait for the next answer, ms. */
  read(): number {
    const { minMs, maxMs, firstMs } = this.bounds;
    if (this.smoothedMs === undefined) return Math.min(maxMs, firstMs * this.backoff);
    const timeoutMs = this.smoothedMs + DEVIATIONS * this.deviationMs;
    return Math.min(maxMs, Math.max(minMs, timeoutMs) * this.backoff);
  }
}
