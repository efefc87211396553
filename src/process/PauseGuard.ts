/**
 * Detects pauses of the process, so that pending input is read before decisions are made on stale state, and
 * tells how old input may be that is handled now.
 */

/** Gap between two updates above which the process was paused, ms. */
const MIN_PAUSE_MS = 250;
/** Turns of the event loop in which pending input is read after a pause. */
const CATCH_UP_TURNS = 3;
/** Turns of the event loop from the reading of a connection until its end is handled, if it has ended, at most. */
const HANDLING_TURNS = 6;
/** Time after a pause for which requests may be read whose callers have left meanwhile, ms. */
const STALE_INPUT_MS = 2_000;

/**
 * Detects pauses from the time between updates; `update` must be called at least every `MIN_PAUSE_MS` / 2.
 */
export class PauseGuard {
  private lastAt: number;
  private turnsLeft = 0;
  /** Times of the last updates before each of the latest turns, oldest first. */
  private readonly turnMarks: number[] = [];
  private isTurnOpen = false;
  /** When the latest pause was noticed. */
  private pausedAt = -Infinity;

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

  /**
   * Finds how long ago input may have arrived that is handled now, ms.
   *
   * @param now - monotonic time, ms
   */
  findInputLag(now: number): number {
    return now - (this.turnMarks[0] ?? this.lastAt);
  }

  /**
   * Finds the number of turns to wait before a request that has just been read is handled: after a pause its
   * caller may have left, which is read later than the request.
   *
   * @param now - monotonic time, ms
   */
  findStaleTurns(now: number): number {
    return now - this.pausedAt < STALE_INPUT_MS ? HANDLING_TURNS : 0;
  }

  /** Checks for a pause at the start of a turn. */
  update(now: number): void {
    this.recordTurn();
    const gapMs = now - this.lastAt;
    this.lastAt = now;
    if (gapMs <= MIN_PAUSE_MS) return;
    this.pausedAt = now;
    this.handlePause(gapMs);
    if (this.turnsLeft === 0) setImmediate(() => this.endTurn());
    this.turnsLeft = CATCH_UP_TURNS;
  }

  private recordTurn(): void {
    if (this.isTurnOpen) return;
    this.isTurnOpen = true;
    this.turnMarks.push(this.lastAt);
    if (this.turnMarks.length > HANDLING_TURNS) this.turnMarks.shift();
    setImmediate(() => (this.isTurnOpen = false));
  }

  private endTurn(): void {
    this.turnsLeft -= 1;
    if (this.turnsLeft > 0) setImmediate(() => this.endTurn());
  }
}
