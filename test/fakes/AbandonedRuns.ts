/** Finds runs of jobs that no caller has waited for during some time. */
import { performance } from 'node:perf_hooks';

import type { PlatformBench } from './PlatformBench.js';

const CHECK_INTERVAL_MS = 20;

interface JobCallers {
  waiting: number;
  /** When the last caller got its answer or left, monotonic ms. */
  leftAt: number;
}

/** Watches the runs of a test. */
export class AbandonedRuns {
  /** Descriptions of the runs found, one for each task and time that its callers left. */
  readonly found: string[] = [];
  private readonly callers = new Map<string, JobCallers>();
  private readonly reported = new Set<string>();
  private timer: NodeJS.Timeout | undefined;

  /**
   * @param bench - the processes
   * @param allowedMs - time after the end of a caller's connection by which all runs must be over, ms
   */
  constructor(
    private readonly bench: PlatformBench,
    private readonly allowedMs: number,
  ) {}

  /** Begins to watch. */
  start(): void {
    this.timer = setInterval(() => this.check(), CHECK_INTERVAL_MS);
  }

  /** Ends the watch. */
  stop(): void {
    clearInterval(this.timer);
  }

  /** Records that a caller of a job begins to wait. */
  enter(job: string): void {
    const callers = this.callers.get(job) ?? { waiting: 0, leftAt: 0 };
    this.callers.set(job, callers);
    callers.waiting += 1;
  }

  /** Records that a caller of a job has its answer or has left. */
  leave(job: string): void {
    const callers = this.callers.get(job);
    if (!callers) return;
    callers.waiting -= 1;
    callers.leftAt = performance.now();
  }

  private check(): void {
    // The leases are checked first, so that a delay of this process counts as none of theirs.
    for (const runner of this.bench.runners) runner.updateRuns();
    const now = performance.now();
    for (const [task, running] of this.bench.atWork) {
      const [job = ''] = task.split('.');
      const callers = this.callers.get(job);
      if (running === 0 || !callers || callers.waiting > 0 || now - callers.leftAt <= this.allowedMs)
        continue;
      const name = `${task} ${callers.leftAt}`;
      if (this.reported.has(name)) continue;
      this.reported.add(name);
      this.found.push(`${task} runs on without a caller after ${this.allowedMs} ms`);
    }
  }
}
