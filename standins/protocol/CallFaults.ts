/** Faults of the calls that reach a runner: lost, carried out late, or carried out without an answer. */

/** Kinds of calls to a runner. */
export type CallKind = 'start' | 'stop' | 'hold';

/**
 * Outcome of a call that gets no answer: `lost` ones are not carried out, `late` ones some time later, with the
 * token and run that they named, and `unanswered` ones at once.
 */
export type CallOutcome = 'lost' | 'late' | 'unanswered';

/** Fault of some of the calls to a runner. */
export interface CallFault {
  readonly kinds: readonly CallKind[];
  readonly outcome: CallOutcome;
  /** Fraction of the calls to which it applies. */
  readonly share: number;
  /** Whether the connection stays open without an answer; otherwise it is reset. */
  readonly staysOpen: boolean;
  /** Range of the delays of late calls, ms. */
  readonly shortestMs: number;
  readonly longestMs: number;
}

/** Every call of the given kinds is lost, and its connection reset. */
export function createLoss(kinds: readonly CallKind[]): CallFault {
  return { kinds, outcome: 'lost', share: 1, staysOpen: false, shortestMs: 0, longestMs: 0 };
}

/** Fault that applies to one call. */
export interface CallDisturbance {
  readonly outcome: CallOutcome;
  readonly staysOpen: boolean;
  readonly delayMs: number;
}

/** Faults of the calls to one runner. */
export class CallFaults {
  private readonly active = new Set<CallFault>();

  /** @param nextRandom - returns a number from 0 to 1 */
  constructor(private readonly nextRandom: () => number = Math.random) {}

  /** Applies a fault to the following calls. */
  add(fault: CallFault): void {
    this.active.add(fault);
  }

  /** Ends a fault; late calls remain late. */
  remove(fault: CallFault): void {
    this.active.delete(fault);
  }

  /** Ends all faults. */
  clear(): void {
    this.active.clear();
  }

  /** Chooses the fault of one call; undefined for none. */
  choose(kind: CallKind): CallDisturbance | undefined {
    for (const { kinds, outcome, share, staysOpen, shortestMs, longestMs } of this.active) {
      if (!kinds.includes(kind) || this.nextRandom() >= share) continue;
      const delayMs = outcome === 'late' ? shortestMs + (longestMs - shortestMs) * this.nextRandom() : 0;
      return { outcome, staysOpen, delayMs };
    }
    return undefined;
  }
}
