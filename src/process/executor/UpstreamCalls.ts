/**
 * Calls to one life of one upstream. Each carries the lease and the fencing token, is waited for as long as answers
 * take, and its answer, or the absence of one, tells something of the upstream.
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
import { AnswerWatch } from './AnswerWatch.js';
import type { FencingTokens } from './FencingTokens.js';
import { UpstreamLease } from './UpstreamLease.js';

/** How long the upstream may hold a renewal while nothing ends, ms; a part of the lease at most. */
const RENEWAL_WAIT_MS = 150;
const RENEWAL_LEASE_PART = 0.25;
/** The same while answers are being lost, so that ends are heard soon, ms. */
const SHORT_RENEWAL_WAIT_MS = 30;

/** Leases that calls give, ms. */
export interface LeaseBounds {
  /** How far ahead. */
  readonly leaseMs: number;
  /** The longest that an upstream grants. */
  readonly maxLeaseMs: number;
}

/** What calls tell their session. */
export interface CallEvents {
  /** The upstream begins or ceases to answer. */
  readonly changeAnswers: (answers: boolean) => void;
  /** A newer holder was met. */
  readonly raiseToken: (from: number, to: number) => void;
}

/** Calls to one upstream. */
export class UpstreamCalls {
  private readonly lease: UpstreamLease;
  private readonly answers: AnswerWatch;
  private fencingToken: number;
  /** When the newest answered renewal was sent; at first, when the upstream was found. */
  private renewalSentAt: number;

  /**
   * @param executor - the way to the upstream
   * @param report - the first that is known of the life
   * @param bounds - of leases
   * @param clock - of this process
   * @param tokens - of this process
   * @param events - what to tell
   */
  constructor(
    private readonly executor: UpstreamApi,
    report: Pick<UpstreamReport, 'clockMs' | 'bornAt'>,
    private readonly bounds: LeaseBounds,
    private readonly clock: Clock,
    private readonly tokens: FencingTokens,
    private readonly events: CallEvents,
  ) {
    const now = clock.now();
    const effectiveMs = report.bornAt === undefined ? bounds.leaseMs : bounds.maxLeaseMs;
    this.lease = new UpstreamLease(report.clockMs, clock.readSteady(), bounds.leaseMs, effectiveMs);
    this.answers = new AnswerWatch(now);
    this.renewalSentAt = now;
    this.fencingToken = tokens.take();
  }

  /** Whether the upstream answers. */
  get isAnswering(): boolean {
    return this.answers.isAnswering;
  }

  /** Whether every lease that was given is over since so many ms, so that nothing runs at the upstream any more. */
  hasLapsedFor(ms: number): boolean {
    return this.clock.readSteady() > this.lease.aliveUntil + ms;
  }

  /** When the newest answered renewal was sent. */
  get renewedAt(): number {
    return this.renewalSentAt;
  }

  /** The fencing token of the calls. */
  get token(): number {
    return this.fencingToken;
  }

  /** Sends a start. Rejects when no answer came in time. */
  async start(name: RunName, spec: string): Promise<StartVerdict> {
    const sentAt = this.clock.now();
    const leaseUntilMs = this.lease.extend(this.clock.readSteady());
    const order = { name, spec, leaseUntilMs, fencingToken: this.fencingToken };
    return this.watch(sentAt, () => this.executor.start(order, this.answers.timeoutMs));
  }

  /** Sends a stop. Rejects when no answer came in time. */
  async stop(name: RunName): Promise<StopVerdict> {
    const sentAt = this.clock.now();
    return this.watch(sentAt, () => this.executor.stop(name, this.fencingToken, this.answers.timeoutMs));
  }

  /**
   * Renews the lease while answers come. Without an answer for a whole lease nothing is prolonged any more, so that
   * what runs there ends at a known time. Rejects when no answer came in time.
   *
   * @param lastSequence - ends up to here have been noted for good
   * @param mayWait - whether the upstream may wait for an end
   */
  async renew(lastSequence: number, mayWait: boolean): Promise<LeaseAnswer> {
    const sentAt = this.clock.now();
    const waitMs = mayWait && this.isAnswering ? this.findRenewalWait(sentAt) : 0;
    const mayExtend = sentAt - this.renewalSentAt <= this.bounds.leaseMs;
    const leaseUntilMs = mayExtend ? this.lease.extend(this.clock.readSteady()) : undefined;
    const renewal = { leaseUntilMs, fencingToken: this.fencingToken, lastSequence, waitMs };
    try {
      const answer = await this.executor.renew(renewal, waitMs + this.answers.timeoutMs);
      this.handleRenewal(answer, sentAt, waitMs);
      if (answer.verdict === 'fenced') this.raise(renewal.fencingToken);
      return answer;
    } catch (error) {
      this.handleTimeout(sentAt);
      throw error;
    }
  }

  /** Calls that were meant for another life may have reached this one until now. */
  handleForeignWriter(): void {
    this.lease.handleForeignWriter(this.clock.readSteady());
  }

  /** Has the upstream refuse, from the next call on that it takes, what was sent until now and may still be on its way. */
  fenceOff(): void {
    this.fencingToken = this.tokens.take();
  }

  /** Closes the connections. */
  close(): void {
    this.executor.close();
  }

  private findRenewalWait(now: number): number {
    const longestMs = this.answers.isLossy(now) ? SHORT_RENEWAL_WAIT_MS : RENEWAL_WAIT_MS;
    return Math.floor(Math.min(longestMs, this.bounds.leaseMs * RENEWAL_LEASE_PART));
  }

  private async watch<Verdict extends string>(
    sentAt: number,
    call: () => Promise<{ readonly verdict: Verdict; readonly clockMs: number | undefined }>,
  ): Promise<Verdict> {
    const token = this.fencingToken;
    try {
      const { verdict, clockMs } = await call();
      this.handleAnswer(sentAt, clockMs, true);
      if (verdict === 'fenced') this.raise(token);
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

  /** An earlier process on this VM took a higher token; of several calls that are refused the first one raises ours. */
  private raise(from: number): void {
    if (from < this.fencingToken) return;
    this.fencingToken = this.tokens.takeAbove(from);
    this.events.raiseToken(from, this.fencingToken);
  }

  private handleAnswer(sentAt: number, clockMs: number | undefined, wasAtOnce: boolean): void {
    const now = this.clock.now();
    if (clockMs !== undefined) this.lease.recordClock(clockMs, this.clock.readSteady());
    this.reportChange(() => this.answers.noteAnswer(now, wasAtOnce ? now - sentAt : undefined));
  }

  private handleTimeout(sentAt: number): void {
    this.reportChange(() => this.answers.noteUnanswered(sentAt, this.clock.now()));
  }

  private reportChange(note: () => void): void {
    const before = this.isAnswering;
    note();
    if (this.isAnswering !== before) this.events.changeAnswers(this.isAnswering);
  }
}
