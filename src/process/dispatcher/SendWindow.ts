/**
 * Bounds the bytes of starts that are on their way from one dispatcher to its agents.
 *
 * The pattern it answers is a metastable failure, a congestion collapse: starts that wait for the link for longer than
 * they are good for come back as expired and are sent again, so that a full link stays full when the overload is over.
 * Past the window tasks stay in the backlog, where their order, their refusal and room that comes free elsewhere still
 * hold, and echoes, stops and configurations do not wait behind starts.
 */

/**
 * Window at first, bytes: a link of 2 Mbit/s carries it in a second, longer than starts are good for, and it is halved
 * within 0.2 s then; one of 17.5 Mbit/s and more carries it before agents tell what they have seen, so that it does not
 * bind in a burst. With 64 KB small twins of two days earned 0.03 less (one play each).
 */
const FIRST_BYTES = 262_144;
/** Smallest window, bytes: some starts of 1.5 KB, so that there is always a next sign of how the link fares. */
const MIN_BYTES = 6_144;
/** Largest window, bytes: a link of 200 Mbit/s carries it in 0.2 s. */
const MAX_BYTES = 5_000_000;
/** Between two reviews of what the echoes told, ms: agents ping each 173 ms, a dozen of them tell enough in this time. */
const REVIEW_MS = 100;
/**
 * Echoes that are kept until the next review, which comes only when there is something to send: more than 300 agents tell
 * in the time of one, so that none is left out under load, and an idle dispatcher neither collects them nor judges its link
 * by old ones.
 */
const MAX_DELAYS = 256;
/** After it was made smaller the window stays for so long, ms: a ping interval, until the next echoes can tell of it. */
const SETTLE_MS = 200;
/** Growth of a window that binds while the link keeps up, in one review. */
const GROWTH = 1.2;

/** A window, by what it learns from. */
export abstract class SendWindow {
  /** Bytes that may be on their way. */
  abstract readonly bytes: number;
  /** Starts have expired on their way. */
  abstract noteExpired(now: number): void;
  /** An agent has told by how much its newest echo took longer than its fastest ones, ms. */
  abstract noteDelay(delayMs: number): void;
  /**
   * Tells whether one more start may be sent.
   *
   * @param onTheWay - bytes of starts that agents have not said to have seen
   * @param now - monotonic time, ms
   */
  abstract hasRoom(onTheWay: number, now: number): boolean;
}

/** No bound. */
export class OpenWindow extends SendWindow {
  override readonly bytes = Infinity;

  override noteExpired(): void {}

  override noteDelay(): void {}

  override hasRoom(): boolean {
    return true;
  }
}

/** Halved when starts expire, and a fifth larger with each review in which it has bound and none did. */
export class LossWindow extends SendWindow {
  private size = FIRST_BYTES;
  private reviewedAt = -Infinity;
  private shrunkAt = -Infinity;
  private hasBound = false;

  override get bytes(): number {
    return this.size;
  }

  override noteExpired(now: number): void {
    this.shrink(LOSS_FACTOR, now);
  }

  override noteDelay(_delayMs: number): void {}

  override hasRoom(onTheWay: number, now: number): boolean {
    if (now - this.reviewedAt >= REVIEW_MS) {
      this.reviewedAt = now;
      this.review(now);
      this.hasBound = false;
    }
    const hasRoom = onTheWay < this.size;
    if (!hasRoom) this.hasBound = true;
    return hasRoom;
  }

  /** Does what a review brings. */
  protected review(now: number): void {
    if (this.hasBound && now - this.shrunkAt >= SETTLE_MS)
      this.size = Math.min(MAX_BYTES, this.size * GROWTH);
  }

  protected shrink(factor: number, now: number): void {
    if (now - this.shrunkAt < SETTLE_MS) return;
    this.shrunkAt = now;
    this.size = Math.max(MIN_BYTES, this.size * factor);
  }
}

/** What is left of the window when starts expire. */
const LOSS_FACTOR = 0.5;

/** As `LossWindow`, and smaller as soon as echoes wait behind starts, which is before any start expires. */
export class DelayWindow extends LossWindow {
  private delays: number[] = [];

  override noteDelay(delayMs: number): void {
    this.delays.push(delayMs);
    if (this.delays.length > MAX_DELAYS) this.delays.shift();
  }

  protected override review(now: number): void {
    const { delays } = this;
    this.delays = [];
    if (delays.length === 0) return;
    delays.sort((left, right) => left - right);
    const median = delays[Math.floor(delays.length / 2)] ?? 0;
    if (median > LATE_MS) return this.shrink(DELAY_FACTOR, now);
    if (median < EARLY_MS) super.review(now);
  }
}

/**
 * Time that echoes wait on the link, ms, from which on the window is made smaller, and below which it may grow: a start
 * is good for 2.4 pings (416 ms), and one that waits for 60 ms has lost as much as a quote may take beyond its work.
 */
const LATE_MS = 60;
const EARLY_MS = 30;
/** What is left of the window then. */
const DELAY_FACTOR = 0.75;
