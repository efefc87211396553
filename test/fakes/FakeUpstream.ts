/**
 * Upstream in memory that follows the platform's rules for runs, leases and fencing tokens. It can lose answers, apply
 * orders late, and stall or fail tasks.
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

/** Interval at which a waiting renewal checks for an ended run, ms. */
const POLL_MS = 5;
/** Longest lease; longer ones are shortened, ms. */
const MAX_LEASE_MS = 1_000;

interface Run {
  readonly name: RunName;
  readonly spec: string;
  readonly startedAt: number;
  workMs: number;
}

/** Fate of an order; `late`: a start gets no answer and is applied later, with a lease from then on. */
export type OrderFate = 'answered' | 'lost' | 'unanswered' | 'late';

/** Stops that get no answer for some time. */
interface StopFault {
  /** Clock of the VM until which stops get no answer, ms. */
  readonly until: number;
  /** Delay after which they are applied, ms; undefined if they are lost. */
  readonly lateMs: number | undefined;
}

/** Incarnation of an upstream. */
export class FakeUpstream extends UpstreamApi {
  readonly running = new Map<string, Run>();
  readonly ended: EndedRun[] = [];
  /** Number of applied starts. */
  starts = 0;
  /** Number of calls to stop a task. */
  stops = 0;
  /** Duration of a task, ms. */
  taskMs = 100;
  /** Duration of the tasks of some jobs, by job, ms. */
  durations: ReadonlyMap<string, number> = new Map();
  /** Whether tasks are stalled. */
  hangs = false;
  /** Whether tasks fail at once. */
  fails = false;
  /** Whether another incarnation answers at its address. */
  isReplaced = false;
  /** Whether the upstream is unresponsive. */
  silent = false;
  /** Job whose tasks crash the upstream when they start; empty for none. */
  poison = '';
  /** Whether connections to its address are refused. */
  refuses = false;
  /** Fates of the next orders; `answered` when empty. */
  readonly fates: OrderFate[] = [];
  /** Number of next stops that are neither applied nor answered, apart from `fates`. */
  lostStops = 0;
  /** Whether renewals are applied but get no answer. */
  mutesRenewals = false;
  /** Number of next renewals to lose. */
  lostRenewals = 0;
  /** Number of received renewals. */
  renewals = 0;
  /** Start of this incarnation; undefined if each incarnation has its own id. */
  bornAt: number | undefined;
  /** Delay of a late start, ms. */
  lateMs = 1_000;
  /** Whether this incarnation has ended. */
  isOver = false;
  token = 0;
  leaseUntil = 0;
  /** Number of starts of a task that was already running. */
  doubled = 0;
  private readonly highestRun = new Map<string, number>();
  private sequence = 0;
  private stopFault: StopFault | undefined;

  constructor(
    /** Steady clock of its VM. */
    private readonly clock: Pick<Clock, 'now' | 'sleep'>,
    /** Offset of its clock from the executor's, ms. */
    private readonly offsetMs = 500_000,
  ) {
    super();
  }

  get clockMs(): number {
    return Math.floor(this.clock.now() + this.offsetMs);
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

  /** Applies a start, as for a duplicate that was long in flight. */
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
    this.running.set(key, { name: order.name, spec: order.spec, startedAt: this.clock.now(), workMs: 0 });
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
    if (this.lostStops > 0) {
      this.lostStops -= 1;
      await this.timeOut(timeoutMs);
    }
    if (this.stopFault && this.clock.now() < this.stopFault.until) {
      this.scheduleStop(name, fencingToken, this.stopFault);
      await this.timeOut(timeoutMs);
    }
    const fate = await this.takeFate(timeoutMs);
    if (this.isReplaced) return { verdict: 'other-life', clockMs: undefined };
    if (fencingToken < this.token) return { verdict: 'fenced', clockMs: this.clockMs };
    if (fate === 'answered' || fate === 'unanswered') this.applyStop(name);
    if (fate !== 'answered') await this.timeOut(timeoutMs);
    return { verdict: 'accepted', clockMs: this.clockMs };
  }

  /**
   * Leaves stops without an answer for some time, apart from `fates`.
   *
   * @param ms - for how long
   * @param lateMs - delay after which such a stop is applied; undefined if it is lost
   */
  disturbStops(ms: number, lateMs: number | undefined): void {
    this.stopFault = { until: this.clock.now() + ms, lateMs };
  }

  /** Ends the faults of orders and renewals. */
  endFaults(): void {
    this.fates.length = 0;
    this.lostStops = 0;
    this.lostRenewals = 0;
    this.mutesRenewals = false;
    this.stopFault = undefined;
  }

  /** Applies a stop later, with the run and the token that it was sent with. */
  private scheduleStop(name: RunName, fencingToken: number, { lateMs }: StopFault): void {
    if (lateMs === undefined) return;
    void this.clock.sleep(lateMs).then(() => {
      if (!this.isOver && fencingToken >= this.token) this.applyStop(name);
    });
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
    if (this.mutesRenewals) await this.timeOut(timeoutMs);
    while (this.ended[0] && this.ended[0].sequence <= renewal.lastSequence) this.ended.shift();
    const until = this.clock.now() + renewal.waitMs;
    while (this.ended.length === 0 && this.clock.now() < until) {
      await this.clock.sleep(POLL_MS);
      this.checkListens();
      if (this.silent) await this.timeOut(timeoutMs);
      this.update();
    }
    const running = [...this.running.values()].map(({ name, workMs }) => {
      return { name, percent: Math.floor(Math.min(99, (workMs / this.findTaskMs(name)) * 100)) };
    });
    const { clockMs, bornAt, ended } = this;
    return { verdict: 'held', clockMs, bornAt, running, ended: [...ended] };
  }

  override close(): void {
    // There is no connection to close.
  }

  /** Starts a run on behalf of an earlier incarnation of the executor. */
  beginForeign(name: RunName): void {
    this.running.set(buildKey(name), { name, spec: '', startedAt: this.clock.now(), workMs: 0 });
    this.highestRun.set(buildKey(name), name.run);
  }

  private applyStop(name: RunName): void {
    this.update();
    const key = buildKey(name);
    this.highestRun.set(key, Math.max(name.run, this.highestRun.get(key) ?? 0));
    if (this.running.get(key)?.name.run === name.run) this.end(name, 'stopped');
  }

  /** Ends tasks and expires leases that are due. */
  applyTime(): void {
    this.update();
  }

  private update(): void {
    const now = this.clock.now();
    const lapsed = this.clockMs > this.leaseUntil;
    for (const run of [...this.running.values()]) {
      if (!this.hangs) run.workMs = now - run.startedAt;
      if (run.workMs >= this.findTaskMs(run.name)) this.end(run.name, 'done');
      else if (lapsed) this.end(run.name, 'lapsed');
    }
  }

  private findTaskMs({ job }: RunName): number {
    return this.durations.get(job) ?? this.taskMs;
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
