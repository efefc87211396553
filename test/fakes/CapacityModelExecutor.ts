/** Executor of `CapacityModel`: production code on simulated links and a simulated upstream. */
import { Executor } from '../../src/process/executor/Executor.js';
import { CapacityReportLimiter } from '../../src/process/executor/CapacityReportLimiter.js';
import type {
  ExecutorHello,
  AttemptResult,
  DispatcherMessage,
  Ping,
  CapacityChange,
} from '../../src/connection/peer/peerMessages.js';
import type { DispatchTimes } from '../../src/process/dispatchTimes.js';
import type { RunName } from '../../src/ports/UpstreamApi.js';
import type { CapacitySharingKind } from '../../src/process/settings/dispatchSettings.js';
import type { Resources } from '../../src/request/dispatch/submission.js';
import { ModelUpstream } from './ModelUpstream.js';
import type { ModelDispatcher } from './CapacityModel.js';
import { ROUTE } from './dispatchFixtures.js';
import { buildUpstreamReport } from './upstreamFixtures.js';
import type { VirtualTime } from './VirtualTime.js';

const TICK_MS = 57;
const PING_DUE = 0.9;
const JOINT_PING_DUE = 0.5;

/** Messages that an executor sends. */
export type ModelExecutorMessage = Ping | CapacityChange | AttemptResult | ExecutorHello;

/** State of a link at its executor. */
export interface ModelLink {
  readonly executor: CapacityModelExecutor;
  readonly dispatcher: ModelDispatcher;
  readonly limiter: CapacityReportLimiter;
  roundTripMs: number | undefined;
  isWaiting: boolean;
  isReportDue: boolean;
  /** Timer of the next capacity report; undefined for none. */
  timer: object | undefined;
  pingedAt: number;
}

/** Parameters of an executor. */
export interface ModelExecutorOptions {
  readonly index: number;
  readonly incarnation: number;
  readonly domain: string;
  readonly capacity: Resources;
  readonly findWork: (name: RunName) => number;
  readonly sharing: CapacitySharingKind;
  readonly transitMs: number;
  readonly times: DispatchTimes;
}

/** Callbacks of an executor to its model. */
export interface ModelExecutorEvents {
  readonly recordStart: (what: 'full') => void;
  readonly recordControlMessage: (message: { readonly type: string }) => void;
}

/** One incarnation of an executor. */
export class CapacityModelExecutor {
  readonly links = new Set<ModelLink>();
  readonly core: Executor;
  readonly name: string;
  readonly domain: string;
  private readonly id: string;
  private sequence = 1;
  private isDead = false;
  private isEmptied = false;

  constructor(
    private readonly options: ModelExecutorOptions,
    private readonly time: VirtualTime,
    private readonly events: ModelExecutorEvents,
  ) {
    const { index, incarnation, domain: failureDomain, times, findWork } = options;
    this.domain = failureDomain;
    this.name = `a${index}`;
    this.id = `${this.name}@${incarnation}`;
    const identity = {
      id: this.name,
      incarnation: `${incarnation}`,
      failureDomain,
      startedAt: 1_000_000 * incarnation,
    };
    const bounds = { ...times, maxLeaseMs: 1_000, stopMs: 50 };
    const effects = {
      openApi: () => new ModelUpstream(time, findWork),
      sendResult: (dispatcherIncarnation: string, result: AttemptResult) =>
        this.sendResult(dispatcherIncarnation, result),
      handleJoined: () => undefined,
      sendCrashes: () => undefined,
      handleCapacityChange: () => undefined,
      handleChange: () => this.scheduleCapacityReports(),
      log: () => undefined,
    };
    this.core = new Executor(identity, bounds, time, effects, options.sharing);
    this.report(options.capacity);
  }

  /** Handles a report of the upstream with a new capacity. */
  report(capacity: Resources): void {
    const { index, incarnation } = this.options;
    const id = `u${index}-${incarnation}`;
    this.sequence += 1;
    const { sequence } = this;
    this.core.handleReport(buildUpstreamReport({ id, service: ROUTE.service, capacity, sequence }));
  }

  /** Opens a link to a dispatcher. */
  link(dispatcher: ModelDispatcher, isHome: boolean): void {
    const link: ModelLink = {
      executor: this,
      dispatcher,
      limiter: new CapacityReportLimiter(),
      roundTripMs: undefined,
      isWaiting: false,
      isReportDue: false,
      timer: undefined,
      pingedAt: -Infinity,
    };
    this.links.add(link);
    dispatcher.links.set(this.id, link);
    dispatcher.receive(this.id, this.core.buildHello(''));
    this.core.handleWelcome(dispatcher.incarnation, this.time.now());
    if (isHome) this.core.setPreferred(dispatcher.incarnation);
  }

  /** Ends the process without notice, and the tasks of its upstream. */
  end(): void {
    this.isDead = true;
    this.core.close();
    for (const { dispatcher } of this.links) {
      dispatcher.links.delete(this.id);
      dispatcher.core.handleClose(this.id, 'closed', this.time.now());
    }
  }

  /** Marks its failure domain as emptied. */
  setEmptied(): void {
    this.isEmptied = true;
    this.core.setEmptied(true);
  }

  /** Removes the link to a dispatcher. */
  unlink(dispatcher: ModelDispatcher): void {
    for (const link of [...this.links]) if (link.dispatcher === dispatcher) this.links.delete(link);
  }

  /** Returns the unused share of the capacity. */
  readFreeShare(): number {
    if (this.isEmptied || this.isDead) return 0;
    const { free } = this.core;
    return Math.max(0, Math.floor(free.cpuMilli / 1_430)) / (this.options.capacity.cpuMilli / 1_300);
  }

  /** Handles a message of a dispatcher. */
  receive(link: ModelLink, message: DispatcherMessage): void {
    if (this.isDead || !this.links.has(link)) return;
    const { incarnation } = link.dispatcher;
    if (message.type === 'start') this.core.handleStart(incarnation, message);
    if (message.type === 'stop') this.core.handleStop(incarnation, message);
    if (message.type === 'demand') {
      link.isWaiting = true;
      this.core.handleDemand(incarnation, message);
      this.sendCapacity(link);
    }
    if (message.type !== 'pong') return;
    link.isWaiting = message.isWaiting;
    link.roundTripMs = Math.round(this.time.now() - message.at);
    link.limiter.recordRoundTrip(link.roundTripMs);
    this.core.handlePong(incarnation, message);
  }

  /** Runs one tick of the daemon's timer. */
  step(now: number): void {
    if (this.isDead || Math.floor(now + this.options.index) % TICK_MS !== 0 || !Number.isInteger(now)) return;
    this.core.tick();
    const links = [...this.links];
    if (!links.some((link) => this.isOlderPing(link, PING_DUE))) return;
    for (const link of links) if (this.isOlderPing(link, JOINT_PING_DUE)) this.sendPing(link);
  }

  private sendResult(dispatcherIncarnation: string, result: AttemptResult): void {
    if (result.reason === 'full') this.events.recordStart('full');
    for (const link of this.links) {
      if (link.dispatcher.incarnation !== dispatcherIncarnation) continue;
      this.send(link, result);
      if (link.isReportDue) return;
      link.isReportDue = true;
      queueMicrotask(() => this.sendCapacity(link));
    }
  }

  private scheduleCapacityReports(): void {
    const now = this.time.now();
    const due = [...this.links].filter(({ dispatcher, isWaiting }) =>
      this.core.needsCapacity(dispatcher.incarnation, isWaiting),
    );
    for (const link of due) {
      const { dispatcher, limiter } = link;
      if (link.timer) continue;
      const timer = (link.timer = {});
      const isPart = this.core.hasShare(dispatcher.incarnation);
      const waitMs = isPart ? limiter.findShareWait(now, due.length) : limiter.findWait(now, due.length);
      this.time.schedule(waitMs, () => {
        if (link.timer === timer) this.sendCapacity(link);
      });
    }
  }

  private sendCapacity(link: ModelLink): void {
    if (this.isDead) return;
    link.timer = undefined;
    link.isReportDue = false;
    if (this.isOlderPing(link, PING_DUE)) return this.sendPing(link);
    const room = this.core.takeCapacityChange(link.dispatcher.incarnation);
    if (!room) return;
    const at = Math.floor(this.time.now());
    link.limiter.recordReport(at);
    this.send(link, { type: 'room', at, room });
  }

  private sendPing(link: ModelLink): void {
    link.pingedAt = this.time.now();
    link.limiter.recordReport(link.pingedAt);
    this.send(link, { ...this.core.buildPing(link.dispatcher.incarnation, 1), echoMs: link.roundTripMs });
  }

  private isOlderPing({ pingedAt }: ModelLink, intervals: number): boolean {
    return this.time.now() - pingedAt >= this.options.times.pingMs * intervals;
  }

  private send({ dispatcher }: ModelLink, message: ModelExecutorMessage): void {
    if (message.type !== 'result') this.events.recordControlMessage(message);
    if (dispatcher.isPartitioned) return;
    this.time.schedule(this.options.transitMs, () => dispatcher.receive(this.id, message));
  }
}
