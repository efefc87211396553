/**
 * Calls to one incarnation of one upstream. Starts and renewals carry the end of the lease; all carry the
 * fencing token, and have a timeout based on recent response times. Answers update the estimate of the
 * upstream's clock; answers and timeouts show whether it is responsive.
 */
import type { Clock } from '../../_lib/Clock.js';
import type {
  LeaseAnswer,
  RunName,
  StartVerdict,
  StopVerdict,
  UpstreamApi,
} from '../../ports/UpstreamApi.js';
import type { UpstreamReport } from '../../ports/UpstreamRegistry.js';
import { AnswerMonitor } from './AnswerMonitor.js';
import type { FencingTokens } from './FencingTokens.js';
import { UpstreamLease } from './UpstreamLease.js';

/** Time for which the upstream may hold a renewal until a run ends (long polling), ms. */
const RENEWAL_WAIT_MS = 150;
/** The same as a fraction of the lease; the shorter time applies. */
const RENEWAL_LEASE_SHARE = 0.25;
/** The same while answers are being lost, so that ends are received soon, ms. */
const SHORT_RENEWAL_WAIT_MS = 30;

/** Lease durations, ms. */
export interface LeaseBounds {
  /** Duration of a lease. */
  readonly leaseMs: number;
  /** Longest lease that an upstream grants. */
  readonly maxLeaseMs: number;
}

/** Callbacks to the session. */
export interface CallEvents {
  /** Finds the time from now on after which the first run must be over, so that no lease may be longer, ms. */
  readonly findAllowance: () => number;
  /** Called when the upstream starts or stops answering. */
  readonly changeAnswers: (answers: boolean) => void;
  /** Called when the fencing token was raised, as the upstream has accepted a higher one. */
  readonly raiseToken: (from: number, to: number) => void;
}

/** Calls to one upstream. */
export class UpstreamCalls {
  private readonly lease: UpstreamLease;
  private readonly monitor: AnswerMonitor;
  private fencingToken: number;
  /** When the newest renewal that was granted was sent; initially, when the upstream was found. */
  private renewalSentAt: number;

  /**
   * @param api - client of the upstream's API
   * @param report - first report of the incarnation
   * @param bounds - lease durations
   * @param clock - clock of this process
   * @param tokens - fencing tokens of this process
   * @param events - callbacks to the session
   */
  constructor(
    private readonly api: UpstreamApi,
    report: Pick<UpstreamReport, 'clockMs' | 'bornAt'>,
    private readonly bounds: LeaseBounds,
    private readonly clock: Clock,
    private readonly tokens: FencingTokens,
    private readonly events: CallEvents,
  ) {
    const now = clock.now();
    const effectiveMs = report.bornAt === undefined ? bounds.leaseMs : bounds.maxLeaseMs;
    this.lease = new UpstreamLease(report.clockMs, clock.readSteady(), bounds.leaseMs, effectiveMs);
    this.monitor = new AnswerMonitor(now);
    this.renewalSentAt = now;
    this.fencingToken = tokens.take();
  }

  /** Whether the upstream answers. */
  get isAnswering(): boolean {
    return this.monitor.isAnswering;
  }

  /** Whether all leases expired more than `ms` ago, so that nothing can run at the upstream any more. */
  hasLapsedFor(ms: number): boolean {
    return this.clock.readSteady() > this.lease.aliveUntil + ms;
  }

  /** When the newest renewal that was granted was sent; initially, when the upstream was found. */
  get renewedAt(): number {
    return this.renewalSentAt;
  }

  /** Estimates the clock of the upstream at a steady time, from its answers once there is one, ms. */
  estimateClock(at: number): number {
    return this.lease.estimate(at);
  }

  /** Whether an answer has shown the clock of the upstream. */
  get isClockKnown(): boolean {
    return this.lease.isClockKnown;
  }

  /** Current fencing token. */
  get token(): number {
    return this.fencingToken;
  }

  /** End of the lease last named in a call, on the upstream's clock, ms. */
  get leaseUntilMs(): number {
    return this.lease.untilMs;
  }

  /** Whether a start, which extends the lease of all runs, may be sent. */
  get canStart(): boolean {
    return this.lease.canExtend(this.clock.readSteady(), this.events.findAllowance());
  }

  /**
   * Sends a start, which extends the lease of all runs. Rejects if no valid answer arrives in time, or if the
   * lease may not be extended.
   */
  async start(name: RunName, spec: string): Promise<StartVerdict> {
    const sentAt = this.clock.now();
    const leaseUntilMs = this.extendLease();
    if (leaseUntilMs === undefined) throw new Error('the lease may not be extended');
    const order = { name, spec, leaseUntilMs, fencingToken: this.fencingToken };
    return this.sendOrder(sentAt, () => this.api.start(order, this.monitor.timeoutMs));
  }

  /** Sends a stop. Rejects if no valid answer arrives in time. */
  async stop(name: RunName): Promise<StopVerdict> {
    const sentAt = this.clock.now();
    return this.sendOrder(sentAt, () => this.api.stop(name, this.fencingToken, this.monitor.timeoutMs));
  }

  /**
   * Renews the lease, by no more than its runs allow. If no renewal has been granted for the duration of a
   * lease, further ones do not extend it, so that all runs end at a known time. Rejects if no valid answer
   * arrives in time.
   *
   * @param lastSequence - sequence number up to which ends have been applied
   * @param mayWait - whether the upstream may hold the renewal until a run ends
   */
  async renew(lastSequence: number, mayWait: boolean): Promise<LeaseAnswer> {
    const sentAt = this.clock.now();
    const waitMs = mayWait && this.isAnswering ? this.findRenewalWait(sentAt) : 0;
    // Until an answer has shown the clock, the end of a lease could be named far too late.
    const mayExtend = this.lease.isClockKnown && sentAt - this.renewalSentAt <= this.bounds.leaseMs;
    const leaseUntilMs = mayExtend ? this.extendLease() : undefined;
    const renewal = { leaseUntilMs, fencingToken: this.fencingToken, lastSequence, waitMs };
    try {
      const answer = await this.api.renew(renewal, waitMs + this.monitor.timeoutMs);
      this.handleRenewal(answer, sentAt, waitMs);
      if (answer.verdict === 'fenced') this.raiseToken(renewal.fencingToken);
      return answer;
    } catch (error) {
      this.handleTimeout(sentAt);
      throw error;
    }
  }

  /** Accounts for calls intended for another incarnation that may have reached this one until now. */
  handleForeignWriter(): void {
    this.lease.handleForeignWriter(this.clock.readSteady());
  }

  /**
   * Raises the fencing token, so that the upstream refuses earlier calls in flight once it has accepted a new
   * one.
   */
  fenceOff(): void {
    this.fencingToken = this.tokens.take();
  }

  /** Closes the connections. */
  close(): void {
    this.api.close();
  }

  private extendLease(): number | undefined {
    return this.lease.extend(this.clock.readSteady(), this.events.findAllowance());
  }

  private findRenewalWait(now: number): number {
    const longestMs = this.monitor.isLossy(now) ? SHORT_RENEWAL_WAIT_MS : RENEWAL_WAIT_MS;
    return Math.floor(Math.min(longestMs, this.bounds.leaseMs * RENEWAL_LEASE_SHARE));
  }

  /** Sends a start or a stop, and records its answer or timeout. */
  private async sendOrder<Verdict extends string>(
    sentAt: number,
    call: () => Promise<{ readonly verdict: Verdict; readonly clockMs: number | undefined }>,
  ): Promise<Verdict> {
    const token = this.fencingToken;
    try {
      const { verdict, clockMs } = await call();
      this.handleAnswer(sentAt, clockMs, true);
      if (verdict === 'fenced') this.raiseToken(token);
      return verdict;
    } catch (error) {
      this.handleTimeout(sentAt);
      throw error;
    }
  }

  private handleRenewal(answer: LeaseAnswer, sentAt: number, waitMs: number): void {
    if (answer.verdict === 'refused') return this.handleTimeout(sentAt);
    if (answer.verdict === 'held') this.renewalSentAt = sentAt;
    const clockMs = answer.verdict === 'other-life' ? undefined : answer.clockMs;
    this.handleAnswer(sentAt, clockMs, waitMs === 0);
  }

  /**
   * Raises the token above a refused one, once for several refused calls: an earlier process has used a
   * higher one.
   */
  private raiseToken(from: number): void {
    if (from < this.fencingToken) return;
    this.fencingToken = this.tokens.takeAbove(from);
    this.events.raiseToken(from, this.fencingToken);
  }

  private handleAnswer(sentAt: number, clockMs: number | undefined, wasImmediate: boolean): void {
    const now = this.clock.now();
    if (clockMs !== undefined) this.lease.recordClock(clockMs, this.clock.readSteady());
    this.recordAndReport(() => this.monitor.recordAnswer(now, wasImmediate ? now - sentAt : undefined));
  }

  private handleTimeout(sentAt: number): void {
    this.recordAndReport(() => this.monitor.recordTimeout(sentAt, this.clock.now()));
  }

  private recordAndReport(record: () => void): void {
    const before = this.isAnswering;
    record();
    if (this.isAnswering !== before) this.events.changeAnswers(this.isAnswering);
  }
}
