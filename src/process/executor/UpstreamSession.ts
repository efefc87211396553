/**
 * Session with one incarnation of one upstream, of which this process is the only user: exact capacity,
 * lease, starts, stops and ends.
 *
 * A task uses capacity from before its start is sent until its end is certain: listed by the upstream,
 * confirmed never to have started, or after all leases have expired. Orders without an answer are repeated;
 * the run number and a short lease make them idempotent.
 */
import { assertInvariant } from '../../_lib/assertInvariant.js';
import type { Clock } from '../../_lib/Clock.js';
import { stepMachine } from '../../_lib/compileMachine.js';
import { buildTaskKey, UPSTREAM_CRASHED } from '../../connection/peer/peerMessages.js';
import type {
  AttemptEnd,
  StartOrder,
  UpstreamDescription,
  UpstreamState,
} from '../../connection/peer/peerMessages.js';
import type { LeaseAnswer, UpstreamApi } from '../../ports/UpstreamApi.js';
import type { UpstreamReport } from '../../ports/UpstreamRegistry.js';
import {
  addResources,
  equalResources,
  fitResources,
  NO_RESOURCES,
  subtractResources,
} from '../../request/dispatch/resources.js';
import type { Resources } from '../../request/dispatch/submission.js';
import { buildIncarnationName } from './buildIncarnationName.js';
import { findLossReason, isCrash } from './crashes.js';
import type { ConfirmedCapacity } from './EarlierCapacities.js';
import type { FencingTokens } from './FencingTokens.js';
import { KnownReport } from './KnownReport.js';
import type { ReportOrigin } from './KnownReport.js';
import { createLocalTask, isAttempt, LOCAL_TASK_TABLE } from './localTask.js';
import type { LocalEvent, LocalTask } from './localTask.js';
import { RunHistory } from './RunHistory.js';
import { RunLists } from './RunLists.js';
import { RunLimits } from './RunLimits.js';
import { RunOrders } from './RunOrders.js';
import type { SessionBounds, SessionEvents } from './sessionEvents.js';
import { createSpeedMeter } from './SpeedMeter.js';
import type { SpeedMeter } from './SpeedMeter.js';
import { HealthMeter } from './HealthMeter.js';
import { UpstreamCalls } from './UpstreamCalls.js';
import { computeLongestLease } from './UpstreamLease.js';
import { findReturnReason, OVERDUE_MS, WaitingStarts } from './WaitingStarts.js';

/** Pause before a renewal is repeated after a failure, ms. */
const REPEAT_PAUSE_MS = 15;
/** Pause between two renewals while the upstream is unreachable, ms. */
const UNREACHABLE_PAUSE_MS = 150;
/** Fraction of a lease that must be allowed for a new task to be started: what runs ends with the lease. */
const MIN_LEASE_SHARE = 0.5;

/** Session with one incarnation of an upstream. */
export class UpstreamSession {
  readonly tasks = new Map<string, LocalTask>();
  private readonly waiting = new WaitingStarts();
  private readonly calls: UpstreamCalls;
  private readonly limits: RunLimits;
  private readonly orders: RunOrders;
  private readonly lists: RunLists;
  private readonly speedMeter: SpeedMeter;
  private readonly known: KnownReport;
  private readonly healthMeter = new HealthMeter();
  private readonly runs = new RunHistory();
  private used: Resources = NO_RESOURCES;
  private joined = false;
  private closed = false;
  private supersededSince: number | undefined;
  private leaving = false;
  private reachable = true;
  /** Whether the lease was too short for new tasks when a renewal was last sent or answered. */
  private isReportedLimited = false;

  /**
   * @param report - first report of this incarnation
   * @param origin - where the report comes from; unless from the incarnation itself, it takes no work until its
   *   capacity is confirmed or it sends a report
   * @param api - client of the upstream's API
   * @param clock - clock of this process
   * @param tokens - fencing tokens of this process
   * @param bounds - timeouts of the session
   * @param events - callbacks to the executor
   */
  constructor(
    report: UpstreamReport,
    origin: ReportOrigin,
    api: UpstreamApi,
    private readonly clock: Clock,
    tokens: FencingTokens,
    private readonly bounds: SessionBounds,
    private readonly events: SessionEvents,
  ) {
    const now = clock.now();
    this.limits = new RunLimits(this.tasks, clock, computeLongestLease(bounds), events.findEndLimit);
    this.calls = new UpstreamCalls(api, report, bounds, clock, tokens, {
      findAllowance: () => this.limits.findAllowance(),
      changeAnswers: (answers) => {
        this.events.log('upstream-answers', { upstream: this.name, answers, tasks: this.load });
        this.events.change();
      },
      raiseToken: (from, to) => this.events.log('token-raised', { upstream: this.name, from, to }),
    });
    this.orders = new RunOrders(this.calls, this.runs, clock, {
      isOver: () => this.isOver,
      isReachable: () => this.reachable,
      revalidate: (task) => this.revalidate(task),
      confirm: (task) => this.confirm(task, this.clock.now()),
      withdraw: (task, reason) => this.stopTask(task, reason),
      handleRefused: (task) => this.recordFailure(task, this.clock.now()),
      handleOtherIncarnation: () => this.close('other-life'),
      log: this.events.log,
    });
    this.lists = new RunLists(this.tasks, this.runs, bounds.stopMs, {
      confirm: (task, at) => this.confirm(task, at),
      recordProgress: (task, percent, at) => this.recordProgress(task, percent, at),
      finish: (task, end, reason) => this.finish(task, end, reason),
      stopUnknown: (name) => this.orders.stopUnknown(name),
      log: this.events.log,
    });
    this.speedMeter = createSpeedMeter(bounds.speedMeasure ?? 'mean', now);
    this.known = new KnownReport(report, origin, clock.readSteady());
  }

  private get report(): UpstreamReport {
    return this.known.report;
  }

  get id(): string {
    return this.report.id;
  }

  get bornAt(): number | undefined {
    return this.report.bornAt;
  }

  /** Name of this incarnation. */
  get name(): string {
    return buildIncarnationName(this.report);
  }

  /** Newest report of this incarnation. */
  get newestReport(): UpstreamReport {
    return this.known.report;
  }

  /** Time since the newest report arrived, ms. */
  get reportAgeMs(): number {
    return this.known.findAge(this.clock.readSteady());
  }

  /** Whether this incarnation has sent a report to this process. */
  get isDescribed(): boolean {
    return this.known.isOwn;
  }

  /** Whether this incarnation has answered and been fenced, and runs nothing unknown. */
  get isJoined(): boolean {
    return this.joined;
  }

  /** Whether another incarnation has replaced this one. */
  get isSuperseded(): boolean {
    return this.supersededSince !== undefined;
  }

  /** When it was superseded; undefined if it has not been. */
  get supersededAt(): number | undefined {
    return this.supersededSince;
  }

  get service(): string {
    return this.report.service;
  }

  /** Description of the upstream for dispatchers; replaced by another object only when it changes. */
  get description(): UpstreamDescription {
    return this.known.description;
  }

  /** False once all leases have expired without an answer, until a renewal is granted. */
  get isReachable(): boolean {
    return this.reachable;
  }

  /** Whether the session is closed. */
  get isClosed(): boolean {
    return this.closed;
  }

  /** Free capacity; none unless ready. */
  get free(): Resources {
    if (this.state !== 'ready') return NO_RESOURCES;
    return subtractResources(this.report.capacity, this.used);
  }

  /** State to report to dispatchers. */
  get state(): UpstreamState {
    if (this.isOver || !this.reachable) return 'absent';
    if (this.report.isDraining || this.leaving) return 'draining';
    if (!this.joined || !this.known.isCapacityKnown(this.clock.now())) return 'joining';
    return this.calls.isAnswering && !this.isReportedLimited ? 'ready' : 'silent';
  }

  /** Returns the health, which depends on failed tasks. */
  readHealth(): ReturnType<HealthMeter['read']> {
    return this.healthMeter.read(this.clock.now());
  }

  /** Returns the speed: estimated work done per run time. */
  readSpeed(): number {
    return this.speedMeter.read(this.clock.now());
  }

  /** Handles a report of the same incarnation; an older one is skipped. */
  update(report: UpstreamReport): void {
    const now = this.clock.readSteady();
    if (this.known.supersedes(report, now, this.calls)) return this.logSkippedReport(report);
    const before = this.state;
    const { capacity } = this.report;
    this.known.replace(report, now);
    if (this.state !== before) {
      this.events.log('upstream-state', { upstream: this.name, state: this.state });
      if (this.state === 'draining') this.dropWaiting('draining');
      this.events.change();
    }
    if (!equalResources(capacity, report.capacity)) this.applyCapacityChange(capacity);
  }

  /**
   * Limits a capacity from the store to what dispatchers have confirmed, and relies on it until then. A capacity of
   * another origin is not affected.
   */
  confirmCapacity(confirmed: ConfirmedCapacity): void {
    if (!this.known.confirm(confirmed)) return;
    const forMs = Math.round(confirmed.until - this.clock.now());
    this.events.log('capacity-confirmed', { upstream: this.name, capacity: this.report.capacity, forMs });
    this.startWaitingTasks();
    this.events.change();
  }

  /** Applies a changed capacity: returns waiting tasks that no longer fit, and starts those that fit now. */
  private applyCapacityChange(before: Resources): void {
    const { capacity } = this.report;
    const { used, name } = this;
    this.events.log('capacity-changed', {
      upstream: name,
      capacity,
      before,
      used,
      waiting: this.waiting.size,
    });
    for (const task of this.waiting.list()) {
      if (this.tasks.has(task.key)) continue;
      if (this.isOverfull || !fitResources(task.order.resources, capacity)) this.dropStart(task, 'full');
    }
    this.startWaitingTasks();
    this.events.changeCapacity(this.report, before);
  }

  /** Whether running tasks exceed a reduced capacity; no task may be started then. */
  private get isOverfull(): boolean {
    return !fitResources(this.used, this.report.capacity);
  }

  /**
   * Called before a start is repeated: stops tasks that may not run any longer, and the start if it no longer
   * fits.
   */
  private revalidate(task: LocalTask): void {
    this.events.revalidate(this.clock.now());
    if (task.phase === 'starting' && this.isOverfull) this.stopTask(task, 'full');
  }

  private logSkippedReport({ sequence, isDraining, clockMs }: UpstreamReport): void {
    const { sequence: known, clockMs: knownClockMs } = this.report;
    const fields = { upstream: this.name, sequence, known, isDraining, clockMs, knownClockMs };
    this.events.log('report-passed-over', fields);
  }

  /**
   * Handles a shutdown announcement of the upstream. Its tasks use capacity and may continue
   * until their end is listed or their lease expires, as the process still runs after the announcement.
   */
  leave(): void {
    this.leaving = true;
    this.dropWaiting('left');
    if (this.load === 0) this.close('left');
    else this.events.change();
  }

  /** Accepts an order, which is started as soon as it fits or returned as not run. */
  offer(order: StartOrder, owner: string): void {
    const now = this.clock.now();
    const task = createLocalTask(buildTaskKey(order.name), order, owner, now);
    const other = this.tasks.get(task.key);
    if (other) this.giveUp(other, 'submitted-elsewhere');
    this.waiting.add(task);
    this.startWaitingTasks();
    if (task.phase === 'waiting') void this.clock.sleep(OVERDUE_MS).then(() => this.startWaitingTasks());
  }

  /**
   * Stops a waiting or running attempt; returns false if it is not here.
   *
   * @param endBy - monotonic time by which its run must be over; by default what its dispatcher has
   *   acknowledged last tells it
   */
  stop(key: string, attempt: number, owner: string, reason: string, endBy?: number): boolean {
    const waiting = this.waiting.find(key, attempt, owner);
    if (waiting) {
      this.dropStart(waiting, reason);
      return true;
    }
    const task = this.tasks.get(key);
    if (!task || !isAttempt(task, key, attempt, owner)) return false;
    this.giveUp(task, reason, endBy);
    return true;
  }

  /** Stops all tasks ordered by a dispatcher; returns how many of them were not being stopped already. */
  stopOwner(owner: string, reason: string): number {
    const held = this.listHeld(owner);
    const active = held.filter(({ phase }) => phase !== 'stopping');
    for (const task of held) {
      if (task.phase === 'waiting') this.dropStart(task, reason);
      else this.giveUp(task, reason);
    }
    return active.length;
  }

  /** Stops all tasks. */
  stopAll(reason: string): void {
    this.dropWaiting(reason);
    for (const task of [...this.tasks.values()]) this.stopTask(task, reason);
  }

  /** Lists the attempts held for a dispatcher. */
  listHeld(owner: string): LocalTask[] {
    return [...this.waiting.list(), ...this.tasks.values()].filter((task) => task.owner === owner);
  }

  /** Sums the processor capacity used by tasks per dispatcher, thousandths of a core. */
  sumUsed(): Map<string, number> {
    const used = new Map<string, number>();
    for (const { owner, order } of this.tasks.values())
      used.set(owner, (used.get(owner) ?? 0) + order.resources.cpuMilli);
    return used;
  }

  /** Number of tasks that wait or may run. */
  get load(): number {
    return this.waiting.size + this.tasks.size;
  }

  /** Whether a suspect task, which may crash upstreams, waits or runs here. */
  get hasSuspect(): boolean {
    return [...this.waiting.list(), ...this.tasks.values()].some(({ order }) => order.isSuspect);
  }

  /** Whether nothing more may be sent to this incarnation. */
  private get isOver(): boolean {
    return this.closed || this.isSuperseded;
  }

  /**
   * Starts waiting tasks that fit, and returns those that have waited too long. One of which an earlier run
   * may go on here is kept until that is over, as it would be started elsewhere once it is returned; by then
   * it has mostly waited too long.
   */
  startWaitingTasks(): void {
    const now = this.clock.now();
    for (const task of this.waiting.list()) {
      if (this.tasks.has(task.key)) continue;
      const reason = findReturnReason(task, now);
      if (reason !== undefined) {
        this.dropStart(task, reason);
      } else if (this.canStart(task)) {
        this.waiting.remove(task);
        this.startTask(task, now);
      }
    }
  }

  /** Renews the lease and applies the lists of running and ended runs until the session is over. */
  async run(): Promise<void> {
    while (!this.isOver) {
      this.events.revalidate(this.clock.now());
      this.updateLimit();
      const sentAt = this.clock.now();
      const hadLapsed = this.calls.hasLapsedFor(0);
      // Starts still on their way must not count as over before this renewal has had them refused.
      if (hadLapsed && this.lists.hasUnconfirmedStop) this.calls.fenceOff();
      try {
        const answer = await this.calls.renew(this.lists.lastSequence, this.joined);
        if (this.isOver) return;
        this.handleLease(answer, sentAt, hadLapsed);
        if (!this.joined || !this.calls.isAnswering) await this.clock.sleep(REPEAT_PAUSE_MS);
      } catch (error) {
        if (this.isOver) return;
        this.events.log('renewal-unanswered', { upstream: this.name, error: String(error) });
        this.handleUnresponsive(error);
        await this.clock.sleep(this.reachable ? REPEAT_PAUSE_MS : UNREACHABLE_PAUSE_MS);
      }
    }
  }

  /**
   * Marks this incarnation as replaced by another one, after which nothing more is sent to it. Its tasks are
   * finished by `close`, once it is certain that the other incarnation, which orders may have reached, runs
   * none of them.
   */
  supersede(): void {
    if (this.isOver) return;
    this.supersededSince = this.clock.now();
    this.events.log('upstream-superseded', { upstream: this.name, tasks: this.load });
    this.dropWaiting('superseded');
    this.calls.close();
    this.events.change();
  }

  /**
   * Takes over from another session, whose calls may have reached this incarnation: the next call fences them
   * off.
   */
  takeOver(): void {
    this.calls.fenceOff();
    this.calls.handleForeignWriter();
    this.limits.handleForeignWriter();
  }

  /** Closes the session, as the incarnation is gone, and finishes its tasks as lost. */
  close(reason: string): void {
    if (this.closed) return;
    this.closed = true;
    this.events.log('upstream-gone', { upstream: this.name, reason, tasks: this.load });
    this.finishAllAsLost(reason, undefined);
    this.dropWaiting(reason);
    this.calls.close();
    this.events.change();
  }

  /** Logs and reports when the lease becomes too short for new tasks, and when it no longer is. */
  private updateLimit(): void {
    const isLimited = this.joined && this.limits.isListed && this.isLimited;
    if (isLimited === this.isReportedLimited) return;
    this.isReportedLimited = isLimited;
    const upstream = { upstream: this.name, tasks: this.tasks.size };
    if (isLimited) this.events.log('lease-limited', { ...upstream, ...this.limits.describeFirst() });
    else this.events.log('lease-unlimited', upstream);
    this.events.change();
  }

  /** Whether a run that must be over soon leaves too little of the lease for new tasks. */
  private get isLimited(): boolean {
    return this.limits.findAllowance() < this.bounds.leaseMs * MIN_LEASE_SHARE;
  }

  private handleLease(answer: LeaseAnswer, sentAt: number, hadLapsed: boolean): void {
    const now = this.clock.now();
    if (answer.verdict === 'other-life') return this.close('other-life');
    if (answer.verdict === 'refused') return this.handleUnresponsive('refused');
    if (answer.verdict === 'fenced') return;
    const { bornAt } = answer;
    // The start time in a report of another writer, as this upstream tells none.
    if (bornAt === undefined && this.bornAt !== undefined && !this.joined) return this.close('other-life');
    if (bornAt !== undefined && bornAt !== this.bornAt)
      return this.events.findOtherLife(bornAt, answer.clockMs);
    if (!this.reachable) this.events.log('upstream-reachable', { upstream: this.name });
    this.reachable = true;
    const unknown = this.lists.applyAnswer(answer, sentAt, now, hadLapsed);
    this.limits.recordUnknown(unknown, sentAt);
    this.updateLimit();
    if (unknown === 0 && this.events.settle(sentAt) && !this.joined) this.join();
    this.startWaitingTasks();
  }

  private join(): void {
    this.joined = true;
    if (this.known.reviewDelay(this.calls)) this.logSkippedReport(this.report);
    const { name: upstream, service } = this;
    this.events.log('upstream-joined', { upstream, token: this.calls.token, service });
    this.events.join();
    this.events.change();
  }

  /**
   * Handles a failed renewal; once all leases have expired, the upstream is unreachable and its tasks are
   * lost.
   */
  private handleUnresponsive(error: unknown): void {
    if (!this.reachable || !this.calls.hasLapsedFor(this.bounds.stopMs)) return;
    this.reachable = false;
    this.events.log('upstream-unreachable', { upstream: this.name, error: String(error), tasks: this.load });
    this.finishAllAsLost('unreachable', error);
    this.dropWaiting('unreachable');
    // A start without an answer may still be executed later, when its task has been started elsewhere.
    this.calls.fenceOff();
    this.events.change();
  }

  /** Finishes all tasks as lost; the reason is a crash only if the upstream did not announce its shutdown. */
  private finishAllAsLost(reason: string, error: unknown): void {
    const isPlanned = this.leaving || this.report.isDraining;
    const crashed = !isPlanned && isCrash(reason, error);
    if (crashed && this.tasks.size > 0)
      this.events.log('upstream-crashed', { upstream: this.name, reason, tasks: this.tasks.size });
    for (const task of [...this.tasks.values()])
      this.finish(task, 'lost', crashed ? findLossReason(task, reason) : reason);
  }

  private canStart(task: LocalTask): boolean {
    if (this.state !== 'ready' || this.isLimited || this.tasks.has(task.key)) return false;
    const health = this.readHealth();
    if (health === 'suspect' || (health === 'probation' && this.tasks.size > 0)) return false;
    return fitResources(task.order.resources, this.free);
  }

  private startTask(task: LocalTask, now: number): void {
    this.applyEvent(task, 'begin');
    task.sentAt = now;
    task.run = this.runs.take(task.key);
    this.tasks.set(task.key, task);
    this.used = addResources(this.used, task.order.resources);
    assertInvariant(fitResources(this.used, this.report.capacity), 'starts never exceed the capacity');
    void this.orders.start(task);
    this.events.change();
  }

  private confirm(task: LocalTask, now: number): void {
    if (task.phase !== 'starting') return;
    this.applyEvent(task, 'confirm');
    task.confirmedAt = now;
    task.percentAt = now;
    task.sampledAt = now;
  }

  /** Stops a task that its dispatcher or caller has given up, and that may soon be started elsewhere. */
  private giveUp(task: LocalTask, reason: string, endBy?: number): void {
    this.limits.fix(task, endBy);
    this.stopTask(task, reason);
  }

  private stopTask(task: LocalTask, reason: string): void {
    if (task.phase === 'stopping' || task.phase === 'ended') return;
    this.applyEvent(task, 'stop');
    task.stopReason = reason;
    void this.orders.stop(task);
  }

  private recordProgress(task: LocalTask, percent: number, now: number): void {
    const share = Math.max(0, percent - task.percent) / 100;
    const { key, order } = task;
    const elapsedMs = now - task.sampledAt;
    this.speedMeter.record({ key, share, estimateMs: order.estimateMs, elapsedMs }, now);
    task.sampledAt = now;
    if (share === 0) return;
    task.percent = percent;
    task.percentAt = now;
  }

  private recordFailure(task: LocalTask, now: number): void {
    if (this.healthMeter.recordFailure(task.order.name.job, now)) {
      this.events.log('upstream-suspect', { upstream: this.name });
      this.events.change();
    }
  }

  private finish(task: LocalTask, end: AttemptEnd, reason: string): void {
    if (task.phase === 'ended') return;
    const now = this.clock.now();
    this.applyEvent(task, 'end');
    this.tasks.delete(task.key);
    this.speedMeter.recordEnd(task.key, end === 'done', now);
    this.used = subtractResources(this.used, task.order.resources);
    if (end === 'done') this.healthMeter.recordSuccess();
    if (end === 'failed') this.recordFailure(task, now);
    const usesStopReason = task.stopReason !== '' && reason !== UPSTREAM_CRASHED;
    this.events.finish(task, end, usesStopReason ? task.stopReason : reason);
    this.events.change();
    if (this.isOver) return;
    if (this.leaving && this.load === 0) this.close('left');
    else this.startWaitingTasks();
  }

  private dropStart(task: LocalTask, reason: string): void {
    if (!this.waiting.remove(task)) return;
    this.applyEvent(task, 'stop');
    this.events.finish(task, 'not-run', reason);
  }

  /** Returns all waiting tasks as not run, except those of which an earlier run may go on here. */
  dropWaiting(reason: string): void {
    for (const task of this.waiting.list()) if (!this.tasks.has(task.key)) this.dropStart(task, reason);
  }

  private applyEvent(task: LocalTask, event: LocalEvent): void {
    task.phase = stepMachine(LOCAL_TASK_TABLE, task.phase, event);
  }
}
