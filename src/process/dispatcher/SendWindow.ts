/**
 * Limits the bytes of starts in flight from one dispatcher to its executors.
 *
 * This prevents a congestion collapse, a metastable failure: starts that wait for the link until they expire
 * are returned and sent again, so that the link stays full after the overload. Tasks beyond the window
 * stay in the backlog, where they can still be reordered, refused or sent elsewhere, and pongs, stops and
 * configurations do not wait behind starts.
 */

/**
 * Initial window, bytes; large enough not to limit a burst on a link of about 20 Mbit/s or more. A link of 2
 * Mbit/s needs a second for it, so that starts expire and the window is halved.
 */
const INITIAL_BYTES = 262_144;
/** Minimum window, bytes: a few starts of 1.5 KB, so that the state of the link is still observed. */
const MIN_BYTES = 6_144;
/** Maximum window, bytes: 0.2 s on a link of 200 Mbit/s. */
const MAX_BYTES = 5_000_000;
/**
 * Minimum interval between reviews of the window, ms. Executors ping about every 170 ms, so a dozen of them
 * report enough round-trip times in it.
 */
const REVIEW_MS = 100;
/**
 * Maximum number of delays kept until the next review; under load it covers the pongs of more than 300
 * executors. Reviews happen only when there is something to send, so an idle dispatcher would otherwise
 * accumulate delays and use old ones.
 */
const MAX_DELAYS = 256;
/** Time after a reduction before the next change, ms: about a ping interval, until pongs show the effect. */
const SETTLE_MS = 200;
/** Growth factor, per review, of a window that limits while the link is not congested. */
const GROWTH = 1.2;

/** A strategy to set the window. */
export abstract class SendWindow {
  /** Bytes that may be in flight. */
  abstract readonly bytes: number;
  /** Records that a start expired in transit. */
  abstract recordExpired(now: number): void;
  /** Records by how much a round-trip time exceeded the recent minimum, ms. */
  abstract recordDelay(delayMs: number): void;
  /**
   * Checks whether one more start may be sent.
   *
   * @param bytesInFlight - bytes of starts that executors have not acknowledged
   * @param now - monotonic time, ms
   */
  abstract canSend(bytesInFlight: number, now: number): boolean;
}

/** A window without a limit. */
export class UnboundedWindow extends SendWindow {
  override readonly bytes = Infinity;

  override recordExpired(): void {}

  override recordDelay(): void {}

  override canSend(): boolean {
    return true;
  }
}

/** Halves the window when starts expire, and grows it at each review while it limits. */
export class LossWindow extends SendWindow {
  private size = INITIAL_BYTES;
  private reviewedAt = -Infinity;
  private shrunkAt = -Infinity;
  private wasLimiting = false;

  override get bytes(): number {
    return this.size;
  }

  override recordExpired(now: number): void {
    this.shrink(LOSS_FACTOR, now);
  }

  override recordDelay(_delayMs: number): void {}

  override canSend(bytesInFlight: number, now: number): boolean {
    if (now - this.reviewedAt >= REVIEW_MS) {
      this.reviewedAt = now;
      this.review(now);
      this.wasLimiting = false;
    }
    const isBelowLimit = bytesInFlight < this.size;
    if (!isBelowLimit) this.wasLimiting = true;
    return isBelowLimit;
  }

  /** Adjusts the window, once per review interval. */
  protected review(now: number): void {
    if (this.wasLimiting && now - this.shrunkAt >= SETTLE_MS)
      this.size = Math.min(MAX_BYTES, this.size * GROWTH);
  }

  protected shrink(factor: number, now: number): void {
    if (now - this.shrunkAt < SETTLE_MS) return;
    this.shrunkAt = now;
    this.size = Math.max(MIN_BYTES, this.size * factor);
  }
}

/** Reduction factor when starts expire. */
const LOSS_FACTOR = 0.5;

/** Like `LossWindow`, but also shrinks when pongs are delayed, which is before any start expires. */
export class DelayWindow extends LossWindow {
  private delays: number[] = [];

  override recordDelay(delayMs: number): void {
    this.delays.push(delayMs);
    if (this.delays.length > MAX_DELAYS) this.delays.shift();
  }

  protected override review(now: number): void {
    const { delays } = this;
    this.delays = [];
    if (delays.length === 0) return;
    delays.sort((left, right) => left - right);
    const median = delays[Math.floor(delays.length / 2)] ?? 0;
    if (median > SHRINK_DELAY_MS) return this.shrink(DELAY_FACTOR, now);
    if (median < GROW_DELAY_MS) super.review(now);
  }
}

/**
 * Median delay of round trips above which the window shrinks, and below which it may grow, ms. A start is
 * valid for 2.4 ping intervals, about 420 ms.
 */
const SHRINK_DELAY_MS = 60;
const GROW_DELAY_MS = 30;
/** Reduction factor when pongs are delayed. */
const DELAY_FACTOR = 0.75;
