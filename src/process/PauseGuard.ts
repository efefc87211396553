/** Detects pauses of the process, so that pending input is read before decisions are made on stale state. */

/** Gap between two updates above which the process was paused, ms. */
const MIN_PAUSE_MS = 250;
/** Turns of the event loop in which pending input is read after a pause. */
const CATCH_UP_TURNS = 3;

/**
 * Detects pauses from the time between updates; `update` must be called at least every `MIN_PAUSE_MS` / 2.
 */
export class PauseGuard {
  private lastAt: number;
  private turnsLeft = 0;

  constructor(
    now: number,
    private readonly handlePause: (gapMs: number) => void,
  ) {
    this.lastAt = now;
  }

  /** Whether pending input is still being read, so that decisions must wait. */
  get isCatchingUp(): boolean {
    return this.turnsLeft > 0;
  }

  /** Checks for a pause at the start of a turn. */
  update(now: number): void {
    const gapMs = now - this.lastAt;
    this.lastAt = now;
    if (gapMs <= MIN_PAUSE_MS) return;
    this.handlePause(gapMs);
    if (this.turnsLeft === 0) setImmediate(() => this.endTurn());
    this.turnsLeft = CATCH_UP_TURNS;
  }

  private endTurn(): void {
    this.turnsLeft -= 1;
    if (this.turnsLeft > 0) setImmediate(() => this.endTurn());
  }
}
