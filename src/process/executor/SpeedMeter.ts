/** Measures how fast an upstream works, against the callers' estimates, from the progress of its tasks. */

/** Time over which earlier observations fade, ms. */
const FADE_MS = 600;
/** Run time that must be observed before the figure counts, ms. */
const MIN_OBSERVED_MS = 40;
/** Time after which an idle upstream is taken for an ordinary one again, ms. */
const FORGET_MS = 3_000;

/** Speed of one upstream. */
export class SpeedMeter {
  private workMs = 0;
  private timeMs = 0;
  private updatedAt: number;
  private value = 1;

  constructor(now: number) {
    this.updatedAt = now;
  }

  /**
   * Notes that a task has made some progress.
   *
   * @param share - part of the task's work, 0 to 1
   * @param estimateMs - the caller's estimate of the whole task
   * @param elapsedMs - run time it took
   * @param now - monotonic time, ms
   */
  note(share: number, estimateMs: number, elapsedMs: number, now: number): void {
    this.fade(now);
    this.workMs += share * estimateMs;
    this.timeMs += elapsedMs;
    if (this.timeMs >= MIN_OBSERVED_MS) this.value = this.workMs / this.timeMs;
  }

  /** Work in ms of estimates done in one ms of run time. */
  read(now: number): number {
    const idleMs = now - this.updatedAt;
    if (idleMs <= FADE_MS) return this.value;
    const kept = Math.max(0, 1 - (idleMs - FADE_MS) / FORGET_MS);
    return 1 + (this.value - 1) * kept;
  }

  private fade(now: number): void {
    const factor = Math.exp(-(now - this.updatedAt) / FADE_MS);
    this.workMs *= factor;
    this.timeMs *= factor;
    this.updatedAt = now;
  }
}
