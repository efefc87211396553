/**
 * Turn loop of a daemon: inputs are handled as they arrive, and their effects are carried out once per turn.
 */
import { readClock } from '../_lib/readClock.js';

/** Tick interval while there is work, ms. */
const BUSY_TICK_MS = 50;
/** Tick interval while idle, ms; longer, as wake-ups dominate the CPU time of an idle process. */
const IDLE_TICK_MS = 250;

/** Handlers of a turn loop. */
export interface TurnHandlers {
  /** Handles the passing of time. */
  readonly tick: (now: number) => void;
  /** Whether the short tick interval is needed. */
  readonly isBusy: () => boolean;
  /** Carries out the effects of a turn. */
  readonly end: (now: number) => void;
  /** Handles a pause of the process longer than the bound. */
  readonly pause: (gapMs: number) => void;
  /** Handles an exception from an input or another handler, which is fatal. */
  readonly fail: (error: unknown) => void;
}

/** Runs the turns of one process. */
export class TurnLoop {
  private scheduled = false;
  private stopped = false;
  private lastAt = readClock();
  private timer: NodeJS.Timeout | undefined;
  private tickMs = 0;

  constructor(
    private readonly handlers: TurnHandlers,
    private readonly pauseBoundMs: number,
  ) {}

  /** Starts ticking. */
  start(): void {
    this.setTickInterval(IDLE_TICK_MS);
  }

  /** Stops ticking. */
  stop(): void {
    this.stopped = true;
    clearInterval(this.timer);
  }

  /** Handles one input: checks for a pause first, and ends the turn once all pending inputs are handled. */
  run(input: (now: number) => void): void {
    try {
      const now = readClock();
      if (now - this.lastAt > this.pauseBoundMs) this.handlers.pause(now - this.lastAt);
      this.lastAt = now;
      input(now);
    } catch (error) {
      return this.handlers.fail(error);
    }
    this.setTickInterval(this.handlers.isBusy() ? BUSY_TICK_MS : IDLE_TICK_MS);
    if (this.scheduled) return;
    this.scheduled = true;
    setImmediate(() => this.endTurn());
  }

  private setTickInterval(tickMs: number): void {
    if (this.tickMs === tickMs || this.stopped) return;
    this.tickMs = tickMs;
    clearInterval(this.timer);
    this.timer = setInterval(() => this.run((now) => this.handlers.tick(now)), tickMs);
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
