/**
 * Divides the event loop among connections with much input: each gets a piece at a time, in turn, and each turn of the
 * loop has a time for them, so that links, timers and other clients are not kept waiting.
 */

/** Time of a turn of the event loop for input, ms. */
const TURN_MS = 10;

/** Source of input that is delivered in pieces. */
export interface InputSource {
  /** Delivers the next piece; returns whether another one can follow at once. */
  deliverNext(): boolean;
}

/** Turns of the input of one process. */
export class InputTurns {
  private readonly waiting = new Set<InputSource>();
  private isScheduled = false;
  /** When the first input of this turn was handled; undefined before. */
  private turnAt: number | undefined;

  /** @param now - reads the monotonic clock, ms */
  constructor(private readonly now: () => number) {}

  /** Whether input that has just been read may be delivered in this turn. */
  take(): boolean {
    const now = this.now();
    if (this.turnAt === undefined) {
      this.turnAt = now;
      setImmediate(() => (this.turnAt = undefined));
    }
    return now - this.turnAt < TURN_MS;
  }

  /** Adds a source behind those that wait already. */
  add(source: InputSource): void {
    this.waiting.add(source);
    this.schedule();
  }

  /** Removes a source. */
  remove(source: InputSource): void {
    this.waiting.delete(source);
  }

  private schedule(): void {
    if (this.isScheduled || this.waiting.size === 0) return;
    this.isScheduled = true;
    setImmediate(() => this.run(this.now()));
  }

  /** Delivers a piece of the first source. The next one follows after the callbacks of this piece. */
  private run(startedAt: number): void {
    const [source] = this.waiting;
    if (source) {
      this.waiting.delete(source);
      if (source.deliverNext()) this.waiting.add(source);
    }
    process.nextTick(() => queueMicrotask(() => this.continue(startedAt)));
  }

  private continue(startedAt: number): void {
    if (this.waiting.size > 0 && this.now() - startedAt < TURN_MS) return this.run(startedAt);
    this.isScheduled = false;
    this.schedule();
  }
}
