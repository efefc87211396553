/**
 * An upstream in memory that keeps to the platform's rules for runs, leases and fencing tokens, with switches for
 * what goes wrong: answers that are lost, orders that are carried out late, tasks that stand still or fail.
 */
import type { Clock } from '../../src/_lib/Clock.js';
import { ConnectionRefusedError } from '../../src/_lib/errors.js';
import { UpstreamApi } from '../../src/ports/UpstreamApi.js';
import type {
  EndedRun,
  LeaseAnswer,
  LeaseRenewal,
  OrderAnswer,
  RunEnd,
  RunName,
  RunStart,
  StartVerdict,
  StopVerdict,
} from '../../src/ports/UpstreamApi.js';

/** Step in which a waiting renewal looks for an end, ms. */
const POLL_MS = 5;
/** Longest lease; longer ones are cut, ms. */
const MAX_LEASE_MS = 1_000;

interface Run {
  readonly name: RunName;
  readonly startedAt: number;
  workMs: number;
}

/** How an order fares on its way; `late`: a start gets no answer and is carried out later, with a lease from then on. */
export type OrderFate = 'answered' | 'lost' | 'unanswered' | 'late';

/** A life of an upstream. */
export class FakeUpstream extends UpstreamApi {
  readonly running = new Map<string, Run>();
  readonly ended: EndedRun[] = [];
  /** Starts that took effect. */
  starts = 0;
  /** Calls to stop a task. */
  stops = 0;
  /** Time that a task takes, ms. */
  taskMs = 100;
  /** Whether tasks make progress. */
  hangs = false;
  /** Whether tasks fail at once. */
  fails = false;
  /** Whether another life answers in its place. */
  isReplaced = false;
  /** Whether the upstream answers at all. */
  silent = false;
  /** Job whose tasks crash the upstream as they begin; empty for none. */
  poison = '';
  /** Whether nobody listens at its address. */
  refuses = false;
  /** How the next orders fare; `answered` when empty. */
  readonly fates: OrderFate[] = [];
  /** The next so many renewals are lost. */
  lostRenewals = 0;
  /** Renewals that were asked for. */
  renewals = 0;
  /** Start of this life; undefined where lives have ids of their own. */
  bornAt: number | undefined;
  /** How late a late start is carried out, ms. */
  lateMs = 1_000;
  /** Whether this life is over. */
  isOver = false;
  token = 0;
  leaseUntil = 0;
  /** Runs that two starts were at work on at once. */
  doubled = 0;
  private readonly highestRun = new Map<string, number>();
  private sequence = 0;

  constructor(
    /** Steady clock of its VM. */
    private readonly clock: Pick<Clock, 'now' | 'sleep'>,
    /** Our clock is this far from the agent's, ms. */
    private readonly offsetMs = 500_000,
  ) {
    super();
  }

  get clockMs(): number {
    return this.clock.now() + this.offsetMs;
  }

  override async start(order: RunStart, timeoutMs: number): Promise<OrderAnswer<StartVerdict>> {
    const fate = await this.takeFate(timeoutMs);
    if (this.isReplaced) return { verdict: 'other-life', clockMs: undefined };
    if (fate === 'late') void this.clock.sleep(this.lateMs).then(() => this.applyLate(order));
    const isDone = fate === 'answered' || fate === 'unanswered';
    const verdict = isDone ? this.applyStart(order) : 'started';
    if (fate !== 'answered') await this.timeOut(timeoutMs);
    return { verdict, clockMs: this.clockMs };
  }

  /** Carries out a start, as a copy that was on its way for long would be. */
  applyStart(order: RunStart): StartVerdict {
    this.update();
    if (order.fencingToken < this.token) return 'fenced';
    this.token = order.fencingToken;
    if (order.leaseUntilMs < this.clockMs) return 'late';
    this.extendLease(order.leaseUntilMs);
    const key = buildKey(order.name);
    const run = this.running.get(key);
    if (run?.name.run === order.name.run) return 'started';
    if (order.name.run <= (this.highestRun.get(key) ?? 0)) return 'superseded';
    if (run) this.doubled += 1;
    this.highestRun.set(key, order.name.run);
    this.starts += 1;
    this.running.set(key, { name: order.name, startedAt: this.clock.now(), workMs: 0 });
    if (this.fails) this.end(order.name, 'failed');
    if (order.name.job === this.poison) this.crash();
    return 'started';
  }

  private extendLease(leaseUntilMs: number): void {
    this.leaseUntil = Math.max(this.leaseUntil, Math.min(leaseUntilMs, this.clockMs + MAX_LEASE_MS));
  }

  private applyLate(order: RunStart): void {
    if (!this.isOver) this.applyStart({ ...order, leaseUntilMs: order.leaseUntilMs + this.lateMs });
  }

  override async stop(
    name: RunName,
    fencingToken: number,
    timeoutMs: number,
  ): Promise<OrderAnswer<StopVerdict>> {
    this.stops += 1;
    const fate = await this.takeFate(timeoutMs);
    if (this.isReplaced) return { verdict: 'other-life', clockMs: undefined };
    if (fencingToken < this.token) return { verdict: 'fenced', clockMs: this.clockMs };
    if (fate === 'answered' || fate === 'unanswered') this.applyStop(name);
    if (fate !== 'answered') await this.timeOut(timeoutMs);
    return { verdict: 'accepted', clockMs: this.clockMs };
  }

  override async renew(renewal: LeaseRenewal, timeoutMs: number): Promise<LeaseAnswer> {
    this.renewals += 1;
    this.checkListens();
    if (this.silent) await this.timeOut(timeoutMs);
    if (this.lostRenewals > 0) {
      this.lostRenewals -= 1;
      await this.timeOut(timeoutMs);
    }
    if (this.isReplaced) return { verdict: 'other-life' };
    this.update();
    if (renewal.fencingToken < this.token) return { verdict: 'fenced', clockMs: this.clockMs };
    this.token = renewal.fencingToken;
    this.extendLease(renewal.leaseUntilMs ?? 0);
    while (this.ended[0] && this.ended[0].sequence <= renewal.lastSequence) this.ended.shift();
    const until = this.clock.now() + renewal.waitMs;
    while (this.ended.length === 0 && this.clock.now() < until) {
      await this.clock.sleep(POLL_MS);
      this.checkListens();
      if (this.silent) await this.timeOut(timeoutMs);
      this.update();
    }
    const running = [...this.running.values()].map(({ name, workMs }) => {
      return { name, percent: Math.floor(Math.min(99, (workMs / this.taskMs) * 100)) };
    });
    const { clockMs, bornAt, ended } = this;
    return { verdict: 'held', clockMs, bornAt, running, ended: [...ended] };
  }

  override close(): void {
    // Nothing is open.
  }

  /** Begins a run that nobody here has ordered, as an earlier life of the agent would have. */
  beginForeign(name: RunName): void {
    this.running.set(buildKey(name), { name, startedAt: this.clock.now(), workMs: 0 });
    this.highestRun.set(buildKey(name), name.run);
  }

  private applyStop(name: RunName): void {
    this.update();
    const key = buildKey(name);
    this.highestRun.set(key, Math.max(name.run, this.highestRun.get(key) ?? 0));
    if (this.running.get(key)?.name.run === name.run) this.end(name, 'stopped');
  }

  /** Lets tasks end and leases run out up to now. */
  applyTime(): void {
    this.update();
  }

  private update(): void {
    const now = this.clock.now();
    const lapsed = this.clockMs > this.leaseUntil;
    for (const run of [...this.running.values()]) {
      if (!this.hangs) run.workMs = now - run.startedAt;
      if (run.workMs >= this.taskMs) this.end(run.name, 'done');
      else if (lapsed) this.end(run.name, 'lapsed');
    }
  }

  private end(name: RunName, end: RunEnd): void {
    this.running.delete(buildKey(name));
    this.sequence += 1;
    this.ended.push({ sequence: this.sequence, name, end });
  }

  private async takeFate(timeoutMs: number): Promise<OrderFate> {
    this.checkListens();
    if (this.silent) await this.timeOut(timeoutMs);
    return this.fates.shift() ?? 'answered';
  }

  private crash(): void {
    this.running.clear();
    this.isOver = true;
    this.refuses = true;
  }

  private checkListens(): void {
    if (this.refuses) throw new ConnectionRefusedError('nobody listens');
  }

  private async timeOut(timeoutMs: number): Promise<never> {
    await this.clock.sleep(timeoutMs);
    throw new Error('no answer');
  }
}

function buildKey({ job, step, index }: RunName): string {
  return `${job}/${step}/${index}`;
}
