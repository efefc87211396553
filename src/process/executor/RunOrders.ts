/**
 * Sends starts and stops of tasks to one incarnation of an upstream until they are settled.
 *
 * Orders without an answer are repeated. The run number and a short lease make them idempotent: a delayed
 * duplicate has no effect at the same incarnation.
 */
import type { Clock } from '../../_lib/Clock.js';
import { ConnectionRefusedError } from '../../_lib/errors.js';
import type { RunName, StartVerdict } from '../../ports/UpstreamApi.js';
import { buildRunName } from './localTask.js';
import type { LocalTask } from './localTask.js';
import type { RunHistory } from './RunHistory.js';
import type { UpstreamCalls } from './UpstreamCalls.js';

/** Pause before an accepted stop is repeated if the end of the run has not been listed, ms. */
const STOP_REPEAT_PAUSE_MS = 120;
/**
 * Interval at which an unresponsive upstream is checked before a stop is sent, ms; short compared with a
 * lease.
 */
const ANSWER_POLL_MS = 40;
/** Pause before an order is repeated, ms. */
const REPEAT_PAUSE_MS = 15;
/** Number of times that a start is sent before it is withdrawn. */
const MAX_START_SENDS = 4;

/** Reason for withdrawing a start for which the lease may not be extended any more. */
const LEASE_LIMITED = 'lease-limited';

/** Callbacks to the session. */
export interface RunOrderCallbacks {
  /** Whether nothing more may be sent to this incarnation. */
  readonly isOver: () => boolean;
  readonly isReachable: () => boolean;
  /**
   * Called before a start is repeated, which extends the lease of all runs: stops tasks that may not run any
   * longer.
   */
  readonly revalidate: (task: LocalTask) => void;
  /** Called when the upstream has started a task. */
  readonly confirm: (task: LocalTask) => void;
  /** Stops a task that may or may not have been started. */
  readonly withdraw: (task: LocalTask, reason: string) => void;
  /** Called when the upstream has refused a start. */
  readonly handleRefused: (task: LocalTask) => void;
  /** Called when another incarnation answers. */
  readonly handleOtherIncarnation: () => void;
  readonly log: (event: string, fields: Readonly<Record<string, unknown>>) => void;
}

/** Orders to one incarnation of an upstream. */
export class RunOrders {
  /**
   * @param calls - calls to the upstream
   * @param runs - run numbers at this incarnation
   * @param clock - clock of this process
   * @param callbacks - callbacks to the session
   */
  constructor(
    private readonly calls: UpstreamCalls,
    private readonly runs: RunHistory,
    private readonly clock: Clock,
    private readonly callbacks: RunOrderCallbacks,
  ) {}

  /** Sends a start until it is settled, and withdraws it if it is not settled by the last send. */
  async start(task: LocalTask): Promise<void> {
    for (let sends = 0; task.phase === 'starting' && !this.callbacks.isOver(); sends += 1) {
      if (sends >= MAX_START_SENDS) return this.callbacks.withdraw(task, 'start-unanswered');
      if (!this.calls.canStart) return this.callbacks.withdraw(task, LEASE_LIMITED);
      task.openSends += 1;
      task.lastSentAt = this.clock.now();
      const sent = this.describeOrder(task, sends);
      try {
        const call = this.calls.start(buildRunName(task), task.order.spec);
        sent.leaseUntilMs = this.calls.leaseUntilMs;
        const verdict = await call;
        this.logOrder('run-start', sent, { answer: verdict });
        if (task.phase !== 'starting' || this.callbacks.isOver()) return;
        if (verdict === 'superseded' && sends > 0) await this.waitForRenewal();
        if (task.phase !== 'starting' || this.callbacks.isOver()) return;
        if (this.settleStart(task, verdict)) return;
      } catch (error) {
        if (error instanceof ConnectionRefusedError) task.openSends -= 1;
        this.logOrder('start-unanswered', sent, { error: String(error) });
      }
      await this.clock.sleep(REPEAT_PAUSE_MS);
      this.callbacks.revalidate(task);
    }
  }

  /** Handles the answer to a start; returns false if it is to be sent again. */
  private settleStart(task: LocalTask, verdict: StartVerdict): boolean {
    switch (verdict) {
      case 'started':
        this.callbacks.confirm(task);
        return true;
      case 'superseded':
        return this.settleSuperseded(task);
      case 'fenced':
      case 'late':
        return false;
      case 'other-life':
        // Another incarnation has refused it, so this send cannot have started it here.
        task.openSends -= 1;
        this.callbacks.handleOtherIncarnation();
        return true;
      case 'refused':
        this.callbacks.handleRefused(task);
        this.callbacks.withdraw(task, 'refused');
        return true;
      default:
        this.callbacks.withdraw(task, verdict);
        return true;
    }
  }

  /**
   * Handles the answer that a run with the same or a higher number was stopped or has ended there. An end of
   * this run would have been listed by the renewal that a repeated start waits for, so it was a run of an
   * earlier executor incarnation: the task gets a higher run number.
   */
  private settleSuperseded(task: LocalTask): boolean {
    const next = this.runs.take(task.key);
    this.callbacks.log('run-superseded', { task: task.key, run: task.run, next });
    task.run = next;
    return false;
  }

  /** Waits until a renewal sent from now on has been answered. */
  private async waitForRenewal(): Promise<void> {
    const since = this.clock.now();
    while (!this.callbacks.isOver() && this.callbacks.isReachable() && this.calls.renewedAt <= since)
      await this.clock.sleep(REPEAT_PAUSE_MS);
  }

  /** Repeats a stop until the end of the run is listed; waits while the upstream is unresponsive. */
  async stop(task: LocalTask): Promise<void> {
    let sends = 0;
    while (task.phase === 'stopping' && !this.callbacks.isOver()) {
      if (!this.calls.isAnswering) {
        await this.clock.sleep(ANSWER_POLL_MS);
        continue;
      }
      const sent = { ...this.describeOrder(task, sends), reason: task.stopReason };
      sends += 1;
      try {
        const verdict = await this.calls.stop(buildRunName(task));
        this.logOrder('run-stop', sent, { answer: verdict });
        if (verdict === 'accepted') task.stopAcceptedAt ??= this.clock.now();
        if (verdict === 'other-life') return this.callbacks.handleOtherIncarnation();
      } catch (error) {
        this.logOrder('stop-unanswered', sent, { error: String(error) });
      }
      await this.clock.sleep(task.stopAcceptedAt === undefined ? REPEAT_PAUSE_MS : STOP_REPEAT_PAUSE_MS);
    }
  }

  /** Stops a run that an earlier incarnation of this executor has started, to free its capacity. */
  stopUnknown(name: RunName): void {
    this.callbacks.log('stop-unknown', { job: name.job, index: name.index, run: name.run });
    this.calls.stop(name).catch((error: unknown) => {
      // If the run is still there, the next renewal lists it again.
      this.callbacks.log('stop-unanswered', { job: name.job, run: name.run, error: String(error) });
    });
  }

  /** Describes an order that is sent now, for the log. */
  private describeOrder({ key, run, order, owner }: LocalTask, sends: number): SentOrder {
    const { attempt } = order.name;
    const { token, leaseUntilMs } = this.calls;
    const sentAt = this.clock.now();
    return { task: key, run, attempt, entryLife: owner, sends, token, leaseUntilMs, sentAt };
  }

  /** Logs an order with its answer, or the error that it ended with. */
  private logOrder(
    event: string,
    { sentAt, ...sent }: SentOrder,
    outcome: Readonly<Record<string, unknown>>,
  ): void {
    const tookMs = Math.round(this.clock.now() - sentAt);
    this.callbacks.log(event, { ...sent, ...outcome, tookMs });
  }
}

/** An order that was sent, as it is logged. */
interface SentOrder {
  readonly task: string;
  readonly run: number;
  readonly attempt: number;
  /** Incarnation of the dispatcher that ordered the attempt. */
  readonly entryLife: string;
  /** Number of earlier sends of the order. */
  readonly sends: number;
  readonly token: number;
  /** End of the lease last named, which a start extends, on the upstream's clock, ms. */
  leaseUntilMs: number;
  /** Monotonic time at which it was sent, ms. */
  readonly sentAt: number;
}
