/**
 * Decides for an executor which dispatchers may have work running here, and which upstream runs it.
 *
 * Dispatchers show that they are alive by acknowledging pings. The work of a dispatcher is stopped once the
 * ping it last acknowledged is older than `orphanAfterMs`, before any lease is renewed, so that a crashed,
 * frozen or partitioned dispatcher leaves no orphaned tasks.
 */
import type { Clock } from '../../_lib/Clock.js';
import type { MessageFault } from '../../connection/peer/MessageFault.js';
import { buildTaskKey, OTHER_SUSPECT, UPSTREAM_CRASHED } from '../../connection/peer/peerMessages.js';
import type {
  EarlierCapacity,
  ExecutorHello,
  AttemptProgress,
  AttemptResult,
  CrashedTask,
  CrashNotice,
  DemandNotice,
  Ping,
  Pong,
  CapacityReport,
  StartOrder,
  StopOrder,
  UpstreamDescription,
} from '../../connection/peer/peerMessages.js';
import type { UpstreamReport } from '../../ports/UpstreamRegistry.js';
import type { UpstreamApi } from '../../ports/UpstreamApi.js';
import { NO_RESOURCES } from '../../request/dispatch/resources.js';
import type { Resources } from '../../request/dispatch/submission.js';
import { roundSpeed } from '../roundSpeed.js';
import type { CapacitySharingKind } from '../settings/dispatchSettings.js';
import { FencingTokens } from './FencingTokens.js';
import type { LocalTask } from './localTask.js';
import { CapacityShares } from './CapacityShares.js';
import { createLiveness, NOTHING_REPORTED } from './dispatcherLiveness.js';
import type { DispatcherLiveness } from './dispatcherLiveness.js';
import type { DispatcherUsage } from './CapacityShares.js';
import { UpstreamIncarnations } from './UpstreamIncarnations.js';
import { computeLongestLease } from './UpstreamLease.js';
import { UpstreamSession } from './UpstreamSession.js';
import type { SessionBounds } from './sessionEvents.js';

/** Time for which results are kept, to be sent again on a new link, ms. */
const RESULT_RETENTION_MS = 2_500;
/**
 * Most results that are kept for a dispatcher, most tasks that an upstream is given, and most rows of progress in a ping:
 * they bound the length of messages. Tasks that need no resources fit in any number.
 */
const MAX_KEPT_RESULTS = 2_500;
const MAX_UPSTREAM_TASKS = 4_000;
const MAX_PROGRESS_ROWS = 500;
/** Allowance for transit and event loop delay in the announced orphan timeout, ms. */
const ORPHAN_MARGIN_MS = 60;
/** Time after which the next report of an upstream is late, ms. */
const LATE_REPORT_MS = 2_000;
/** Time without progress after which a task is reported as stalled, ms. */
const STALL_MS = 150;
/**
 * Ratio to the typical speed below which the progress of all tasks is reported; higher than the ratio at
 * which dispatchers move tasks.
 */
const SLOW_RATIO = 0.7;
/** Fraction of the orphan timeout after which an unresponsive dispatcher gets no share of the capacity. */
const UNRESPONSIVE_RATIO = 0.6;

/** Timeouts of an executor, ms. */
export interface ExecutorBounds extends SessionBounds {
  /** Orphan timeout: age of a dispatcher's last acknowledged ping after which its work is stopped. */
  readonly orphanAfterMs: number;
}

/** Callbacks to the process that hosts the executor. */
export interface ExecutorEffects {
  readonly openApi: (report: UpstreamReport) => UpstreamApi;
  /** Sends a result on the dispatcher's link, if it has one. */
  readonly sendResult: (dispatcher: string, result: AttemptResult) => void;
  /** Sends crash notices to a dispatcher other than the one that ordered the tasks. */
  readonly sendCrashes: (dispatcher: string, notice: CrashNotice) => void;
  /** Called when an incarnation of an upstream first becomes ready for work. */
  readonly handleJoined: (report: UpstreamReport) => void;
  /** Called when the free capacity or the state has changed. */
  readonly handleChange: () => void;
  /** Called when the total capacity of an upstream has changed. */
  readonly handleCapacityChange: (report: UpstreamReport, before: Resources) => void;
  /** Called when a dispatcher is sent a share of the capacity. */
  readonly handleShareChange?: () => void;
  readonly log: (event: string, fields: Readonly<Record<string, unknown>>) => void;
}

/** State and decisions of one executor. */
export class Executor {
  private readonly liveness = new Map<string, DispatcherLiveness>();
  private readonly shares = new CapacityShares();
  private readonly incarnations: UpstreamIncarnations;
  /** Number of hello messages that were built, one for each link. */
  private builtHellos = 0;
  private leaving = false;
  /** Whether operators have emptied the executor's failure domain. */
  private isEmptied = false;
  /** Incarnation of the preferred dispatcher; empty for none. */
  private preferredIncarnation = '';

  constructor(
    private readonly identity: {
      /** Process id of the executor. */
      readonly id: string;
      readonly incarnation: string;
      readonly failureDomain: string;
      /** Start of this incarnation, Unix ms. */
      readonly startedAt: number;
    },
    private readonly bounds: ExecutorBounds,
    private readonly clock: Clock,
    private readonly effects: ExecutorEffects,
    private readonly sharing: CapacitySharingKind = 'open',
  ) {
    this.incarnations = new UpstreamIncarnations(
      clock,
      new FencingTokens(identity.startedAt, clock),
      bounds,
      {
        openApi: effects.openApi,
        handleJoined: effects.handleJoined,
        finish: (task, end, reason) => this.finish(task, end, reason),
        change: () => effects.handleChange(),
        changeCapacity: (report, before) => effects.handleCapacityChange(report, before),
        revalidate: (now) => this.expireDispatchers(now),
        findEndLimit: (owner) => this.findEndLimit(owner),
        log: effects.log,
      },
    );
  }

  /** Number of tasks that wait or may run. */
  get load(): number {
    let load = 0;
    for (const session of this.incarnations.list()) load += session.load;
    return load;
  }

  /** Handles a report of an upstream. */
  handleReport(report: UpstreamReport): void {
    this.incarnations.handleReport(report);
  }

  /** Handles a report that an earlier process has stored. */
  recall(report: UpstreamReport): void {
    this.incarnations.recall(report);
  }

  /** Whether an incarnation of an upstream may still be running. */
  hasOpenSession(name: string): boolean {
    return this.incarnations.list().some((session) => session.name === name && !session.isSuperseded);
  }

  /**
   * Handles a shutdown announcement of an upstream.
   *
   * @param upstreamId - id of the upstream
   * @param bornAt - start of its incarnation; undefined for all incarnations with this id
   */
  handleLeave(upstreamId: string, bornAt: number | undefined): void {
    this.incarnations.handleLeave(upstreamId, bornAt);
  }

  /**
   * Handles the welcome message of a dispatcher on a new link.
   *
   * @param dispatcher - incarnation of the dispatcher
   * @param openedAt - when the link was opened, monotonic ms
   * @param lagMs - how long ago the end of a caller's connection may have arrived that is not handled yet
   * @param earlier - capacity that the dispatcher remembers from an earlier incarnation of this executor
   */
  handleWelcome(dispatcher: string, openedAt: number, lagMs = 0, earlier?: EarlierCapacity): void {
    if (earlier) this.incarnations.handleEarlierCapacity(earlier, openedAt - lagMs);
    const liveness = this.recordLiveness(dispatcher, openedAt);
    // Stops of callers that left while an earlier link was down follow the welcome, and precede the first pong.
    if (liveness.handledUntil === -Infinity) liveness.handledUntil = openedAt - lagMs;
    liveness.startsSeen = 0;
    liveness.reported = NOTHING_REPORTED;
    liveness.isRetiring = false;
    this.shares.handleLinked(dispatcher);
  }

  /** Sets whether the link to a dispatcher is to be closed once no attempt is held for it. */
  setRetiring(dispatcher: string, isRetiring: boolean): void {
    this.findLiveness(dispatcher, -Infinity).isRetiring = isRetiring;
  }

  /** Sets the incarnation of the preferred dispatcher; empty for none. It is reported with the capacity. */
  setPreferred(dispatcher: string): void {
    this.preferredIncarnation = dispatcher;
  }

  /** Counts the attempts held for a dispatcher. */
  countHeld(dispatcher: string): number {
    let held = 0;
    for (const session of this.incarnations.list()) held += session.listHeld(dispatcher).length;
    return held;
  }

  /** Stops the work of an earlier incarnation of a dispatcher that has been replaced. */
  handleDispatcherReplaced(dispatcher: string): void {
    this.stopDispatcher(dispatcher, 'entry-replaced');
    this.sendUnacknowledgedCrashes(dispatcher);
    this.liveness.delete(dispatcher);
    this.shares.remove(dispatcher);
  }

  /** Free capacity. */
  get free(): Resources {
    return this.findSession()?.free ?? NO_RESOURCES;
  }

  /** Handles a notice that tasks wait at a dispatcher. */
  handleDemand(dispatcher: string, { waitingCpuMilli }: DemandNotice): void {
    this.shares.recordDemand(dispatcher, waitingCpuMilli);
  }

  /** Whether a dispatcher is sent a share of the capacity: only if it reports its demand. */
  hasShare(dispatcher: string): boolean {
    return this.sharing === 'demand' && this.shares.hasReportedDemand(dispatcher);
  }

  /**
   * Checks whether a change of capacity is to be reported to a dispatcher before its next ping.
   *
   * @param dispatcher - incarnation of the dispatcher
   * @param isWaiting - whether tasks wait there
   */
  needsCapacity(dispatcher: string, isWaiting: boolean): boolean {
    if (!this.hasShare(dispatcher)) return isWaiting;
    const { cpuMilli } = this.free;
    return this.shares.isDue(dispatcher, cpuMilli, this.listDispatcherUsage(), this.clock.now());
  }

  /**
   * Number of dispatchers with waiting tasks, and the processor capacity these tasks need, thousandths of a
   * core.
   */
  get demand(): { readonly dispatchers: number; readonly cpuMilli: number } {
    return { dispatchers: this.shares.waitingDispatchers, cpuMilli: this.shares.demand };
  }

  /** Handles the reply of a dispatcher to a ping. */
  handlePong(dispatcher: string, { at, typicalSpeed, isWaiting, waitingCpuMilli, lagMs = 0 }: Pong): void {
    // Only the first pong of a link always has the amount; later ones omit it while no tasks wait.
    const hasNoDemand = !isWaiting && this.shares.hasReportedDemand(dispatcher);
    this.shares.recordDemand(dispatcher, hasNoDemand ? 0 : waitingCpuMilli);
    const liveness = this.recordLiveness(dispatcher, at);
    liveness.handledUntil = Math.max(liveness.handledUntil, at - lagMs);
    liveness.typicalSpeed = typicalSpeed;
  }

  /**
   * Builds the first message of a link.
   *
   * @param dispatcher - last known incarnation of the dispatcher; empty for none
   */
  buildHello(dispatcher: string): ExecutorHello {
    const held = this.incarnations.list().flatMap((session) => session.listHeld(dispatcher));
    const { id, incarnation, failureDomain } = this.identity;
    const orphanMs = this.endLimitMs + ORPHAN_MARGIN_MS;
    const holding = held.map(({ order }) => order.name);
    const results = (this.liveness.get(dispatcher)?.results ?? []).map(({ result }) => result);
    const takesBatches = true;
    this.builtHellos += 1;
    const linkNumber = this.builtHellos;
    return {
      type: 'agent-hello',
      agent: id,
      life: incarnation,
      failureDomain,
      holding,
      results,
      entryLife: dispatcher,
      orphanMs,
      takesBatches,
      linkNumber,
    };
  }

  /** Handles the order of a dispatcher to start a task. */
  handleStart(dispatcher: string, order: StartOrder): void {
    const now = this.clock.now();
    this.expireDispatchers(now);
    const liveness = this.findLiveness(dispatcher, -Infinity);
    liveness.startsSeen += 1;
    const sessionOrReason = this.admitStart(order, liveness, now);
    if (sessionOrReason instanceof UpstreamSession) {
      this.shares.recordStart(dispatcher, order.resources.cpuMilli, now);
      return sessionOrReason.offer(order, dispatcher);
    }
    this.sendResult(dispatcher, {
      type: 'result',
      name: order.name,
      end: 'not-run',
      reason: sessionOrReason,
    });
  }

  /** Returns starts of a dispatcher that could not be read, as far as they could be named. */
  handleUnreadableStarts(dispatcher: string, { count, starts = [] }: MessageFault): void {
    this.findLiveness(dispatcher, -Infinity).startsSeen += count;
    for (const name of starts)
      this.sendResult(dispatcher, { type: 'result', name, end: 'not-run', reason: 'unreadable' });
  }

  /** Handles the order of a dispatcher to stop an attempt; sends nothing if the attempt is not here. */
  handleStop(dispatcher: string, { name, givenUpMs = 0 }: StopOrder): void {
    const key = buildTaskKey(name);
    const endBy = this.findEndLimit(dispatcher) - givenUpMs;
    for (const session of this.incarnations.list()) {
      if (session.stop(key, name.attempt, dispatcher, 'stopped-by-entry', endBy)) return;
    }
  }

  /** Builds a ping for a dispatcher; capacity and progress are included only if they have to be reported. */
  buildPing(dispatcher: string, version: number): Ping {
    const at = Math.floor(this.clock.now());
    const progress = this.listProgress(dispatcher);
    const capacity = this.takeCapacityReport(dispatcher, true);
    return {
      type: 'ping',
      at,
      version,
      reportAgeMs: this.findLateReportAge(),
      room: capacity,
      progress: progress.length > 0 ? progress : undefined,
    };
  }

  /** Finds how long ago the upstream last reported its capacity, if that is longer than reports take. */
  private findLateReportAge(): number | undefined {
    const ageMs = Math.round(this.findSession()?.reportAgeMs ?? 0);
    return ageMs < LATE_REPORT_MS ? undefined : ageMs;
  }

  /**
   * Returns the capacity if it differs from the one last reported to a dispatcher, and records it as
   * reported.
   */
  takeCapacityChange(dispatcher: string): CapacityReport | undefined {
    return this.takeCapacityReport(dispatcher, false);
  }

  /**
   * Returns the capacity to report, and records it as reported. A ping reports any difference from the last
   * report, even if only the number of received starts differs. Between pings, nothing is reported if the
   * dispatcher can derive its share from the last report and its own starts.
   */
  private takeCapacityReport(dispatcher: string, isPing: boolean): CapacityReport | undefined {
    const liveness = this.findLiveness(dispatcher, -Infinity);
    const { description, ...status } = this.buildStatus(dispatcher);
    const { free, isUnchanged } = this.findReportedCapacity(dispatcher, status.state);
    const details = { ...status, free, startsSeen: liveness.startsSeen };
    const reported = { description, status: JSON.stringify(status), capacity: JSON.stringify(details) };
    const isNew = description !== liveness.reported.description;
    if (!isNew && reported.capacity === liveness.reported.capacity) return undefined;
    const isDerivable =
      isUnchanged && liveness.reported.capacity !== '' && reported.status === liveness.reported.status;
    if (!isNew && !isPing && isDerivable) return undefined;
    if (this.hasShare(dispatcher) && status.state === 'ready') this.effects.handleShareChange?.();
    liveness.reported = reported;
    return { description: isNew ? description : undefined, ...details };
  }

  private buildStatus(dispatcher: string): Omit<CapacityReport, 'free' | 'startsSeen'> & {
    readonly description: UpstreamDescription;
  } {
    const { isRetiring } = this.findLiveness(dispatcher, -Infinity);
    const session = this.findSession();
    const isHome = dispatcher === this.preferredIncarnation ? true : undefined;
    if (!session) return { ...ABSENT_STATUS, isHome };
    return {
      description: session.description,
      state: this.leaving || this.isEmptied || isRetiring ? 'draining' : session.state,
      trust: session.readHealth(),
      speed: roundSpeed(session.readSpeed()),
      isHome,
      isRecalled: session.isDescribed ? undefined : true,
      isUpstreamDraining: session.state === 'draining' ? true : undefined,
    };
  }

  /**
   * Finds the free capacity to report to a dispatcher: its share if it reports its demand, else all of it.
   */
  private findReportedCapacity(
    dispatcher: string,
    state: CapacityReport['state'],
  ): { readonly free: Resources; readonly isUnchanged: boolean } {
    const { free } = this;
    // On probation one task at a time is admitted; the undivided capacity shows whether one is running.
    const isUndivided = state !== 'ready' || this.findSession()?.readHealth() !== 'healthy';
    if (isUndivided || !this.hasShare(dispatcher)) return { free, isUnchanged: false };
    const dispatchers = this.listDispatcherUsage();
    if (!dispatchers.some(({ incarnation }) => incarnation === dispatcher))
      return { free: NO_RESOURCES, isUnchanged: false };
    const { cpuMilli, isUnchanged } = this.shares.reportShare(
      dispatcher,
      free.cpuMilli,
      dispatchers,
      this.clock.now(),
    );
    return { free: { ...free, cpuMilli }, isUnchanged };
  }

  /** Lists the usage of the dispatchers that may get capacity: responsive, on links that are not retiring. */
  private listDispatcherUsage(): DispatcherUsage[] {
    const now = this.clock.now();
    const used = this.findSession()?.sumUsed();
    const usage: DispatcherUsage[] = [];
    for (const [incarnation, { acknowledgedAt, isRetiring }] of this.liveness) {
      if (isRetiring || now - acknowledgedAt > this.bounds.orphanAfterMs * UNRESPONSIVE_RATIO) continue;
      usage.push({
        incarnation,
        used: used?.get(incarnation) ?? 0,
        isPreferred: incarnation === this.preferredIncarnation,
      });
    }
    return usage;
  }

  /** Lists the progress of a dispatcher's attempts that are stalled or slow; it moves no others. */
  private listProgress(dispatcher: string): AttemptProgress[] {
    const now = this.clock.now();
    const typicalSpeed = this.liveness.get(dispatcher)?.typicalSpeed ?? 1;
    const progress: AttemptProgress[] = [];
    for (const session of this.incarnations.list()) {
      const isSlow = session.readSpeed() < typicalSpeed * SLOW_RATIO;
      for (const { phase, order, percent, percentAt } of session.listHeld(dispatcher)) {
        const stalledMs = Math.round(now - percentAt);
        if (phase !== 'running' || (!isSlow && stalledMs < STALL_MS)) continue;
        progress.push({ name: order.name, percent, stalledMs });
        if (progress.length === MAX_PROGRESS_ROWS) return progress;
      }
    }
    return progress;
  }

  /** Applies timeouts. */
  tick(): void {
    const now = this.clock.now();
    this.expireDispatchers(now);
    this.incarnations.tick(now);
  }

  /** Rejects new tasks from now on. */
  leave(): void {
    this.leaving = true;
    this.effects.handleChange();
  }

  /**
   * Sets whether operators have emptied the executor's failure domain. While it is emptied, no task is
   * started, even for dispatchers that do not have this information yet; running tasks continue.
   */
  setEmptied(isEmptied: boolean): void {
    if (isEmptied === this.isEmptied) return;
    this.isEmptied = isEmptied;
    if (isEmptied) for (const session of this.incarnations.list()) session.dropWaiting(DOMAIN_EMPTIED);
    this.effects.handleChange();
  }

  /** Stops all tasks. */
  stopAll(reason: string): void {
    for (const session of this.incarnations.list()) session.stopAll(reason);
  }

  /** Closes the sessions without stopping any run: tasks are finished as lost, and their leases expire. */
  close(): void {
    for (const session of this.incarnations.list()) session.close('agent-ends');
  }

  /** Stops the work of unresponsive dispatchers, before any lease is renewed for them. */
  private expireDispatchers(now: number): void {
    for (const [dispatcher, liveness] of this.liveness) {
      const ageMs = now - liveness.acknowledgedAt;
      if (ageMs <= this.bounds.orphanAfterMs) continue;
      const stopped = this.stopDispatcher(dispatcher, 'entry-silent');
      if (stopped > 0)
        this.effects.log('entry-silent', { entryLife: dispatcher, ageMs: Math.round(ageMs), stopped });
      this.sendUnacknowledgedCrashes(dispatcher);
      while (liveness.results[0] && now - liveness.results[0].at > RESULT_RETENTION_MS)
        liveness.results.shift();
      if (ageMs <= DISPATCHER_EXPIRY_MS) continue;
      this.liveness.delete(dispatcher);
      this.shares.remove(dispatcher);
    }
  }

  /**
   * Sends crash notices that a dispatcher has not acknowledged to another one, as callers submit the tasks
   * again to another dispatcher.
   */
  private sendUnacknowledgedCrashes(dispatcher: string): void {
    const liveness = this.findLiveness(dispatcher, -Infinity);
    const unacknowledged = liveness.results.filter(({ crash, at }) => crash && at > liveness.acknowledgedAt);
    if (unacknowledged.length === 0) return;
    const recipient = this.findLiveDispatcher(dispatcher);
    if (recipient === undefined) return;
    liveness.results = liveness.results.filter((kept) => !unacknowledged.includes(kept));
    const tasks = unacknowledged.flatMap(({ crash }) => crash ?? []);
    this.effects.sendCrashes(recipient, { type: 'crashes', tasks });
    this.effects.log('crashes-handed-over', { entryLife: dispatcher, heir: recipient, tasks: tasks.length });
  }

  /** Finds the dispatcher with the newest acknowledged ping, other than the excluded one. */
  private findLiveDispatcher(excluded: string): string | undefined {
    const earliest = this.clock.now() - this.bounds.orphanAfterMs;
    let [best, bestAt]: [string | undefined, number] = [undefined, earliest];
    for (const [dispatcher, { acknowledgedAt }] of this.liveness)
      if (dispatcher !== excluded && acknowledgedAt > bestAt) [best, bestAt] = [dispatcher, acknowledgedAt];
    return best;
  }

  /** Time after the newest acknowledged ping of a dispatcher by which its runs are over at the latest, ms. */
  private get endLimitMs(): number {
    return this.bounds.orphanAfterMs + computeLongestLease(this.bounds);
  }

  private findEndLimit(dispatcher: string): number {
    return (this.liveness.get(dispatcher)?.handledUntil ?? -Infinity) + this.endLimitMs;
  }

  private stopDispatcher(dispatcher: string, reason: string): number {
    let stopped = 0;
    for (const session of this.incarnations.list()) stopped += session.stopOwner(dispatcher, reason);
    return stopped;
  }

  /** Selects the session for a start, or returns the reason to reject the start. */
  private admitStart(order: StartOrder, liveness: DispatcherLiveness, now: number): string | UpstreamSession {
    if (this.leaving) return 'leaving';
    if (this.isEmptied) return DOMAIN_EMPTIED;
    if (now > order.expiresAt) return 'expired';
    if (now - liveness.acknowledgedAt > this.bounds.orphanAfterMs) return 'entry-unproven';
    const session = this.findSession();
    if (!session || session.state !== 'ready') return 'no-upstream';
    if (session.service !== order.service) return 'other-service';
    if (session.load >= MAX_UPSTREAM_TASKS) return 'full';
    if (order.isSuspect && session.hasSuspect) return OTHER_SUSPECT;
    return session;
  }

  /** Finds the session to use, by preference of its state. */
  private findSession(): UpstreamSession | undefined {
    let best: UpstreamSession | undefined;
    for (const session of this.incarnations.list()) {
      if (session.isClosed) continue;
      if (!best || STATE_PREFERENCE.indexOf(session.state) < STATE_PREFERENCE.indexOf(best.state))
        best = session;
    }
    return best;
  }

  /** Records an acknowledged ping; work that has expired before is stopped first. */
  private recordLiveness(dispatcher: string, acknowledgedAt: number): DispatcherLiveness {
    this.expireDispatchers(this.clock.now());
    const liveness = this.findLiveness(dispatcher, acknowledgedAt);
    liveness.acknowledgedAt = Math.max(liveness.acknowledgedAt, acknowledgedAt);
    return liveness;
  }

  private findLiveness(dispatcher: string, acknowledgedAt: number): DispatcherLiveness {
    let liveness = this.liveness.get(dispatcher);
    if (!liveness) this.liveness.set(dispatcher, (liveness = createLiveness(acknowledgedAt)));
    return liveness;
  }

  private finish(task: LocalTask, end: AttemptResult['end'], reason: string): void {
    const result: AttemptResult = { type: 'result', name: task.order.name, end, reason };
    if (end !== 'done') {
      const { key, run, owner } = task;
      const { attempt } = task.order.name;
      const waitedMs = Math.round((task.sentAt ?? this.clock.now()) - task.receivedAt);
      const names = { task: key, run, attempt, entryLife: owner };
      this.effects.log('task-ended', { ...names, end, reason, percent: task.percent, waitedMs });
    }
    this.sendResult(task.owner, result, this.findCrash(task, reason));
  }

  private findCrash({ order, sentAt }: LocalTask, reason: string): CrashedTask | undefined {
    if (reason !== UPSTREAM_CRASHED) return undefined;
    const { job, step, index } = order.name;
    const ranMs = Math.round(this.clock.now() - (sentAt ?? this.clock.now()));
    const isIsolated = order.isSuspect === true;
    return { job, step, index, estimateMs: order.estimateMs, ranMs, isIsolated };
  }

  private sendResult(dispatcher: string, result: AttemptResult, crash?: CrashedTask): void {
    const now = this.clock.now();
    const liveness = this.findLiveness(dispatcher, -Infinity);
    const { results } = liveness;
    // The dispatcher counts the capacity of an ended attempt as free until the next report, so that one is
    // sent even if nothing has changed.
    liveness.reported = { ...liveness.reported, capacity: '' };
    results.push({ at: now, result, crash });
    while (results[0] && (now - results[0].at > RESULT_RETENTION_MS || results.length > MAX_KEPT_RESULTS))
      results.shift();
    this.effects.sendResult(dispatcher, result);
  }
}

/** Reason for rejecting starts while the executor's failure domain is emptied. */
const DOMAIN_EMPTIED = 'domain-emptied';

/** Time after which unresponsive dispatchers are removed, ms. */
const DISPATCHER_EXPIRY_MS = 10_000;

const STATE_PREFERENCE = ['ready', 'silent', 'joining', 'draining', 'absent'] as const;

const ABSENT_DESCRIPTION: UpstreamDescription = {
  upstream: '',
  service: '',
  labels: [],
  capacity: NO_RESOURCES,
};

const ABSENT_STATUS = {
  description: ABSENT_DESCRIPTION,
  state: 'absent',
  trust: 'healthy',
  speed: 1,
} as const;
