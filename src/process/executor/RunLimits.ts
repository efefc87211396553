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
  /** Number of runs there that this process has not ordered; undefined until a list shows it. */
  private unknown: number | undefined;
  /** Time from which on renewals list what calls of others have started. */
  private listedFrom = -Infinity;

  /**
   * @param tasks - tasks that may run there
   * @param clock - clock of this process
   * @param longestMs - longest time for which a lease that has been granted may go on, ms
   * @param findEndLimit - finds the monotonic time by which the runs of a dispatcher must be over, given the
   *   newest ping that it has acknowledged
   */
  constructor(
    private readonly tasks: ReadonlyMap<string, LocalTask>,
    private readonly clock: Clock,
    private readonly longestMs: number,
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

  /**
   * Finds the time from now on after which no run may be active any more, ms. While runs may be there that
   * this process has not ordered, it is 0: when these have to be over is not known here, and what an earlier
   * incarnation of this executor or another session has named as their lease is not later than that.
   */
  findAllowance(): number {
    return this.unknown === 0 ? (this.findFirst()?.allowedMs ?? Infinity) : 0;
  }

  /** Whether a list has shown which unknown runs are there since calls of others may have reached it. */
  get isListed(): boolean {
    return this.unknown !== undefined;
  }

  /** Accounts for calls intended for another incarnation, which may have started runs at this one. */
  handleForeignWriter(): void {
    this.unknown = undefined;
    this.listedFrom = this.clock.now();
  }

  /**
   * Records the number of unknown runs in the newest list of the upstream.
   *
   * @param count - number of unknown runs
   * @param sentAt - when the renewal was sent that lists them
   */
  recordUnknown(count: number, sentAt: number): void {
    if (sentAt >= this.listedFrom) this.unknown = count;
  }

  /** Describes the run that limits the lease, for the log. */
  describeFirst(): Readonly<Record<string, unknown>> {
    const first = this.findFirst();
    if (this.unknown !== 0 || !first) return { reason: 'unknown-runs' };
    const { key, run, owner, phase, stopReason } = first.task;
    const allowedMs = Math.round(first.allowedMs);
    return { task: key, run, entryLife: owner, phase, reason: stopReason, allowedMs };
  }

  /**
   * Fixes the time by which a run must be over, unless an earlier one is fixed: pings that its dispatcher
   * acknowledges later do not count. It is no later than the end of the leases granted so far.
   *
   * @param task - the task
   * @param endBy - monotonic time, ms; by default what its dispatcher has acknowledged so far tells it
   */
  fix(task: LocalTask, endBy = this.findEndLimit(task.owner)): void {
    task.endBy = Math.min(task.endBy ?? Infinity, endBy, this.clock.now() + this.longestMs);
  }
}
