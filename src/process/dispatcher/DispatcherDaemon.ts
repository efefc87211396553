/** The dispatcher as a process: callers, links to agents and other entries, configuration, life cycle. */
import { setTimeout as sleep } from 'node:timers/promises';

import { ClockTimeline } from '../../_lib/Timeline.js';
import { createRandom } from '../../_lib/createRandom.js';
import type { LineChannel } from '../../connection/peer/LineChannel.js';
import { PeerListener } from '../../connection/peer/PeerListener.js';
import type {
  AttemptResult,
  DispatcherPlace,
  PeerMessage,
  SuspectTask,
} from '../../connection/peer/peerMessages.js';
import type { Caller, CallerGateway, JobService, JobState } from '../../ports/CallerGateway.js';
import type { ConfigurationSource } from '../../ports/ConfigurationSource.js';
import type { JobOutcome, JobSubmission } from '../../request/dispatch/submission.js';
import type { Configuration } from '../../version/configuration.js';
import type { EmptiedDomains } from '../../version/emptiedDomains.js';
import { createDaemonClock } from '../createDaemonClock.js';
import { createIncarnation } from '../createIncarnation.js';
import { deriveDispatchTimes } from '../dispatchTimes.js';
import { LogRateLimiter } from '../LogRateLimiter.js';
import { createLogSink } from '../createLogSink.js';
import { createLogger } from '../logger.js';
import type { LogFields, ProcessLogger } from '../logger.js';
import { MemberTable } from '../MemberTable.js';
import { OperatorExchange } from '../OperatorExchange.js';
import type { UpdateSource } from '../OperatorExchange.js';
import { logFailure } from '../failures.js';
import { PauseGuard } from '../PauseGuard.js';
import { ServedMetrics } from '../ServedMetrics.js';
import type { DispatchSettings } from '../settings/dispatchSettings.js';
import { startTimer } from '../startTimer.js';
import { roundSpeed } from '../roundSpeed.js';
import { JobBounds } from '../../request/dispatch/JobBounds.js';
import { buildExecutorId } from './ExecutorView.js';
import { Dispatcher } from './Dispatcher.js';
import { findChainMs, findWork } from './dispatchJob.js';
import type { DispatchJob } from './dispatchJob.js';
import { buildDispatcherMetrics, describePriority } from './dispatcherMetrics.js';
import { createAdmission } from './createAdmission.js';
import { createPlacement } from './createPlacement.js';
import { createSendWindow } from './createSendWindow.js';
import { createTaskOrder } from './createTaskOrder.js';
import { DispatcherPeers } from './DispatcherPeers.js';

/** Between two looks at deadlines and silent agents, ms. */
const TICK_MS = 40;
/**
 * Between two pings of another entry, ms: a silent connection is noticed within two of them. Nothing waits for these links,
 * as configurations and members also come from agents; each ping costs both sides a message.
 */
const PEER_PING_MS = 1_000;
/** Between two messages about members to every peer, ms, and how many others are told in each. */
const MEMBERS_MS = 4_000;
const MEMBERS_TOLD = 12;
/** How long a leaving entry stays at least, until the balancer has noticed: two looks a second apart and a half, ms. */
const NOTICE_MS = 2_500;
/** Chains of a job's estimates that must fit before the end of a leaving entry: estimates are rough, and tasks wait. */
const LEAVING_CHAIN_FACTOR = 2;
/** Retry hint of an entry that ends, ms: the balancer has noticed by then. */
const LEAVING_RETRY_MS = 1_000;
/** Time kept from the grace period to answer what is left and end, ms. */
const END_MARGIN_MS = 500;

/** Lines on placements each second; refusals, failures and reruns are always written. */
const PLACE_LINES_PER_S = 400;

/** Outside parts of a dispatcher. */
export interface DispatcherPorts {
  readonly gateway: CallerGateway;
  readonly source: ConfigurationSource;
}

/** An entry process. */
export class DispatcherDaemon implements JobService {
  private readonly clock = createDaemonClock((event, fields) => this.logDecision(event, fields));
  private readonly life: string;
  private readonly place: DispatcherPlace;
  private readonly logger: ProcessLogger;
  private readonly metrics: ServedMetrics;
  private readonly dispatcher: Dispatcher;
  private readonly listener: PeerListener;
  private readonly peers: DispatcherPeers;
  private readonly members = new MemberTable();
  private readonly exchange: OperatorExchange;
  private readonly pauseGuard: PauseGuard;
  private readonly channels = new Map<string, LineChannel>();
  private readonly agentIds = new Map<LineChannel, string>();
  private readonly entryChannels = new Set<LineChannel>();
  private readonly placeLines = new LogRateLimiter(PLACE_LINES_PER_S);
  private leavingAt: number | undefined;
  private placing = false;
  private demandToldAt = -Infinity;
  /** Links on which an echo has told demand: from then on it is left out while nothing waits. */
  private readonly demandChannels = new WeakSet<LineChannel>();
  private readonly pingMs: number;

  constructor(
    private settings: DispatchSettings,
    private readonly ports: DispatcherPorts,
  ) {
    const peer = createIncarnation(settings.id, Date.now());
    this.life = peer;
    const { address, advertisedAddress, linkPort, failureDomain } = settings;
    const host = advertisedAddress === '' ? address : advertisedAddress;
    this.place = { address: `${host}:${linkPort}`, failureDomain };
    this.logger = createLogger(peer, settings.logLevel, createLogSink());
    const nextRandom = createRandom(Date.now() % 1_000_000);
    this.exchange = this.createExchange(nextRandom);
    const { pingMs, orphanAfterMs } = deriveDispatchTimes(settings);
    this.pingMs = pingMs;
    const bounds = new JobBounds(settings);
    this.dispatcher = new Dispatcher(
      {
        pingMs,
        bounds,
        crashLimit: settings.crashLimit,
        placement: createPlacement(settings),
        window: createSendWindow(settings),
        order: createTaskOrder(settings),
        admission: createAdmission(settings, nextRandom),
        nextRandom,
      },
      {
        send: (agent, message) => this.channels.get(agent)?.send(message),
        log: (event, fields) => this.logDecision(event, fields),
        noteOutcome: (job, outcome, now) => this.logOutcome(job, outcome, now),
      },
    );
    const gauges = {
      readOpenJobs: () => this.dispatcher.openJobs,
      readWaitingTasks: () => this.dispatcher.waitingTasks,
      readSuspects: () => this.dispatcher.suspects.size,
      readWaitingByPriority: () =>
        this.dispatcher.countWaitingBy(({ priority }) => describePriority(priority)),
      readForecastCores: () => this.dispatcher.forecastCores,
      readAgents: () => this.channels.size,
      readConfigurationVersion: () => this.exchange.versions.version,
      readEmptiedDomains: () => this.exchange.emptied?.domains.length ?? 0,
      readEmptiedRevision: () => this.exchange.versions.emptiedRevision,
    };
    this.metrics = new ServedMetrics(settings.metricsAddress, buildDispatcherMetrics(gauges));
    this.pauseGuard = new PauseGuard(this.clock.now(), (gapMs) => {
      this.logger.warn('paused', { gapMs: Math.round(gapMs), openJobs: this.dispatcher.openJobs });
      this.peers.handlePause();
      if (gapMs > orphanAfterMs) this.dispatcher.endAll('paused', this.clock.now());
    });
    this.listener = new PeerListener({
      receive: (channel, message) => this.receive(channel, message),
      close: (channel, reason) => this.closeChannel(channel, reason),
    });
    this.peers = new DispatcherPeers(
      { id: settings.id, place: this.place, linkPort },
      this.exchange,
      this.clock,
      {
        recordMembers: (entries) => this.noteMembers(entries, this.clock.now()),
        recordSuspects: (tasks) => this.adoptSuspects(tasks),
        sendFirstMessages: (channel) => this.greetWithSuspects(channel),
        log: (event, fields) => this.logger.info(event, fields),
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

  /** Starts to listen, to dial other entries and to follow the configuration. */
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
    startTimer(this.logger, 'tick', TICK_MS, () => this.turn((now) => this.dispatcher.tick(now)));
    startTimer(this.logger, 'peers', PEER_PING_MS, () => this.peers.ping());
    startTimer(this.logger, 'members', MEMBERS_MS, () => this.tellSomeMembers());
  }

  /** Takes changed settings: other seeds are dialed; all else needs a restart. */
  reload(settings: DispatchSettings): void {
    this.logger.info('reloaded', { seeds: settings.seeds });
    this.settings = settings;
    this.peers.recordSeeds(settings.seeds);
  }

  /** Stops as planned: takes jobs until the balancer has noticed, answers all, and returns. */
  async stop(): Promise<void> {
    if (this.leavingAt !== undefined) return;
    const begun = this.clock.now();
    this.leavingAt = begun;
    const endAt = this.findEndAt(begun);
    this.logger.info('leaving', { openJobs: this.dispatcher.openJobs });
    while (this.clock.now() < endAt) {
      if (this.dispatcher.openJobs === 0 && this.clock.now() > begun + NOTICE_MS) break;
      await sleep(TICK_MS / 2);
    }
    const openJobs = this.dispatcher.openJobs;
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
    if (!this.canStillServe(submission, now)) {
      this.logger.info('refuse', { job: submission.id, reason: 'leaving' });
      return caller.answer({ kind: 'refused', reason: 'leaving', retryAfterMs: LEAVING_RETRY_MS });
    }
    this.turn(() => this.dispatcher.submit(submission, caller, now));
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

  /** A leaving process serves what the balancer still sends as long as the job will probably end before the process. */
  private canStillServe({ steps }: JobSubmission, now: number): boolean {
    if (this.leavingAt === undefined) return true;
    const chainMs = findChainMs(steps) / this.dispatcher.typicalSpeed;
    return now + chainMs * LEAVING_CHAIN_FACTOR <= this.findEndAt(this.leavingAt);
  }

  /** When a process that has begun to leave answers what is open and ends. */
  private findEndAt(leavingAt: number): number {
    return leavingAt + this.settings.graceSeconds * 1_000 - END_MARGIN_MS;
  }

  recordRejected(jobId: string, status: number, reason: string): void {
    this.metrics.increment('dispatcher_answers', { outcome: 'rejected', reason });
    const { version } = this.exchange.versions;
    this.logger.info('reject', { job: jobId, status, reason, version });
  }

  recordFailure(call: string, error: unknown): void {
    this.metrics.increment('dispatcher_answers', { outcome: 'failed', reason: 'error' });
    logFailure(this.logger, 'call-failed', { call }, error);
  }

  abandon(jobId: string, caller: Caller): void {
    this.turn((now) => this.dispatcher.abandon(jobId, caller, now));
  }

  findState(jobId: string): JobState | undefined {
    return this.dispatcher.findState(jobId);
  }

  cancel(jobId: string): boolean {
    const now = this.clock.now();
    this.pauseGuard.update(now);
    return this.dispatcher.cancel(jobId, now);
  }

  countPending(routeName: string): number {
    return this.dispatcher.countPending(routeName);
  }

  /** Takes one input, and places once all inputs at hand are taken. */
  private turn(input: (now: number) => void): void {
    const now = this.clock.now();
    this.pauseGuard.update(now);
    if (this.pauseGuard.isCatchingUp) setImmediate(() => this.turn(input));
    else input(now);
    this.schedulePlacing();
  }

  private schedulePlacing(): void {
    if (this.placing) return;
    this.placing = true;
    setImmediate(() => {
      this.placing = false;
      const now = this.clock.now();
      this.pauseGuard.update(now);
      if (this.pauseGuard.isCatchingUp) return this.schedulePlacing();
      this.dispatcher.place(now);
      this.tellDemand(now);
      this.tellSuspects(this.dispatcher.suspects.takeNews());
    });
  }

  /** Has agents tell at once of room that comes free, while tasks wait. Echoes repeat it, so it is told seldom. */
  private tellDemand(now: number): void {
    const isWaiting = this.dispatcher.waitingTasks > 0;
    if (!isWaiting || now - this.demandToldAt < this.pingMs) return;
    this.demandToldAt = now;
    const { waitingCpuMilli } = this.dispatcher;
    for (const channel of this.channels.values()) channel.send({ type: 'demand', waitingCpuMilli });
  }

  /** Callers may submit a job again at any entry, so all hear of suspects; they tell on what is news to them. */
  private tellSuspects(tasks: readonly SuspectTask[]): void {
    if (tasks.length === 0) return;
    const notice = { type: 'suspects', tasks } as const;
    for (const channel of this.entryChannels) channel.send(notice);
    this.peers.sendNotice(notice);
  }

  private adoptSuspects(tasks: readonly SuspectTask[]): void {
    this.turn((now) => this.tellSuspects(this.dispatcher.adoptSuspects(tasks, now)));
  }

  private receive(channel: LineChannel, message: PeerMessage): void {
    const now = this.clock.now();
    this.pauseGuard.update(now);
    if (message.type === 'ping') {
      const typicalSpeed = roundSpeed(this.dispatcher.typicalSpeed);
      const { versions } = this.exchange;
      const isWaiting = this.dispatcher.waitingTasks > 0;
      const needsDemand = isWaiting || !this.demandChannels.has(channel);
      this.demandChannels.add(channel);
      const waitingCpuMilli = needsDemand ? this.dispatcher.waitingCpuMilli : undefined;
      channel.send({ type: 'pong', at: message.at, ...versions, typicalSpeed, isWaiting, waitingCpuMilli });
      this.exchange.compareVersions(message, channel, now);
    }
    this.handle(channel, message, now);
    if (this.dispatcher.waitingTasks > 0) this.schedulePlacing();
  }

  private handle(channel: LineChannel, message: PeerMessage, now: number): void {
    if (message.type === 'agent-hello') return this.welcomeAgent(channel, message, now);
    if (message.type === 'entry-hello') return this.welcomeEntry(channel, message.place, now);
    if (this.exchange.receive(message, channel)) return;
    if (message.type === 'members') return this.noteMembers(message.entries, now);
    if (message.type === 'suspects') return this.adoptSuspects(message.tasks);
    const agent = this.agentIds.get(channel);
    if (agent === undefined) return;
    if (message.type === 'ping') this.dispatcher.handlePing(agent, message, now);
    if (message.type === 'room') this.dispatcher.handleCapacity(agent, message, now);
    if (message.type === 'crashes') this.dispatcher.handleCrashes(agent, message.tasks, now);
    if (message.type === 'result') this.takeResult(agent, message, now);
  }

  private takeResult(agent: string, result: AttemptResult, now: number): void {
    const { end, reason } = result;
    if (end === 'not-run') this.metrics.increment('dispatcher_returned_starts', { reason });
    this.dispatcher.handleResult(agent, result, now);
  }

  private welcomeAgent(
    channel: LineChannel,
    hello: Extract<PeerMessage, { type: 'agent-hello' }>,
    now: number,
  ): void {
    const id = buildExecutorId(hello);
    const before = this.channels.get(id);
    this.channels.set(id, channel);
    this.agentIds.set(channel, id);
    before?.close('replaced');
    if (hello.takesBatches === true) channel.allowBatches();
    const { place, life } = this;
    channel.send({ type: 'entry-welcome', entry: this.settings.id, life, place });
    channel.send({ type: 'members', entries: [this.place, ...this.members.list(now)] });
    this.dispatcher.handleHello(hello, this.life, now);
  }

  private welcomeEntry(channel: LineChannel, place: DispatcherPlace, now: number): void {
    this.entryChannels.add(channel);
    this.noteMembers([place], now);
    this.exchange.sendVersions(channel);
    this.greetWithSuspects(channel);
  }

  private greetWithSuspects(channel: LineChannel): void {
    const tasks = this.dispatcher.suspects.list();
    if (tasks.length > 0) channel.send({ type: 'suspects', tasks });
  }

  private closeChannel(channel: LineChannel, reason: string): void {
    this.entryChannels.delete(channel);
    this.exchange.handleClosed(channel);
    const id = this.agentIds.get(channel);
    this.agentIds.delete(channel);
    if (id === undefined) this.logger.info('link-closed', { reason });
    if (id === undefined || this.channels.get(id) !== channel) return;
    this.channels.delete(id);
    this.dispatcher.handleClose(id, reason, this.clock.now());
  }

  /** Whether the deployment has a failure domain; what operators write of any other is logged and has no effect. */
  private isKnownDomain(domain: string): boolean {
    const { failureDomains } = this.settings;
    if (failureDomains.length === 0 || failureDomains.includes(domain)) return true;
    this.logger.warn('evacuation-rejected', { domain, reason: 'there is no such failure domain' });
    return false;
  }

  private applyConfiguration(configuration: Configuration, before: number, from: UpdateSource): void {
    this.ports.gateway.applyConfiguration(configuration);
    this.logger.info('configuration', { version: configuration.version, before, from });
    this.tellPeers();
  }

  /** Nothing more is placed in these failure domains; what runs there runs on. */
  private applyEmptied({ domains, revision }: EmptiedDomains, from: UpdateSource): void {
    this.logger.info('emptied-domains', { emptied: domains, revision, from });
    this.turn(() => this.dispatcher.setEmptied(domains));
    this.tellPeers();
  }

  /** Other entries hear at once of what is new. */
  private tellPeers(): void {
    for (const channel of this.entryChannels) this.exchange.sendVersions(channel);
  }

  private noteMembers(places: readonly DispatcherPlace[], now: number): void {
    const others = places.filter(({ address }) => address !== this.place.address);
    const fresh = this.members.record(others, now);
    if (fresh.length === 0) return;
    this.logger.info('members', { fresh: fresh.map(({ address }) => address) });
    this.tellMembers(fresh);
  }

  /** Some members in turn: a message must not grow with the fleet. */
  private tellSomeMembers(): void {
    this.tellMembers([this.place, ...this.members.selectNext(MEMBERS_TOLD, this.clock.now())]);
  }

  /** Agents are told of entries; entries learn from agents, which tell only of those that answer them. */
  private tellMembers(entries: readonly DispatcherPlace[]): void {
    for (const channel of this.channels.values()) channel.send({ type: 'members', entries });
  }

  private logDecision(event: string, fields: LogFields): void {
    this.metrics.increment('dispatcher_decisions', { decision: event });
    if (event !== 'place') return this.logger.info(event, fields);
    if (!this.settings.decisionLog) return;
    const { write, skipped } = this.placeLines.take(this.clock.now());
    if (write) this.logger.info(event, skipped === 0 ? fields : { ...fields, skipped });
  }

  private logOutcome(job: DispatchJob, outcome: JobOutcome, now: number): void {
    const { submission, arrivedAt, objectiveAt, deadlineAt, tasks } = job;
    const reason = outcome.kind === 'completed' ? '' : outcome.reason;
    this.metrics.increment('dispatcher_answers', { outcome: outcome.kind, reason });
    const decision = outcome.kind === 'refused' ? 'refused' : 'admitted';
    const priority = describePriority(submission.route.priority);
    this.metrics.increment('dispatcher_work', { priority, decision }, findWork(job) / 1_000_000);
    this.metrics.observe('dispatcher_answer_ms', now - arrivedAt);
    this.logger.info('answer', {
      job: job.id,
      queue: submission.route.name,
      version: this.exchange.versions.version,
      ...outcome,
      tasks: tasks.length,
      tookMs: Math.round(now - arrivedAt),
      objectiveMs: Math.round(objectiveAt - arrivedAt),
      deadlineMs: Math.round(deadlineAt - arrivedAt),
    });
  }
}
