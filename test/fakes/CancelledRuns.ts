/** Finds tasks of cancelled jobs that are started or run when the rule on cancelled jobs forbids it. */
import { performance } from 'node:perf_hooks';

import type { PlatformBench } from './PlatformBench.js';

const CHECK_INTERVAL_MS = 20;
/** Time after the answer to a cancelling from which no task of the job may start, ms. */
const CANCEL_MS = 3_000;
/** Time that an upstream needs to stop a task, and to list that, ms. */
const STOP_MS = 50 + 100;
/** Time without a fault after which a process is bound by that, ms. */
const CONTACT_MS = 3_000;

/** Watches the runs of a test. */
export class CancelledRuns {
  /** Descriptions of the tasks found, once each. */
  readonly found: string[] = [];
  /** When the cancelling of each job was answered, monotonic ms. */
  private readonly answeredAt = new Map<string, number>();
  private calmSince = Infinity;
  private readonly reported = new Set<string>();
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly bench: PlatformBench) {}

  /** Number of cancelled jobs. */
  get size(): number {
    return this.answeredAt.size;
  }

  /** Begins to watch. */
  start(): void {
    this.timer = setInterval(() => this.check(), CHECK_INTERVAL_MS);
  }

  /** Ends the watch. */
  stop(): void {
    clearInterval(this.timer);
  }

  /** Records that the cancelling of a job has been answered. */
  record(job: string): void {
    this.answeredAt.set(job, performance.now());
  }

  /** Records that no fault is left. */
  setCalm(): void {
    this.calmSince = performance.now();
  }

  private check(): void {
    for (const runner of this.bench.runners) runner.updateRuns();
    const now = performance.now();
    for (const [task, startedAt] of this.bench.lastStartAt) {
      const [job = ''] = task.split('.');
      const answeredAt = this.answeredAt.get(job);
      if (answeredAt === undefined) continue;
      const boundAt = Math.max(answeredAt + CANCEL_MS, this.calmSince + CONTACT_MS);
      if (startedAt > boundAt) this.add(`${task} was started ${Math.round(startedAt - answeredAt)} ms after`);
      else if (now > boundAt + STOP_MS && (this.bench.atWork.get(task) ?? 0) > 0)
        this.add(`${task} runs on ${CANCEL_MS + STOP_MS} ms after`);
    }
  }

  private add(what: string): void {
    const [task = ''] = what.split(' ');
    if (this.reported.has(task)) return;
    this.reported.add(task);
    this.found.push(`${what} its job was cancelled`);
  }
}
