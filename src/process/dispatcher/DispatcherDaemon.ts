/** The dispatcher process: callers, links to executors and dispatchers, configuration, life cycle. */
import { setTimeout as sleep } from 'node:timers/promises';

import { ClockTimeline } from '../../_lib/Timeline.js';
import { createRandom } from '../../_lib/createRandom.js';
import type { InputGuard } from '../../connection/input/InputGuard.js';
import type { LineChannel } from '../../connection/peer/LineChannel.js';
import { PeerListener } from '../../connection/peer/PeerListener.js';
import type { AttemptResult, DispatcherPlace, PeerMessage } from '../../connection/peer/peerMessages.js';
import type { Caller, CallerGateway, JobService, JobState, RejectReason } from '../../ports/CallerGateway.js';
import type { ConfigurationSource } from '../../ports/ConfigurationSource.js';
import type { JobSubmission } from '../../request/dispatch/submission.js';
import type { Configuration, QueueRoute } from '../../version/configuration.js';
import { DroppedRoutes } from '../../version/DroppedRoutes.js';
import type { EmptiedDomains } from '../../version/emptiedDomains.js';
import { createDaemonClock } from '../createDaemonClock.js';
import { createFaultReporter } from '../createFaultReporter.js';
import { createIncarnation } from '../createIncarnation.js';
import { deriveDispatchTimes } from '../dispatchTimes.js';
import { createLogSink } from '../createLogSink.js';
import { createLogger } from '../logger.js';
import type { LogFields, ProcessLogger } from '../logger.js';
import { MAX_MEMBERS_PER_MESSAGE, MemberTable } from '../MemberTable.js';
import { OperatorExchange } from '../OperatorExchange.js';
import type { UpdateSource } from '../OperatorExchange.js';
import { PauseGuard } from '../PauseGuard.js';
import { MetricsServer } from '../MetricsServer.js';
import type { DispatchSettings } from '../settings/dispatchSettings.js';
import { reportClosedInput } from '../reportClosedInput.js';
import { startTimer } from '../startTimer.js';
import { JobBounds } from '../../request/dispatch/JobBounds.js';
import { buildExecutorId } from './ExecutorView.js';
import { AnswerLog } from './AnswerLog.js';
import { DecisionLog } from './DecisionLog.js';
import { DemandReporter } from './DemandReporter.js';
import { Dispatcher } from './Dispatcher.js';
import { HeldSubmissions } from './HeldSubmissions.js';
import { computeCriticalPathMs } from './dispatchJob.js';
import { buildDispatcherMetrics, describePriority } from './dispatcherMetrics.js';
import { createAdmission } from './createAdmission.js';
import { createPlacement } from './createPlacement.js';
import { createSendWindow } from './createSendWindow.js';
import { createTaskOrder } from './createTaskOrder.js';
import { CANCELLED } from './refusals.js';
import { DispatcherNotices } from './DispatcherNotices.js';
import { DispatcherPeers } from './DispatcherPeers.js';

/** Interval between checks of deadlines and unresponsive executors, ms. */
const TICK_MS = 40;
/**
 * Interval between pings of another dispatcher, ms. An unresponsive link is usually detected within two
 * intervals; this is not urgent, since executors also pass on configurations and members, and each ping costs
 * both sides a message.
 */
const PEER_PING_MS = 1_000;
/** Interval between member lists to every executor, ms, and the number of other members in each. */
const MEMBERS_INTERVAL_MS = 4_000;
const MEMBERS_PER_MESSAGE = 12;
/**
 * Minimum time that a stopping dispatcher stays reachable, ms: two and a half check intervals of the load
 * balancer, which checks once a second.
 */
const BALANCER_NOTICE_MS = 2_500;
/**
 * Multiple of a job's critical path that must fit before a stopping dispatcher exits; estimates are rough,
 * and tasks may have to wait.
 */
const LEAVING_PATH_FACTOR = 2;
/** Retry delay that a stopping dispatcher sends, ms; the load balancer has removed it by then. */
const LEAVING_RETRY_MS = 1_000;
/** Time of the grace period reserved to answer the remaining jobs and exit, ms. */
const END_MARGIN_MS = 500;

/**
 * Lag that is not reported to executors, ms; the time between the end of a run and the return of its caller
 * allows for it.
 */
const MIN_REPORTED_LAG_MS = 50;

const SECOND_MS = 1_000;

/** Adapters of a dispatcher process. */
export interface DispatcherPorts {
  readonly gateway: CallerGateway;
  readonly source: ConfigurationSource;
  /** Bounds what clients make the process keep, at all its listeners. */
  readonly guard: InputGuard;
}

/** A dispatcher process. */
export class DispatcherDaemon implements JobService {
  private readonly clock = createDaemonClock((event, fields) => this.logDecision(event, fields));
  private readonly incarnation: string;
  private readonly place: DispatcherPlace;
  private readonly logger: ProcessLogger;
  private readonly metrics: MetricsServer;
  private readonly answers: AnswerLog;
  private readonly decisions: DecisionLog;
  private readonly dispatcher: Dispatcher;
  private readonly listener: PeerListener;
  private readonly peers: DispatcherPeers;
  private readonly members = new MemberTable();
  private readonly exchange: OperatorExchange;
  private readonly notices: DispatcherNotices;
  private readonly pauseGuard: PauseGuard;
  private readonly channels = new Map<string, LineChannel>();
  private readonly executorIds = new Map<LineChannel, string>();
  private readonly dispatcherChannels = new Set<LineChannel>();
  private leavingAt: number | undefined;
  private placementScheduled = false;
  private readonly demand: DemandReporter;
  private readonly held: HeldSubmissions;
  private readonly droppedRoutes: DroppedRoutes;

  constructor(
    private settings: DispatchSettings,
    private readonly ports: DispatcherPorts,
  ) {
    const incarnation = createIncarnation(settings.id, Date.now());
    this.incarnation = incarnation;
    const { address, advertisedAddress, linkPort, failureDomain } = settings;
    const host = advertisedAddress === '' ? address : advertisedAddress;
    this.place = { address: `${host}:${linkPort}`, failureDomain };
    this.logger = createLogger(incarnation, settings.logLevel, createLogSink());
    const nextRandom = createRandom(Date.now() % 1_000_000);
    this.exchange = this.createExchange(nextRandom);
    const { pingMs, orphanAfterMs } = deriveDispatchTimes(settings);
    const bounds = new JobBounds(settings);
    this.dispatcher = new Dispatcher(
      {
        pingMs,
        bounds,
        crashLimit: settings.crashLimit,
        cancelledMs: settings.cancelledSeconds * SECOND_MS,
        placement: createPlacement(settings),
        window: createSendWindow(settings),
        order: createTaskOrder(settings),
        admission: createAdmission(settings, nextRandom),
        findInputLag: (now) => this.pauseGuard.findInputLag(now),
        nextRandom,
      },
      {
        send: (executorId, message) => this.channels.get(executorId)?.send(message),
        log: (event, fields) => this.logDecision(event, fields),
        recordOutcome: (job, outcome, now) => this.answers.recordOutcome(job, outcome, now),
      },
    );
    this.demand = new DemandReporter(this.dispatcher, pingMs);
    this.droppedRoutes = new DroppedRoutes(settings.cancelledSeconds * SECOND_MS);
    this.held = new HeldSubmissions(
      () => this.hasCaughtUp(),
      ({ submission, caller, readAt }) => {
        this.dispatcher.submit(submission, caller, readAt);
        this.schedulePlacement();
      },
    );
    this.notices = new DispatcherNotices(this.dispatcher, new ClockTimeline(this.clock), {
      applyInput: (input) => this.applyInput(input),
      log: (event, fields) => this.logDecision(event, fields),
    });
    const gauges = {
      readOpenJobs: () => this.openJobs,
      readWaitingTasks: () => this.dispatcher.waitingTasks,
      readSuspects: () => this.dispatcher.suspects.size,
      readCancelledJobs: () => this.dispatcher.cancelled.size,
      readWaitingByPriority: () =>
        this.dispatcher.countWaitingBy(({ priority }) => describePriority(priority)),
      readForecastCores: () => this.dispatcher.forecastCores,
      readExecutors: () => this.channels.size,
      readConfigurationVersion: () => this.exchange.versions.version,
      readEmptiedDomains: () => this.exchange.emptied?.domains.length ?? 0,
      readEmptiedRevision: () => this.exchange.versions.emptiedRevision,
    };
    const { guard } = ports;
    this.metrics = new MetricsServer(
      settings.metricsAddress,
      buildDispatcherMetrics(gauges, guard.budget),
      guard,
    );
    const readNow = (): number => this.clock.now();
    const logsPlacements = (): boolean => this.settings.decisionLog;
    this.decisions = new DecisionLog(this.logger, this.metrics, readNow, logsPlacements);
    this.answers = new AnswerLog(this.logger, this.metrics, () => this.exchange.versions.version);
    reportClosedInput(guard, this.logger, (labels) =>
      this.metrics.increment('dispatcher_input_closed', labels),
    );
    this.pauseGuard = new PauseGuard(this.clock.now(), (gapMs) => {
      this.logger.warn('paused', { gapMs: Math.round(gapMs), openJobs: this.openJobs });
      this.peers.handlePause();
      this.held.applyPause(this.pauseGuard.findStaleTurns(this.clock.now()));
      if (gapMs > orphanAfterMs) this.dispatcher.endAll('paused', this.clock.now());
    });
    const recordFault = createFaultReporter(this.logger, readNow, (labels) =>
      this.metrics.increment('dispatcher_message_faults', labels),
    );
    const events = {
      receive: (channel: LineChannel, message: PeerMessage) => this.receive(channel, message),
      close: (channel: LineChannel, reason: string) => this.closeChannel(channel, reason),
      recordFault,
    };
    this.listener = new PeerListener(events, guard);
    this.peers = new DispatcherPeers(
      { id: settings.id, place: this.place, linkPort },
      this.exchange,
      this.clock,
      {
        recordMembers: (dispatchers) => this.recordMembers(dispatchers, this.clock.now()),
        notices: this.notices,
        log: (event, fields) => this.logger.info(event, fields),
        recordFault,
      },
      nextRandom,
    );
  }

  get configuration(): Configuration | undefined {
    return this.exchange.configuration;
  }

  get isReady(): boolean {
    if (this.leavingAt !== undefined || !this.configuration) return false;
    return this.dispatcher.hasExecutors(this.clock.now());
  }

  get isLeaving(): boolean {
    return this.leavingAt !== undefined;
  }

  /** Number of jobs whose caller waits, also of those that are not handled yet. */
  private get openJobs(): number {
    return this.dispatcher.openJobs + this.held.size;
  }

  /** Starts to listen, to dial other dispatchers and to follow the configuration. */
  async start(): Promise<void> {
    this.logger.info('started', { ...this.place });
    await this.listener.start(this.settings.address, this.settings.linkPort);
    await this.ports.gateway.start(this);
    this.ports.source.start({
      adopt: (configuration) => this.exchange.adoptConfiguration(configuration, 'store'),
      adoptEmptied: ({ revision, domains }) => {
        const known = domains.filter((domain) => this.isKnownDomain(domain));
        this.exchange.adoptEmptied({ revision, domains: known }, 'store');
      },
      changeDomain: (change) => {
        if (this.isKnownDomain(change.domain)) this.exchange.changeDomain(change, 'store');
      },
      reportFindings: (subject, findings) => {
        this.logger.warn(`${subject}-rejected`, { findings, ...this.exchange.versions });
      },
      reportState: (state, detail) => this.logger.warn('store', { state, detail }),
    });
    this.peers.recordSeeds(this.settings.seeds);
    this.metrics.start();
    startTimer(this.logger, 'tick', TICK_MS, () => this.applyInput((now) => this.dispatcher.tick(now)));
    startTimer(this.logger, 'peers', PEER_PING_MS, () => {
      this.peers.updateMembers(this.members.list(this.clock.now()));
      this.peers.ping();
    });
    startTimer(this.logger, 'members', MEMBERS_INTERVAL_MS, () => this.sendSomeMembers());
  }

  /** Applies changed settings and dials new seeds. Settings that are read at creation need a restart. */
  reload(settings: DispatchSettings): void {
    this.logger.info('reloaded', { seeds: settings.seeds });
    this.settings = settings;
    this.peers.recordSeeds(settings.seeds);
  }

  /** Stops gracefully: accepts and serves jobs within the grace period, then answers all open jobs. */
  async stop(): Promise<void> {
    if (this.leavingAt !== undefined) return;
    const leavingAt = this.clock.now();
    this.leavingAt = leavingAt;
    const endAt = this.computeEndAt(leavingAt);
    this.logger.info('leaving', { openJobs: this.openJobs });
    while (this.clock.now() < endAt) {
      if (this.openJobs === 0 && this.clock.now() > leavingAt + BALANCER_NOTICE_MS) break;
      await sleep(TICK_MS / 2);
    }
    const { openJobs } = this;
    this.held.endAll({ kind: 'refused', reason: 'entry-ends', retryAfterMs: LEAVING_RETRY_MS });
    this.dispatcher.endAll('entry-ends', this.clock.now());
    await sleep(TICK_MS / 2);
    await this.ports.gateway.stop();
    this.ports.source.stop();
    this.metrics.stop();
    this.peers.stop();
    this.logger.info('stopped', { openJobs });
    this.logger.flush();
  }

  submit(submission: JobSubmission, caller: Caller): void {
    const now = this.clock.now();
    this.pauseGuard.update(now);
    if (!this.canAccept(submission, now)) {
      this.logger.info('refuse', { job: submission.id, reason: 'leaving' });
      return caller.answer({ kind: 'refused', reason: 'leaving', retryAfterMs: LEAVING_RETRY_MS });
    }
    const turns = this.pauseGuard.findStaleTurns(now);
    if (turns > 0) this.logDecision('submission-held', { job: submission.id, turns });
    this.held.add({ submission, caller, readAt: now }, turns);
  }

  private createExchange(nextRandom: () => number): OperatorExchange {
    const { linkMbps } = this.settings;
    return new OperatorExchange(
      {
        changeConfiguration: (configuration, before, from) =>
          this.applyConfiguration(configuration, before, from),
        changeEmptied: (emptied, from) => this.applyEmptied(emptied, from),
        recordFault: (version, problem) =>
          this.logDecision('configuration-unavailable', { version, problem }),
      },
      { usesRoutes: true, linkMbps, timeline: new ClockTimeline(this.clock), nextRandom },
    );
  }

  /** Whether a job can be accepted: a stopping process takes only jobs likely to end before it exits. */
  private canAccept({ steps }: JobSubmission, now: number): boolean {
    if (this.leavingAt === undefined) return true;
    const criticalPathMs = computeCriticalPathMs(steps) / this.dispatcher.typicalSpeed;
    return now + criticalPathMs * LEAVING_PATH_FACTOR <= this.computeEndAt(this.leavingAt);
  }

  /** Computes when a stopping process answers its open jobs and exits. */
  private computeEndAt(leavingAt: number): number {
    return leavingAt + this.settings.graceSeconds * 1_000 - END_MARGIN_MS;
  }

  recordRejected(jobId: string, status: number, reason: RejectReason, detail: string): void {
    this.answers.recordRejected({ jobId, status, reason, detail }, this.clock.now());
  }

  recordFailure(call: string, error: unknown): void {
    this.answers.recordFailure(call, error);
  }

  abandon(jobId: string, caller: Caller): void {
    if (this.held.abandon(caller)) return this.logDecision('stale-submission', { job: jobId });
    this.applyInput((now) => this.dispatcher.abandon(jobId, caller, now));
  }

  findState(jobId: string): JobState | undefined {
    return this.held.has(jobId) ? 'pending' : this.dispatcher.findState(jobId);
  }

  cancel(jobId: string): boolean {
    const now = this.clock.now();
    this.pauseGuard.update(now);
    const isNew = !this.dispatcher.cancelled.has(jobId);
    const wasHeld = this.held.end(jobId, CANCELLED);
    const isOpen = this.dispatcher.cancel(jobId, now) || wasHeld;
    this.logDecision('cancel', { job: jobId, isOpen, isNew });
    if (isNew) this.notices.sendCancelled(jobId);
    // The job may be open at another dispatcher, which is told.
    return isOpen || this.members.list(now).length > 0;
  }

  findDroppedRoute(host: string, path: string): QueueRoute | undefined {
    return this.droppedRoutes.find(host, path, this.clock.now());
  }

  countPending(routeName: string): number {
    return this.held.countPending(routeName) + this.dispatcher.countPending(routeName);
  }

  /** Whether all input has been read that arrived while the process was paused. */
  private hasCaughtUp(): boolean {
    this.pauseGuard.update(this.clock.now());
    return !this.pauseGuard.isCatchingUp;
  }

  /** Applies an input, and places tasks after all pending inputs are applied. */
  private applyInput(input: (now: number) => void): void {
    if (!this.hasCaughtUp()) setImmediate(() => this.applyInput(input));
    else input(this.clock.now());
    this.schedulePlacement();
  }

  private schedulePlacement(): void {
    if (this.placementScheduled) return;
    this.placementScheduled = true;
    setImmediate(() => {
      this.placementScheduled = false;
      if (!this.hasCaughtUp()) return this.schedulePlacement();
      const now = this.clock.now();
      this.dispatcher.place(now);
      this.sendDemand(now);
      this.notices.sendSuspects(this.dispatcher.suspects.takeUpdates());
    });
  }

  /** Requests immediate capacity reports while tasks wait. */
  private sendDemand(now: number): void {
    const notice = this.demand.takeNotice(now);
    if (notice) for (const channel of this.channels.values()) channel.send(notice);
  }

  private receive(channel: LineChannel, message: PeerMessage): void {
    const now = this.clock.now();
    this.pauseGuard.update(now);
    if (message.type === 'ping') {
      const lagMs = this.findReportedLag(now);
      channel.send(this.demand.buildPong(channel, message, this.exchange.versions, lagMs));
      this.exchange.compareVersions(message, channel, now);
    }
    this.handle(channel, message, now);
    if (this.dispatcher.waitingTasks > 0) this.schedulePlacement();
  }

  private handle(channel: LineChannel, message: PeerMessage, now: number): void {
    if (message.type === 'agent-hello') return this.handleExecutorHello(channel, message, now);
    if (message.type === 'entry-hello') return this.handleDispatcherHello(channel, message.place, now);
    if (this.exchange.receive(message, channel)) return;
    if (message.type === 'members') return this.recordMembers(message.entries, now);
    if (this.notices.receive(message, channel)) return;
    const executorId = this.executorIds.get(channel);
    if (executorId === undefined) return;
    if (message.type === 'ping') this.dispatcher.handlePing(executorId, message, now);
    if (message.type === 'room') this.dispatcher.handleCapacity(executorId, message, now);
    if (message.type === 'crashes') this.dispatcher.handleCrashes(executorId, message.tasks, now);
    if (message.type === 'result') this.handleResult(executorId, message, now);
  }

  private handleResult(executorId: string, result: AttemptResult, now: number): void {
    const { end, reason } = result;
    if (end === 'not-run') this.metrics.increment('dispatcher_returned_starts', { reason });
    this.dispatcher.handleResult(executorId, result, now);
  }

  /** Finds how long ago the end of a caller's connection may have arrived; undefined if not worth reporting. */
  private findReportedLag(now: number): number | undefined {
    const lagMs = Math.ceil(this.pauseGuard.findInputLag(now));
    return lagMs < MIN_REPORTED_LAG_MS ? undefined : lagMs;
  }

  private handleExecutorHello(
    channel: LineChannel,
    hello: Extract<PeerMessage, { type: 'agent-hello' }>,
    now: number,
  ): void {
    const id = buildExecutorId(hello);
    if (this.dispatcher.isLateHello(hello)) {
      this.logDecision('hello-passed-over', { agent: id, linkNumber: hello.linkNumber });
      return channel.close('late hello');
    }
    const before = this.channels.get(id);
    this.channels.set(id, channel);
    this.executorIds.set(channel, id);
    before?.close('replaced');
    if (hello.takesBatches === true) channel.allowBatches();
    const { place, incarnation } = this;
    const lagMs = this.findReportedLag(now);
    const earlierCapacity = this.dispatcher.findEarlierCapacity(hello, now);
    const names = { entry: this.settings.id, life: incarnation, place };
    channel.send({ type: 'entry-welcome', ...names, lagMs, earlierCapacity });
    const members = this.members.list(now).slice(0, MAX_MEMBERS_PER_MESSAGE - 1);
    channel.send({ type: 'members', entries: [this.place, ...members] });
    this.dispatcher.handleHello(hello, this.incarnation, now);
    this.notices.openExecutor(channel);
  }

  private handleDispatcherHello(channel: LineChannel, place: DispatcherPlace, now: number): void {
    this.dispatcherChannels.add(channel);
    this.recordMembers([place], now);
    this.exchange.sendVersions(channel);
    this.notices.open(channel);
  }

  private closeChannel(channel: LineChannel, reason: string): void {
    this.dispatcherChannels.delete(channel);
    this.notices.close(channel);
    this.exchange.handleClosed(channel);
    const id = this.executorIds.get(channel);
    this.executorIds.delete(channel);
    if (id === undefined) this.decisions.recordLinkClosed(reason);
    if (id === undefined || this.channels.get(id) !== channel) return;
    this.channels.delete(id);
    this.dispatcher.handleClose(id, reason, this.clock.now());
  }

  /** Whether a failure domain exists in the deployment; records of any other are logged and ignored. */
  private isKnownDomain(domain: string): boolean {
    const { failureDomains } = this.settings;
    if (failureDomains.length === 0 || failureDomains.includes(domain)) return true;
    this.logger.warn('evacuation-rejected', { domain, reason: 'there is no such failure domain' });
    return false;
  }

  private applyConfiguration(configuration: Configuration, before: number, from: UpdateSource): void {
    this.ports.gateway.applyConfiguration(configuration);
    this.droppedRoutes.adopt(configuration, this.clock.now());
    this.logger.info('configuration', { version: configuration.version, before, from });
    this.sendVersions();
  }

  /** Stops placement in these failure domains; running tasks continue. */
  private applyEmptied({ domains, revision }: EmptiedDomains, from: UpdateSource): void {
    this.logger.info('emptied-domains', { emptied: domains, revision, from });
    this.applyInput(() => this.dispatcher.setEmptied(domains));
    this.sendVersions();
  }

  /** Sends the current versions to other dispatchers. */
  private sendVersions(): void {
    for (const channel of this.dispatcherChannels) this.exchange.sendVersions(channel);
  }

  private recordMembers(places: readonly DispatcherPlace[], now: number): void {
    const others = places.filter(({ address }) => address !== this.place.address);
    const newMembers = this.members.record(others, now);
    if (newMembers.length === 0) return;
    this.logger.info('members', { fresh: newMembers.map(({ address }) => address) });
    this.sendMembers(newMembers);
  }

  /** Sends some members in rotation, so that the message size does not grow with the fleet. */
  private sendSomeMembers(): void {
    this.sendMembers([this.place, ...this.members.selectNext(MEMBERS_PER_MESSAGE, this.clock.now())]);
  }

  /** Sends members to executors. Executors pass on only the dispatchers that respond to them. */
  private sendMembers(dispatchers: readonly DispatcherPlace[]): void {
    const entries = dispatchers.slice(0, MAX_MEMBERS_PER_MESSAGE);
    for (const channel of this.channels.values()) channel.send({ type: 'members', entries });
  }

  private logDecision(event: string, fields: LogFields): void {
    this.decisions.record(event, fields);
  }
}
