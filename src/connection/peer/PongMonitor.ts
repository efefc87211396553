/**
 * Judges from pings and their echoes whether a connection still carries anything: an open connection may go silent for
 * good, without a reset, while new ones to the same peer work.
 */
import { AnswerTimeout } from '../AnswerTimeout.js';

/**
 * Least time that an echo is waited for, ms: the loop of a busy peer may be held up for as long, and a connection that
 * is given up for nothing costs both sides a connection and the state that a new link is told.
 */
const MIN_ECHO_MS = 80;
/**
 * Longest time, ms. The wait doubles with each connection in a row on which no echo came, since the peer is slow or
 * frozen then: it costs one connection in this time.
 */
const MAX_ECHO_MS = 1_500;

/**
 * Longest time for which other bytes stand for an echo, ms: a connection that carries something is not dialed anew, as
 * all that is on its way would be sent again, but one of which only our direction is gone is.
 */
const MAX_ARRIVALS_MS = 1_500;

/** Watches the connections to one peer, one after another. */
export class PongMonitor {
  private readonly timeout: AnswerTimeout;
  /** When the oldest ping without an echo was sent on the open connection. */
  private awaitedSince: number | undefined;
  /** When anything came on it last. */
  private arrivedAt = -Infinity;

  /** @param firstMs - how long the first echo of all is waited for, ms */
  constructor(firstMs: number) {
    this.timeout = new AnswerTimeout({ minMs: MIN_ECHO_MS, maxMs: MAX_ECHO_MS, firstMs });
  }

  /** A connection was opened: nothing is awaited on it yet. */
  handleOpened(): void {
    this.awaitedSince = undefined;
    this.arrivedAt = -Infinity;
  }

  /** Bytes came, of an echo or of anything else. */
  recordArrival(now: number): void {
    this.arrivedAt = now;
  }

  /** A ping was sent. */
  recordPing(now: number): void {
    this.awaitedSince ??= now;
  }

  /** An echo came, `tookMs` after its ping. */
  recordPong(tookMs: number): void {
    this.awaitedSince = undefined;
    // One that spans a standstill tells nothing of how long echoes take.
    if (tookMs <= MAX_ECHO_MS) this.timeout.noteAnswer(tookMs);
  }

  /** The connection was given up. */
  recordTimeout(): void {
    this.awaitedSince = undefined;
    this.timeout.noteSilence();
  }

  /** This process stood still: an echo may wait to be read. */
  handlePause(now: number): void {
    if (this.awaitedSince !== undefined) this.awaitedSince = now;
  }

  /** Whether an echo should have come by now, and nothing else has. */
  isOverdue(now: number): boolean {
    if (this.awaitedSince === undefined) return false;
    const waitMs = this.timeout.read();
    const awaitedMs = now - this.awaitedSince;
    if (awaitedMs > Math.max(waitMs, MAX_ARRIVALS_MS)) return true;
    return awaitedMs > waitMs && now - this.arrivedAt > waitMs;
  }
}
