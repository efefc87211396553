/** Pauses between the attempts to link to a peer: exponential, while attempts fail or links close for the same reason. */

/** Bounds of the pause, before jitter, ms. */
const MIN_PAUSE_MS = 50;
const MAX_PAUSE_MS = 800;
/** Time after which an open link counts as sound, ms: several pings and pongs. */
const SOUND_MS = 5_000;
/** Number of links that may close early for one reason before pauses grow: a network fault may reset several. */
const FREE_CLOSES = 2;
/** Jitter of a pause, as factors of it. */
const MIN_JITTER = 0.75;
const JITTER_RANGE = 0.5;

/** Backoff of one peer. */
export class RedialBackoff {
  /** Half of the shortest pause before the first attempt has failed, as each failure doubles it. */
  private pauseMs = MIN_PAUSE_MS / 2;
  private openedAt = -Infinity;
  private closeReason = '';
  /** Number of links in a row that closed for that reason before they counted as sound. */
  private closes = 0;

  /** Records an attempt that failed. */
  recordFailed(): void {
    this.grow();
  }

  /** Records an opened link. */
  recordOpened(now: number): void {
    this.openedAt = now;
  }

  /**
   * Records that a link closed.
   *
   * @param reason - why; what follows a colon is a detail of it
   * @param now - monotonic time, ms
   */
  recordClosed(reason: string, now: number): void {
    const [kind = ''] = reason.split(':');
    const isSame = kind === this.closeReason && now - this.openedAt < SOUND_MS;
    this.closeReason = kind;
    this.closes = isSame ? this.closes + 1 : 1;
    if (this.closes > FREE_CLOSES) this.grow();
    else this.pauseMs = MIN_PAUSE_MS;
  }

  /**
   * Computes the pause before the next attempt, ms.
   *
   * @param random - random number from 0 to 1, for the jitter
   */
  computePauseMs(random: number): number {
    return this.pauseMs * (MIN_JITTER + JITTER_RANGE * random);
  }

  private grow(): void {
    this.pauseMs = Math.min(MAX_PAUSE_MS, this.pauseMs * 2);
  }
}
