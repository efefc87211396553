/**
 * Sends starts and stops of tasks to one life of an upstream until they are settled.
 *
 * Orders are repeated when no answer comes; they carry the run's number and a near lease, so that a late copy does
 * nothing at the same life.
 */
import type { Clock } from '../../_lib/Clock.js';
import { ConnectionRefusedError } from '../../_lib/errors.js';
import type { RunName, StartVerdict } from '../../ports/UpstreamApi.js';
import { buildRunName } from './localTask.js';
import type { LocalTask } from './localTask.js';
import type { RunHistory } from './RunHistory.js';
import type { UpstreamCalls } from './UpstreamCalls.js';

/** Pause before a stop that was accepted is sent again, as its end was not listed, ms. */
const STOP_PAUSE_MS = 120;
/** Pause between two looks whether a silent upstream answers again, ms: short against the lease of a task. */
const ANSWER_LOOK_MS = 40;
/** Pause before an order is repeated, ms. */
const REPEAT_PAUSE_MS = 15;
/** Times that a start is sent before it is withdrawn. */
const MAX_START_SENDS = 4;

/** The session on whose behalf orders are sent. */
export interface OrderHost {
  /** Whether nothing more is to be sent to this life. */
  readonly isOver: () => boolean;
  readonly isReachable: () => boolean;
  /** A start is about to be repeated, which gives a lease to all that runs: stops what may not run on, or not start. */
  readonly revalidate: (task: LocalTask) => void;
  /** The upstream has begun a task. */
  readonly confirm: (task: LocalTask) => void;
  /** A task is to be stopped, as it is not certain whether it was begun. */
  readonly withdraw: (task: LocalTask, reason: string) => void;
  /** The upstream did nothing and says so. */
  readonly handleRefused: (task: LocalTask) => void;
  /** Another upstream answers. */
  readonly handleOtherIncarnation: () => void;
  readonly log: (event: string, fields: Readonly<Record<string, unknown>>) => void;
}

/** Orders to one life of an upstream. */
export class RunOrders {
  /**
   * @param calls - to the upstream
   * @param runs - numbers of runs at this life
   * @param clock - of this process
   * @param host - the session
   */
  constructor(
    private readonly calls: UpstreamCalls,
    private readonly runs: RunHistory,
    private readonly clock: Clock,
    private readonly host: OrderHost,
  ) {}

  /** Sends a start until it is settled; one that gets no answer is withdrawn in the end. */
  async start(task: LocalTask): Promise<void> {
    for (let sends = 0; task.phase === 'starting' && !this.host.isOver(); sends += 1) {
      if (sends >= MAX_START_SENDS) return this.host.withdraw(task, 'start-unanswered');
      task.openSends += 1;
      try {
        const verdict = await this.calls.start(buildRunName(task), task.order.spec);
        if (task.phase !== 'starting' || this.host.isOver()) return;
        if (verdict === 'superseded' && sends > 0) await this.waitForRenewal();
        if (task.phase !== 'starting' || this.host.isOver()) return;
        if (this.settleStart(task, verdict)) return;
      } catch (error) {
        if (error instanceof ConnectionRefusedError) task.openSends -= 1;
        this.host.log('start-unanswered', { task: task.key, run: task.run, error: String(error) });
      }
      await this.clock.sleep(REPEAT_PAUSE_MS);
      this.host.revalidate(task);
    }
  }

  /** Acts on the answer to a start; returns false if it is to be sent again. */
  private settleStart(task: LocalTask, verdict: StartVerdict): boolean {
    switch (verdict) {
      case 'started':
        this.host.confirm(task);
        return true;
      case 'superseded':
        return this.settleSuperseded(task);
      case 'fenced':
      case 'late':
        return false;
      case 'other-life':
        // Another life has refused it, so that this one cannot have begun it by this send.
        task.openSends -= 1;
        this.host.handleOtherIncarnation();
        return true;
      case 'refused':
        this.host.handleRefused(task);
        this.host.withdraw(task, 'refused');
        return true;
      default:
        this.host.withdraw(task, verdict);
        return true;
    }
  }

  /**
   * A run as new as ours has stopped or ended there. If the lists show that it was ours, its end comes with the
   * next renewal; else it was of an earlier life of this agent, and the task gets a newer run.
   */
  private settleSuperseded(task: LocalTask): boolean {
    const next = this.runs.take(task.key);
    this.host.log('run-superseded', { task: task.key, run: task.run, next });
    task.run = next;
    return false;
  }

  /** Waits until a renewal that is sent from now on has been answered. */
  private async waitForRenewal(): Promise<void> {
    const since = this.clock.now();
    while (!this.host.isOver() && this.host.isReachable() && this.calls.renewedAt <= since)
      await this.clock.sleep(REPEAT_PAUSE_MS);
  }

  /** Repeats a stop until its end is listed; an upstream that answers nothing is asked again once it answers. */
  async stop(task: LocalTask): Promise<void> {
    while (task.phase === 'stopping' && !this.host.isOver()) {
      if (!this.calls.isAnswering) {
        await this.clock.sleep(ANSWER_LOOK_MS);
        continue;
      }
      try {
        const verdict = await this.calls.stop(buildRunName(task));
        if (verdict === 'accepted') task.stopAcceptedAt ??= this.clock.now();
        if (verdict === 'other-life') return this.host.handleOtherIncarnation();
      } catch (error) {
        this.host.log('stop-unanswered', { task: task.key, run: task.run, error: String(error) });
      }
      await this.clock.sleep(task.stopAcceptedAt === undefined ? REPEAT_PAUSE_MS : STOP_PAUSE_MS);
    }
  }

  /** A run of an earlier life of this agent: nobody waits for it, and it takes room nobody knows. */
  stopUnknown(name: RunName): void {
    this.host.log('stop-unknown', { job: name.job, index: name.index, run: name.run });
    this.calls.stop(name).catch((error: unknown) => {
      // The next renewal lists the run again if it is still there.
      this.host.log('stop-unanswered', { job: name.job, run: name.run, error: String(error) });
    });
  }
}
