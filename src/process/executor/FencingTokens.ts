/** Fencing tokens for the calls of one process to upstreams. */
import type { Clock } from '../../_lib/Clock.js';

/**
 * Largest step above a refused token, ms: about a quarter of an hour; keeps tokens within the safe integers.
 */
const MAX_STEP_MS = 2 ** 20;

/**
 * Issues increasing tokens, across all sessions of this process and across earlier processes on this VM, as
 * each token is at least the time of day in ms. The clock of an upstream is not suitable, as it restarts with
 * each incarnation: a token from the clock of an earlier incarnation may have reached the next one, which
 * would then refuse its own session.
 */
export class FencingTokens {
  private last = 0;
  private step = 1;
  private readonly offsetMs: number;

  /**
   * @param unixMs - current time of day, Unix ms; advanced by the steady clock, so that it never decreases
   * @param clock - clock of this process
   */
  constructor(
    unixMs: number,
    private readonly clock: Clock,
  ) {
    this.offsetMs = unixMs - clock.readSteady();
  }

  /** Issues a token above all tokens issued before. */
  take(): number {
    this.step = 1;
    return this.issue(this.last + 1);
  }

  /**
   * Issues a token to replace a refused one. As the time of day may have been set back since an earlier
   * process issued its tokens, the step doubles with each consecutive call: 23 calls compensate for an hour.
   *
   * @param refused - token that an upstream has refused
   */
  takeAbove(refused: number): number {
    const token = this.issue(Math.max(this.last, refused) + this.step);
    this.step = Math.min(MAX_STEP_MS, this.step * 2);
    return token;
  }

  private issue(minimum: number): number {
    this.last = Math.max(minimum, Math.floor(this.offsetMs + this.clock.readSteady()));
    return this.last;
  }
}
