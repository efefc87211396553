/**
 * How long to wait for an answer, from how long answers took: the smoothed time plus four times its deviation, doubled
 * while none comes, as TCP computes its retransmission time-out (RFC 6298).
 */

/** Bounds of the time-out, ms: the agent's own loop is no faster, and a lease has room for no more. */
const MIN_TIMEOUT_MS = 30;
const MAX_TIMEOUT_MS = 120;
/** Weight of the newest answer in the smoothed time, and in its deviation. */
const TIME_WEIGHT = 1 / 8;
const DEVIATION_WEIGHT = 1 / 4;
/** Deviations that are added to the smoothed time. */
const DEVIATIONS = 4;

/** Time-out of calls to one upstream. */
export class AnswerTimeout {
  private smoothedMs: number | undefined;
  private deviationMs = 0;
  private backoff = 1;

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
    if (this.read() < MAX_TIMEOUT_MS) this.backoff *= 2;
  }

  /** Time to wait for the next answer, ms; the longest while none has come yet. */
  read(): number {
    if (this.smoothedMs === undefined) return MAX_TIMEOUT_MS;
    const timeoutMs = (this.smoothedMs + DEVIATIONS * this.deviationMs) * this.backoff;
    return Math.min(MAX_TIMEOUT_MS, Math.max(MIN_TIMEOUT_MS * this.backoff, timeoutMs));
  }
}
