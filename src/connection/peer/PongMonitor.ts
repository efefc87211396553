/**
 * Detects dead connections from pings without a pong: packets of an established connection may be dropped
 * without a reset while new connections to the same peer work.
 */
import { AnswerTimeout } from '../AnswerTimeout.js';

/**
 * Shortest timeout of a pong, ms. It allows for a blocked event loop at a busy peer, since a needless
 * reconnect costs both sides a connection and the initial state that is sent on a new link.
 */
const MIN_PONG_TIMEOUT_MS = 80;
/**
 * Longest timeout of a pong, ms; it doubles with each consecutive connection without a pong, since the peer
 * is then slow or frozen, and each timeout costs a connection.
 */
const MAX_PONG_TIMEOUT_MS = 1_500;

/**
 * Longest wait for a pong when other received data extends it, ms. A reconnect would send all data in flight
 * again; the limit covers a connection on which only the outgoing direction is dead.
 */
const MAX_ARRIVAL_EXTENSION_MS = 1_500;

/** Monitors the successive connections to one peer. */
export class PongMonitor {
  private readonly timeout: AnswerTimeout;
  /** Time of the first ping after the last pong on the open connection; undefined when there is none. */
  private oldestPingAt: number | undefined;
  /** Time of the last data received on the open connection. */
  private lastArrivalAt = -Infinity;

  /** @param firstMs - timeout of the first pong, ms */
  constructor(firstMs: number) {
    this.timeout = new AnswerTimeout({ minMs: MIN_PONG_TIMEOUT_MS, maxMs: MAX_PONG_TIMEOUT_MS, firstMs });
  }

  /** Resets the state for a new connection; the timeout is kept. */
  handleOpened(): void {
    this.oldestPingAt = undefined;
    this.lastArrivalAt = -Infinity;
  }

  /** Records received data of any kind. */
  recordArrival(now: number): void {
    this.lastArrivalAt = now;
  }

  /** Records a sent ping. */
  recordPing(now: number): void {
    this.oldestPingAt ??= now;
  }

  /** Records a pong, `tookMs` after its ping. */
  recordPong(tookMs: number): void {
    this.oldestPingAt = undefined;
    // A pong delayed by a pause of either process is no sample of the round-trip time.
    if (tookMs <= MAX_PONG_TIMEOUT_MS) this.timeout.recordAnswer(tookMs);
  }

  /** Records that the connection was closed for a missing pong, and increases the timeout. */
  recordTimeout(): void {
    this.oldestPingAt = undefined;
    this.timeout.recordTimeout();
  }

  /** Restarts the wait after this process was paused, since a pong may be received but not read yet. */
  handlePause(now: number): void {
    if (this.oldestPingAt !== undefined) this.oldestPingAt = now;
  }

  /**
   * Whether the pong has timed out and either no other data arrived within the timeout or the longest wait
   * has passed.
   */
  isOverdue(now: number): boolean {
    if (this.oldestPingAt === undefined) return false;
    const waitMs = this.timeout.compute();
    const awaitedMs = now - this.oldestPingAt;
    if (awaitedMs > Math.max(waitMs, MAX_ARRIVAL_EXTENSION_MS)) return true;
    return awaitedMs > waitMs && now - this.lastArrivalAt > waitMs;
  }
}
