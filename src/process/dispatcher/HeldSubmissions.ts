/**
 * Submissions that have been read and are not handed to the dispatcher yet: after a pause their callers may have left,
 * and what tells so is read later. They are handed over in the order in which they were read.
 */
import type { Caller } from '../../ports/CallerGateway.js';
import type { JobOutcome, JobSubmission } from '../../request/dispatch/submission.js';

/** A submission that has been read. */
export interface ReadSubmission {
  readonly submission: JobSubmission;
  readonly caller: Caller;
  /** When it was read, monotonic ms. */
  readonly readAt: number;
}

interface HeldSubmission extends ReadSubmission {
  /** Turns of the event loop for which it is still held. */
  turns: number;
}

/** Submissions held by one dispatcher. */
export class HeldSubmissions {
  private readonly held = new Map<Caller, HeldSubmission>();
  private isTurnScheduled = false;

  /**
   * @param canSubmit - whether pending input has been read
   * @param submit - hands a submission to the dispatcher
   */
  constructor(
    private readonly canSubmit: () => boolean,
    private readonly submit: (read: ReadSubmission) => void,
  ) {}

  get size(): number {
    return this.held.size;
  }

  /** Adds a submission, and hands it over at once if neither it nor an earlier one is to be held. */
  add(read: ReadSubmission, turns: number): void {
    this.held.set(read.caller, { ...read, turns });
    this.submitDue();
  }

  /** Whether a submission of a job is held. */
  has(jobId: string): boolean {
    return this.find(jobId) !== undefined;
  }

  /** Counts the held submissions of a queue. */
  countPending(routeName: string): number {
    let count = 0;
    for (const { submission } of this.held.values()) if (submission.route.name === routeName) count += 1;
    return count;
  }

  /** Answers and drops the submissions of a job; returns false if there are none. */
  end(jobId: string, outcome: JobOutcome): boolean {
    let wasHeld = false;
    for (let one = this.find(jobId); one; one = this.find(jobId)) {
      this.held.delete(one.caller);
      one.caller.answer(outcome);
      wasHeld = true;
    }
    return wasHeld;
  }

  /** Answers and drops all. */
  endAll(outcome: JobOutcome): void {
    for (const caller of [...this.held.keys()]) {
      this.held.delete(caller);
      caller.answer(outcome);
    }
  }

  /** Holds all for at least the given number of turns, as the process was paused again. */
  applyPause(turns: number): void {
    for (const one of this.held.values()) one.turns = Math.max(one.turns, turns);
  }

  /** Drops the submission of a caller that has left; returns false if it is not held. */
  abandon(caller: Caller): boolean {
    return this.held.delete(caller);
  }

  private find(jobId: string): HeldSubmission | undefined {
    for (const one of this.held.values()) if (one.submission.id === jobId) return one;
    return undefined;
  }

  private submitDue(): void {
    for (const one of this.held.values()) {
      if (one.turns > 0 || !this.canSubmit()) break;
      this.held.delete(one.caller);
      this.submit(one);
    }
    this.scheduleTurn();
  }

  private scheduleTurn(): void {
    if (this.isTurnScheduled || this.held.size === 0) return;
    this.isTurnScheduled = true;
    setImmediate(() => {
      this.isTurnScheduled = false;
      for (const one of this.held.values()) one.turns -= 1;
      this.submitDue();
    });
  }
}
