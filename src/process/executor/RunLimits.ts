/**
 * Limits the lease at one incarnation of an upstream to the time by which the first of its runs must be over.
 *
 * The lease is one for all runs there. A run whose dispatcher or caller has given it up may be started
 * elsewhere some time after the newest ping that the dispatcher acknowledged before. No lease lasts longer
 * than that while the end of the run is not certain: if its stop is not confirmed, all runs there end with it.
 */
import type { Clock } from '../../_lib/Clock.js';
import type { LocalTask } from './localTask.js';

/** The run that limits the lease. */
interface RunLimit {
  readonly task: LocalTask;
  /** Time from now on by which it must be over, ms; negative once that has passed. */
  readonly allowedMs: number;
}

/** Limits of the runs at one incarnation. */
export class RunLimits {
  /**
   * @param tasks - tasks that may run there
   * @param clock - clock of this process
   * @param findEndLimit - finds the monotonic time by which the runs of a dispatcher must be over, given the
   *   newest ping that it has acknowledged
   */
  constructor(
    private readonly tasks: ReadonlyMap<string, LocalTask>,
    private readonly clock: Clock,
    private readonly findEndLimit: (owner: string) => number,
  ) {}

  /** Finds the run that must be over first, of those that may go on; undefined if there is none. */
  private findFirst(): RunLimit | undefined {
    const now = this.clock.now();
    let first: RunLimit | undefined;
    for (const task of this.tasks.values()) {
      if (task.stopAcceptedAt !== undefined) continue;
      const allowedMs = (task.endBy ?? this.findEndLimit(task.owner)) - now;
      if (!first || allowedMs < first.allowedMs) first = { task, allowedMs };
    }
    return first;
  }

  /** Finds the time from now on after which no run may be active any more, ms. */
  findAllowance(): number {
    return this.findFirst()?.allowedMs ?? Infinity;
  }

  /** Describes the run that limits the lease, for the log. */
  describeFirst(): Readonly<Record<string, unknown>> {
    const first = this.findFirst();
    if (!first) return {};
    const { key, run, owner, phase, stopReason } = first.task;
    const allowedMs = Math.round(first.allowedMs);
    return { task: key, run, entryLife: owner, phase, reason: stopReason, allowedMs };
  }

  /** Fixes the time by which a run must be over: pings that its dispatcher acknowledges later do not count. */
  fix(task: LocalTask): void {
    task.endBy ??= this.findEndLimit(task.owner);
  }
}
