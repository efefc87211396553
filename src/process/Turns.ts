/** The loop of a process: inputs are taken as they come, and their effects carried out once a turn. */
import { readClock } from '../_lib/readClock.js';

/** Between two ticks, ms. */
const TICK_MS = 50;

/** What a loop needs of its process. */
export interface TurnHandlers {
  /** Does what time brings. */
  readonly tick: (now: number) => void;
  /** Carries out the effects of the turn. */
  readonly end: (now: number) => void;
  /** The process did not run for longer than the bound. */
  readonly pause: (gapMs: number) => void;
  /** Something threw that must not; the process cannot go on. */
  readonly fail: (error: unknown) => void;
}

/** Runs the turns of one process on its one thread. */
export class Turns {
  private scheduled = false;
  private lastAt = readClock();
  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly handlers: TurnHandlers,
    private readonly pauseBoundMs: number,
  ) {}

  /** Starts the ticks. */
  start(): void {
    this.timer = setInterval(() => this.run((now) => this.handlers.tick(now)), TICK_MS);
  }

  /** Ends the ticks. */
  stop(): void {
    clearInterval(this.timer);
  }

  /** Takes one input: checks for a pause, handles it, and ends the turn once the inputs at hand are taken. */
  run(input: (now: number) => void): void {
    try {
      const now = readClock();
      if (now - this.lastAt > this.pauseBoundMs) this.handlers.pause(now - this.lastAt);
      this.lastAt = now;
      input(now);
    } catch (error) {
      return this.handlers.fail(error);
    }
    if (this.scheduled) return;
    this.scheduled = true;
    setImmediate(() => this.endTurn());
  }

  private endTurn(): void {
    this.scheduled = false;
    try {
      this.handlers.end(readClock());
    } catch (error) {
      this.handlers.fail(error);
    }
  }
}
