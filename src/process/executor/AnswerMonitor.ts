/** Tracks whether an upstream answers calls, and how long to wait for an answer. */
import { AnswerTimeout } from '../../connection/AnswerTimeout.js';

/**
 * Bounds of the answer timeout, ms: no shorter than delays of the local event loop, no longer than a lease
 * permits. The longest also applies before the first answer.
 */
const ANSWER_BOUNDS = { minMs: 30, maxMs: 120, firstMs: 120 };
/** Number of consecutive timeouts from which an upstream counts as unresponsive. */
const TIMEOUT_THRESHOLD = 2;
/** Time after a timeout in which more of them are expected, ms. */
const LOSSY_MS = 1_000;

/** Monitors the calls to one upstream. */
export class AnswerMonitor {
  private readonly timeout = new AnswerTimeout(ANSWER_BOUNDS);
  /** Timeouts of calls that were sent after the newest answer arrived. */
  private consecutiveTimeouts = 0;
  /** When a call last timed out. */
  private timedOutAt = -Infinity;
  private answeredAt: number;

  /** @param now - when the upstream was found */
  constructor(now: number) {
    this.answeredAt = now;
  }

  /** Whether the upstream answers: false from the second consecutive timeout until the next answer. */
  get isAnswering(): boolean {
    return this.consecutiveTimeouts < TIMEOUT_THRESHOLD;
  }

  /** Answer timeout, ms. */
  get timeoutMs(): number {
    return this.timeout.compute();
  }

  /** Whether a call has timed out recently. */
  isLossy(now: number): boolean {
    return now - this.timedOutAt < LOSSY_MS;
  }

  /** Records an answer; `tookMs` is given only if the upstream was to answer immediately. */
  recordAnswer(now: number, tookMs?: number): void {
    this.answeredAt = now;
    this.consecutiveTimeouts = 0;
    if (tookMs !== undefined) this.timeout.recordAnswer(tookMs);
  }

  /**
   * Records a timeout. It affects `isAnswering` and the answer timeout only if no other call was answered
   * since the call was sent.
   */
  recordTimeout(sentAt: number, now: number): void {
    this.timedOutAt = now;
    if (this.answeredAt > sentAt) return;
    this.timeout.recordTimeout();
    this.consecutiveTimeouts += 1;
  }
}
