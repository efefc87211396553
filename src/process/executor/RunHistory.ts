/** Highest run number of each task at one incarnation of an upstream; a new run needs a higher one. */

/** Maximum number of tasks that are kept; the oldest are removed. */
const MAX_TASKS = 20_000;

/** Run numbers of the tasks at one incarnation. */
export class RunHistory {
  private readonly highest = new Map<string, number>();

  /** Records a run of a task. */
  record(key: string, run: number): void {
    this.highest.set(key, Math.max(run, this.highest.get(key) ?? 0));
    if (this.highest.size <= MAX_TASKS) return;
    const oldest = this.highest.keys().next().value;
    if (oldest !== undefined) this.highest.delete(oldest);
  }

  /** Issues the next run number of a task. */
  take(key: string): number {
    const run = (this.highest.get(key) ?? 0) + 1;
    this.record(key, run);
    return run;
  }
}
