/** Judges from answers and their absence whether an upstream answers, and how long to wait for it. */
import { AnswerTimeout } from '../../connection/AnswerTimeout.js';

/**
 * How long an answer is waited for, ms: the agent's own loop is no faster than the least, and a lease has room for no
 * more than the longest, which is also waited for before the first answer.
 */
const ANSWER_BOUNDS = { minMs: 30, maxMs: 120, firstMs: 120 };
/** Calls in a row without an answer from which on the upstream is in doubt. */
const SILENCES_OF_DOUBT = 2;
/** How long after a call without an answer more of them are expected, ms. */
const LOSSY_MS = 1_000;

/** Watches the calls to one upstream. */
export class AnswerWatch {
  private readonly timeout = new AnswerTimeout(ANSWER_BOUNDS);
  /** Calls without an answer that were sent after the newest answer came. */
  private silences = 0;
  /** When a call was last given up. */
  private silentAt = -Infinity;
  private answeredAt: number;

  /** @param now - when the upstream was found */
  constructor(now: number) {
    this.answeredAt = now;
  }

  /** Whether the upstream answers: false from the second call in a row without an answer until the next answer. */
  get isAnswering(): boolean {
    return this.silences < SILENCES_OF_DOUBT;
  }

  /** Time to wait for an answer, ms. */
  get timeoutMs(): number {
    return this.timeout.compute();
  }

  /** Whether answers were lost of late. */
  isLossy(now: number): boolean {
    return now - this.silentAt < LOSSY_MS;
  }

  /** Notes an answer; `tookMs` where the upstream was asked to answer at once. */
  noteAnswer(now: number, tookMs?: number): void {
    this.answeredAt = now;
    this.silences = 0;
    if (tookMs !== undefined) this.timeout.recordAnswer(tookMs);
  }

  /** Notes that no answer came in time; it counts only if the upstream has answered nothing else since. */
  noteUnanswered(sentAt: number, now: number): void {
    this.silentAt = now;
    if (this.answeredAt > sentAt) return;
    this.timeout.recordTimeout();
    this.silences += 1;
  }
}
