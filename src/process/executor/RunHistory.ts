/** Highest run of each task that was seen at one life of an upstream: a new run must be above it. */

/** Tasks whose highest run is remembered. */
const MAX_TASKS = 20_000;

/** Runs of the tasks of one upstream. */
export class RunHistory {
  private readonly highest = new Map<string, number>();

  /** Notes a run of a task. */
  record(key: string, run: number): void {
    this.highest.set(key, Math.max(run, this.highest.get(key) ?? 0));
    if (this.highest.size <= MAX_TASKS) return;
    const oldest = this.highest.keys().next().value;
    if (oldest !== undefined) this.highest.delete(oldest);
  }

  /** Takes the next run of a task. */
  take(key: string): number {
    const run = (this.highest.get(key) ?? 0) + 1;
    this.record(key, run);
    return run;
  }
}
