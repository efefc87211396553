/** The loop of a process: inputs are taken as they come, and their effects carried out once a turn. */
import { readClock } from '../_lib/readClock.js';

/** Between two ticks while there is work, ms. */
const BUSY_TICK_MS = 50;
/** Between two ticks while there is none, ms: waking up is most of what an idle process costs. */
const IDLE_TICK_MS = 250;

/** What a loop needs of its process. */
export interface TurnHandlers {
  /** Does what time brings. */
  readonly tick: (now: number) => void;
  /** Whether something waits for time to pass. */
  readonly isBusy: () => boolean;
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
  private stopped = false;
  private lastAt = readClock();
  private timer: NodeJS.Timeout | undefined;
  private tickMs = 0;

  constructor(
    private readonly handlers: TurnHandlers,
    private readonly pauseBoundMs: number,
  ) {}

  /** Starts the ticks. */
  start(): void {
    this.pace(IDLE_TICK_MS);
  }

  /** Ends the ticks. */
  stop(): void {
    this.stopped = true;
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
    this.pace(this.handlers.isBusy() ? BUSY_TICK_MS : IDLE_TICK_MS);
    if (this.scheduled) return;
    this.scheduled = true;
    setImmediate(() => this.endTurn());
  }

  private pace(tickMs: number): void {
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
