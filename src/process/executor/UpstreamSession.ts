/**
 * One life of one upstream, as its only user sees it: exact room, lease, starts, stops and ends.
 *
 * A task takes room from before its start is sent until its end is certain: listed by the upstream, confirmed
 * never to have begun, or past every lease that was given. Orders are repeated when no answer comes; they carry
 * the run's number and a near lease, so that a late copy does nothing.
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
import type { FencingTokens } from './FencingTokens.js';
import { createLocalTask, isAttempt, LOCAL_TASK_TABLE } from './localTask.js';
import type { LocalEvent, LocalTask } from './localTask.js';
import { RunHistory } from './RunHistory.js';
import { RunLists } from './RunLists.js';
import { RunOrders } from './RunOrders.js';
import type { SessionBounds, SessionEvents } from './sessionEvents.js';
import { createSpeedMeter } from './SpeedMeter.js';
import type { SpeedMeter } from './SpeedMeter.js';
import { HealthMeter } from './HealthMeter.js';
import { UpstreamCalls } from './UpstreamCalls.js';
import { findReturnReason, OVERDUE_MS, WaitingStarts } from './WaitingStarts.js';

/** Pause before a renewal that brought nothing is repeated, ms. */
const REPEAT_PAUSE_MS = 15;
/** Pause between two looks at an upstream that is out of reach, ms. */
const UNREACHABLE_PAUSE_MS = 150;
/** A life of an upstream. */
export class UpstreamSession {
  readonly tasks = new Map<string, LocalTask>();
  private readonly waiting = new WaitingStarts();
  private readonly calls: UpstreamCalls;
  private readonly orders: RunOrders;
  private readonly lists: RunLists;
  private readonly speedMeter: SpeedMeter;
  private told: UpstreamDescription;
  private readonly trustMeter = new HealthMeter();
  private readonly runs = new RunHistory();
  private used: Resources = NO_RESOURCES;
  private joined = false;
  private closed = false;
  private supersededSince: number | undefined;
  private leaving = false;
  private reachable = true;

  /**
   * @param report - what is known of this life
   * @param described - whether the life itself has said it; else it takes no work until it has
   * @param executor - the way to the upstream
   * @param clock - of this process
   * @param tokens - of this process
   * @param bounds - to keep to
   * @param events - what to tell
   */
  constructor(
    private report: UpstreamReport,
    private described: boolean,
    executor: UpstreamApi,
    private readonly clock: Clock,
    tokens: FencingTokens,
    private readonly bounds: SessionBounds,
    private readonly events: SessionEvents,
  ) {
    const now = clock.now();
    this.calls = new UpstreamCalls(executor, report, bounds, clock, tokens, {
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
    this.lists = new RunLists(this.tasks, this.runs, {
      confirm: (task, at) => this.confirm(task, at),
      recordProgress: (task, percent, at) => this.recordProgress(task, percent, at),
      finish: (task, end, reason) => this.finish(task, end, reason),
      stopUnknown: (name) => this.orders.stopUnknown(name),
    });
    this.speedMeter = createSpeedMeter(bounds.speedMeasure ?? 'mean', now);
    this.told = describeReport(report);
  }

  get id(): string {
    return this.report.id;
  }

  get bornAt(): number | undefined {
    return this.report.bornAt;
  }

  /** Names this life. */
  get name(): string {
    return buildIncarnationName(this.report);
  }

  /** What is known of this life. */
  get newestReport(): UpstreamReport {
    return this.report;
  }

  /** Whether this life has reported itself. */
  get isDescribed(): boolean {
    return this.described;
  }

  /** Whether this life has answered and been fenced, and runs nothing unknown. */
  get isJoined(): boolean {
    return this.joined;
  }

  /** Whether another life of the upstream has taken the place of this one. */
  get isSuperseded(): boolean {
    return this.supersededSince !== undefined;
  }

  /** Since when that is known; undefined while it has not. */
  get supersededAt(): number | undefined {
    return this.supersededSince;
  }

  get service(): string {
    return this.report.service;
  }

  /** What entries are told of the upstream; another object only when it has changed. */
  get description(): UpstreamDescription {
    return this.told;
  }

  get isReachable(): boolean {
    return this.reachable;
  }

  /** Whether this life of the upstream is over for the agent. */
  get isClosed(): boolean {
    return this.closed;
  }

  /** What may be started now. */
  get free(): Resources {
    if (this.state !== 'ready') return NO_RESOURCES;
    return subtractResources(this.report.capacity, this.used);
  }

  get state(): UpstreamState {
    if (this.isOver || !this.reachable) return 'absent';
    if (this.report.isDraining || this.leaving) return 'draining';
    if (!this.joined || !this.described) return 'joining';
    return this.calls.isAnswering ? 'ready' : 'silent';
  }

  /** Trust from failures. */
  readTrust(): ReturnType<HealthMeter['read']> {
    return this.trustMeter.read(this.clock.now());
  }

  /** Work per ms, in ms of estimates. */
  readSpeed(): number {
    return this.speedMeter.read(this.clock.now());
  }

  /** Takes a newer report of the same life. */
  update(report: UpstreamReport): void {
    if (report.sequence < this.report.sequence) return this.logPassedOver(report);
    const before = this.state;
    const { capacity } = this.report;
    this.report = report;
    this.described = true;
    const told = describeReport(report);
    if (JSON.stringify(told) !== JSON.stringify(this.told)) this.told = told;
    if (this.state !== before) {
      this.events.log('upstream-state', { upstream: this.name, state: this.state });
      if (this.state === 'draining') this.dropWaiting('draining');
      this.events.change();
    }
    if (!equalResources(capacity, report.capacity)) this.followCapacity(capacity);
  }

  /** Room has shrunk or grown: what cannot fit any more goes back at once, and what fits now begins. */
  private followCapacity(before: Resources): void {
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
      if (this.isOverfull || !fitResources(task.order.resources, capacity)) this.dropOne(task, 'full');
    }
    this.beginWaiting();
    this.events.changeCapacity(this.report, before);
  }

  /** Whether more takes room than there is since it has shrunk: nothing may begin then. */
  private get isOverfull(): boolean {
    return !fitResources(this.used, this.report.capacity);
  }

  /** A start is about to be repeated: stops what may not run on, and the start itself where its room is gone. */
  private revalidate(task: LocalTask): void {
    this.events.revalidate(this.clock.now());
    if (task.phase === 'starting' && this.isOverfull) this.stopTask(task, 'full');
  }

  private logPassedOver({ sequence, isDraining, clockMs }: UpstreamReport): void {
    const { sequence: known, clockMs: knownClockMs } = this.report;
    const fields = { upstream: this.name, sequence, known, isDraining, clockMs, knownClockMs };
    this.events.log('report-passed-over', fields);
  }

  /**
   * The upstream has said that it ends. What it runs takes room, and may run on, until its end is listed or its lease
   * is over: the upstream's process outlives its word.
   */
  leave(): void {
    this.leaving = true;
    this.dropWaiting('left');
    if (this.load === 0) this.close('left');
    else this.events.change();
  }

  /** Takes an order; it starts as soon as it fits, or ends as not run. */
  offer(order: StartOrder, owner: string): void {
    const now = this.clock.now();
    const task = createLocalTask(buildTaskKey(order.name), order, owner, now);
    const other = this.tasks.get(task.key);
    if (other && other.owner !== owner) this.stopTask(other, 'submitted-elsewhere');
    this.waiting.add(task);
    this.beginWaiting();
    if (task.phase === 'waiting') void this.clock.sleep(OVERDUE_MS).then(() => this.beginWaiting());
  }

  /** Ends an attempt wherever it is; false if it is not here. */
  stop(key: string, attempt: number, owner: string, reason: string): boolean {
    const waiting = this.waiting.find(key, attempt, owner);
    if (waiting) {
      this.dropOne(waiting, reason);
      return true;
    }
    const task = this.tasks.get(key);
    if (!task || !isAttempt(task, key, attempt, owner)) return false;
    this.stopTask(task, reason);
    return true;
  }

  /** Ends everything that an entry has ordered. */
  stopOwner(owner: string, reason: string): number {
    const held = this.listHeld(owner).filter(({ phase }) => phase !== 'stopping');
    for (const task of held) {
      if (task.phase === 'waiting') this.dropOne(task, reason);
      else this.stopTask(task, reason);
    }
    return held.length;
  }

  /** Ends everything. */
  stopAll(reason: string): void {
    this.dropWaiting(reason);
    for (const task of [...this.tasks.values()]) this.stopTask(task, reason);
  }

  /** Attempts that are held for an entry. */
  listHeld(owner: string): LocalTask[] {
    return [...this.waiting.list(), ...this.tasks.values()].filter((task) => task.owner === owner);
  }

  /** Processor room that tasks take, by the entry that has ordered them, thousandths of a core. */
  sumUsed(): Map<string, number> {
    const used = new Map<string, number>();
    for (const { owner, order } of this.tasks.values())
      used.set(owner, (used.get(owner) ?? 0) + order.resources.cpuMilli);
    return used;
  }

  /** Tasks that wait or may run. */
  get load(): number {
    return this.waiting.size + this.tasks.size;
  }

  /** Whether a task is here under which upstreams have crashed. */
  get hasSuspect(): boolean {
    return [...this.waiting.list(), ...this.tasks.values()].some(({ order }) => order.isSuspect);
  }

  /** Whether nothing more is sent to this life. */
  private get isOver(): boolean {
    return this.closed || this.isSuperseded;
  }

  /** Starts what fits and lets go what has waited too long. */
  beginWaiting(): void {
    const now = this.clock.now();
    for (const task of this.waiting.list()) {
      const reason = findReturnReason(task, now);
      if (reason !== undefined) {
        this.dropOne(task, reason);
      } else if (this.canBegin(task)) {
        this.waiting.remove(task);
        this.begin(task, now);
      }
    }
  }

  /** Follows the upstream until it is gone: renews the lease, reads what runs and what has ended. */
  async run(): Promise<void> {
    while (!this.isOver) {
      this.events.revalidate(this.clock.now());
      const sentAt = this.clock.now();
      try {
        const answer = await this.calls.renew(this.lists.lastSequence, this.joined);
        if (this.isOver) return;
        this.handleLease(answer, sentAt);
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
   * Another life of the upstream has taken the place of this one: nothing more is sent. What ran here ends with `close`,
   * once it is certain that nothing of it runs in the other life, which orders may have reached.
   */
  supersede(): void {
    if (this.isOver) return;
    this.supersededSince = this.clock.now();
    this.events.log('upstream-superseded', { upstream: this.name, tasks: this.load });
    this.dropWaiting('superseded');
    this.calls.close();
    this.events.change();
  }

  /** Another session has sent calls until now that may have reached this life: the next one of ours has it refuse them. */
  takeOver(): void {
    this.calls.fenceOff();
    this.calls.handleForeignWriter();
  }

  /** Ends the session: this life of the upstream is gone, and all that ran there with it. */
  close(reason: string): void {
    if (this.closed) return;
    this.closed = true;
    this.events.log('upstream-gone', { upstream: this.name, reason, tasks: this.load });
    this.dropWaiting(reason);
    this.loseAll(reason, undefined);
    this.calls.close();
    this.events.change();
  }

  private handleLease(answer: LeaseAnswer, sentAt: number): void {
    const now = this.clock.now();
    if (answer.verdict === 'other-life') return this.close('other-life');
    if (answer.verdict === 'refused') return this.handleUnresponsive('refused');
    if (answer.verdict === 'fenced') return;
    const { bornAt } = answer;
    if (bornAt !== undefined && bornAt !== this.bornAt)
      return this.events.findOtherLife(bornAt, answer.clockMs);
    if (!this.reachable) this.events.log('upstream-reachable', { upstream: this.name });
    this.reachable = true;
    const unknown = this.lists.take(answer, sentAt, now);
    if (unknown === 0 && this.events.settle(sentAt) && !this.joined) this.join();
    this.beginWaiting();
  }

  private join(): void {
    this.joined = true;
    this.events.log('upstream-joined', {
      upstream: this.name,
      token: this.calls.token,
      service: this.service,
    });
    this.events.join();
    this.events.change();
  }

  /** No answer: once every lease that was given is over, nothing can run there any more. */
  private handleUnresponsive(error: unknown): void {
    if (!this.reachable || !this.calls.hasLapsedFor(this.bounds.stopMs)) return;
    this.reachable = false;
    this.events.log('upstream-unreachable', { upstream: this.name, error: String(error), tasks: this.load });
    this.dropWaiting('unreachable');
    this.loseAll('unreachable', error);
    // A start without an answer may be carried out seconds later, after its task has been started elsewhere.
    this.calls.fenceOff();
    this.events.change();
  }

  /** All that ran here is gone. */
  private loseAll(reason: string, error: unknown): void {
    const isPlanned = this.leaving || this.report.isDraining;
    const crashed = !isPlanned && isCrash(reason, error);
    if (crashed && this.tasks.size > 0)
      this.events.log('upstream-crashed', { upstream: this.name, reason, tasks: this.tasks.size });
    for (const task of [...this.tasks.values()])
      this.finish(task, 'lost', crashed ? findLossReason(task, reason) : reason);
  }

  private canBegin(task: LocalTask): boolean {
    if (this.state !== 'ready' || this.tasks.has(task.key)) return false;
    const trust = this.readTrust();
    if (trust === 'suspect' || (trust === 'probation' && this.tasks.size > 0)) return false;
    return fitResources(task.order.resources, this.free);
  }

  private begin(task: LocalTask, now: number): void {
    this.step(task, 'begin');
    task.sentAt = now;
    task.run = this.runs.take(task.key);
    this.tasks.set(task.key, task);
    this.used = addResources(this.used, task.order.resources);
    assertInvariant(fitResources(this.used, this.report.capacity), 'starts never exceed the room');
    void this.orders.start(task);
    this.events.change();
  }

  private confirm(task: LocalTask, now: number): void {
    if (task.phase !== 'starting') return;
    this.step(task, 'confirm');
    task.confirmedAt = now;
    task.percentAt = now;
    task.sampledAt = now;
  }

  private stopTask(task: LocalTask, reason: string): void {
    if (task.phase === 'stopping' || task.phase === 'ended') return;
    this.step(task, 'stop');
    task.stopReason = reason;
    void this.orders.stop(task);
  }

  private recordProgress(task: LocalTask, percent: number, now: number): void {
    const share = Math.max(0, percent - task.percent) / 100;
    const { key, order } = task;
    const elapsedMs = now - task.sampledAt;
    this.speedMeter.note({ key, share, estimateMs: order.estimateMs, elapsedMs }, now);
    task.sampledAt = now;
    if (share === 0) return;
    task.percent = percent;
    task.percentAt = now;
  }

  private recordFailure(task: LocalTask, now: number): void {
    if (this.trustMeter.recordFailure(task.order.name.job, now)) {
      this.events.log('upstream-suspect', { upstream: this.name });
      this.events.change();
    }
  }

  private finish(task: LocalTask, end: AttemptEnd, reason: string): void {
    if (task.phase === 'ended') return;
    const now = this.clock.now();
    this.step(task, 'end');
    this.tasks.delete(task.key);
    this.speedMeter.noteEnd(task.key, end === 'done', now);
    this.used = subtractResources(this.used, task.order.resources);
    if (end === 'done') this.trustMeter.recordSuccess();
    if (end === 'failed') this.recordFailure(task, now);
    const isStopReason = task.stopReason !== '' && reason !== UPSTREAM_CRASHED;
    this.events.finish(task, end, isStopReason ? task.stopReason : reason);
    this.events.change();
    if (this.isOver) return;
    if (this.leaving && this.load === 0) this.close('left');
    else this.beginWaiting();
  }

  private dropOne(task: LocalTask, reason: string): void {
    if (!this.waiting.remove(task)) return;
    this.step(task, 'stop');
    this.events.finish(task, 'not-run', reason);
  }

  /** Ends what waits for room, as not run. */
  dropWaiting(reason: string): void {
    for (const task of this.waiting.list()) this.dropOne(task, reason);
  }

  private step(task: LocalTask, event: LocalEvent): void {
    task.phase = stepMachine(LOCAL_TASK_TABLE, task.phase, event);
  }
}

function describeReport({ id, service, labels, capacity }: UpstreamReport): UpstreamDescription {
  return { upstream: id, service, labels, capacity };
}
