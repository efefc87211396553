/** Fencing tokens that one process gives its calls to upstreams. */
import type { Clock } from '../../_lib/Clock.js';

/** Longest step above a token that was refused, ms: a quarter of an hour, so that sums stay exact for centuries. */
const MAX_STEP_MS = 2 ** 20;

/**
 * Takes tokens that rise: over all sessions of this process, and over the processes before it on this VM, as each token is
 * at least the time of day at which it is taken. The clock of an upstream would not do: it begins anew with each life, so
 * that a token taken from the next life's clock may be below one that was taken from the earlier life's and has reached
 * the next life since. That one would refuse all that its own session sends.
 */
export class FencingTokens {
  private last = 0;
  private step = 1;
  private readonly offsetMs: number;

  /**
   * @param unixMs - time of day now; later times follow from the steady clock, so that they never fall
   * @param clock - of this process
   */
  constructor(
    unixMs: number,
    private readonly clock: Clock,
  ) {
    this.offsetMs = unixMs - clock.readSteady();
  }

  /** Takes a token above all that were taken here. */
  take(): number {
    this.step = 1;
    return this.raiseTo(this.last + 1);
  }

  /**
   * Takes a token in the place of one that was refused. The time of day may have been set back since an earlier process
   * took its tokens: each try in a row goes twice as far, so that an hour is made up for in 23 of them.
   *
   * @param refused - the token that an upstream has refused
   */
  takeAbove(refused: number): number {
    const token = this.raiseTo(Math.max(this.last, refused) + this.step);
    this.step = Math.min(MAX_STEP_MS, this.step * 2);
    return token;
  }

  private raiseTo(least: number): number {
    this.last = Math.max(least, Math.floor(this.offsetMs + this.clock.readSteady()));
    return this.last;
  }
}
