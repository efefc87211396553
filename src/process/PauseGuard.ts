/**
 * Notices that a process has stood still, so that what it missed is read before anything is decided on what it
 * knew before.
 */

/** Gap between two looks from which on a process counts as having stood still, ms. */
const PAUSE_MS = 250;
/** Turns of the loop in which waiting input is read before decisions are made again. */
const CATCH_UP_TURNS = 3;

/** Watches the time between the turns of one process; `look` has to be called at least every `PAUSE_MS` / 2. */
export class PauseGuard {
  private lastAt: number;
  private turnsLeft = 0;

  constructor(
    now: number,
    private readonly notePause: (gapMs: number) => void,
  ) {
    this.lastAt = now;
  }

  /** Whether decisions have to wait. */
  get isCatchingUp(): boolean {
    return this.turnsLeft > 0;
  }

  /** Looks at the time at the head of a turn. */
  update(now: number): void {
    const gapMs = now - this.lastAt;
    this.lastAt = now;
    if (gapMs <= PAUSE_MS) return;
    this.notePause(gapMs);
    if (this.turnsLeft === 0) setImmediate(() => this.endTurn());
    this.turnsLeft = CATCH_UP_TURNS;
  }

  private endTurn(): void {
    this.turnsLeft -= 1;
    if (this.turnsLeft > 0) setImmediate(() => this.endTurn());
  }
}
