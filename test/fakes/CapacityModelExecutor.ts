/** An executor of `RoomModel`: the product's decisions and pace, on links and an upstream of the model. */
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
import type { ModelEntry } from './CapacityModel.js';
import { ROUTE } from './dispatchFixtures.js';
import { buildUpstreamReport } from './upstreamFixtures.js';
import type { VirtualTime } from './VirtualTime.js';

const TICK_MS = 57;
const PING_DUE = 0.9;
const TOGETHER = 0.5;

/** What an executor sends. */
export type AgentMessage = Ping | CapacityChange | AttemptResult | ExecutorHello;

/** A link as its executor keeps it. */
export interface ModelLink {
  readonly agent: CapacityModelExecutor;
  readonly entry: ModelEntry;
  readonly pacer: CapacityReportLimiter;
  echoMs: number | undefined;
  isWaiting: boolean;
  isRoomDue: boolean;
  /** The timer that tells room; undefined for none. */
  timer: object | undefined;
  pingedAt: number;
}

/** Parameters of an executor. */
export interface ModelAgentOptions {
  readonly index: number;
  readonly life: number;
  readonly domain: string;
  readonly capacity: Resources;
  readonly findWork: (name: RunName) => number;
  readonly sharing: CapacitySharingKind;
  readonly wayMs: number;
  readonly times: DispatchTimes;
}

/** What it tells its model. */
export interface ModelAgentEvents {
  readonly note: (what: 'full') => void;
  readonly noteControl: (message: { readonly type: string }) => void;
}

/** One life of an executor. */
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
    private readonly options: ModelAgentOptions,
    private readonly time: VirtualTime,
    private readonly events: ModelAgentEvents,
  ) {
    const { index, life, domain: failureDomain, times, findWork } = options;
    this.domain = failureDomain;
    this.name = `a${index}`;
    this.id = `${this.name}@${life}`;
    const identity = { id: this.name, incarnation: `${life}`, failureDomain, startedAt: 1_000_000 * life };
    const bounds = { ...times, maxLeaseMs: 1_000, stopMs: 50 };
    const effects = {
      openApi: () => new ModelUpstream(time, findWork),
      sendResult: (entryLife: string, result: AttemptResult) => this.sendResult(entryLife, result),
      handleJoined: () => undefined,
      sendCrashes: () => undefined,
      handleCapacityChange: () => undefined,
      handleChange: () => this.scheduleRoom(),
      log: () => undefined,
    };
    this.core = new Executor(identity, bounds, time, effects, options.sharing);
    this.report(options.capacity);
  }

  /** The upstream reports its room. */
  report(capacity: Resources): void {
    const { index, life } = this.options;
    const id = `u${index}-${life}`;
    this.sequence += 1;
    const { sequence } = this;
    this.core.handleReport(buildUpstreamReport({ id, service: ROUTE.service, capacity, sequence }));
  }

  /** Links to an entry. */
  link(entry: ModelEntry, isHome: boolean): void {
    const link: ModelLink = {
      agent: this,
      entry,
      pacer: new CapacityReportLimiter(),
      echoMs: undefined,
      isWaiting: false,
      isRoomDue: false,
      timer: undefined,
      pingedAt: -Infinity,
    };
    this.links.add(link);
    entry.links.set(this.id, link);
    entry.receive(this.id, this.core.buildHello(''));
    this.core.handleWelcome(entry.life, this.time.now());
    if (isHome) this.core.setPreferred(entry.life);
  }

  /** The process ends without a word, and its upstream's tasks with it. */
  end(): void {
    this.isDead = true;
    this.core.close();
    for (const { entry } of this.links) {
      entry.links.delete(this.id);
      entry.dispatcher.handleClose(this.id, 'closed', this.time.now());
    }
  }

  /** The operators have emptied its failure domain. */
  setEmptied(): void {
    this.isEmptied = true;
    this.core.setEmptied(true);
  }

  /** The link has closed. */
  unlink(entry: ModelEntry): void {
    for (const link of [...this.links]) if (link.entry === entry) this.links.delete(link);
  }

  /** Share of the room that nobody uses. */
  readFreeShare(): number {
    if (this.isEmptied || this.isDead) return 0;
    const { free } = this.core;
    return Math.max(0, Math.floor(free.cpuMilli / 1_430)) / (this.options.capacity.cpuMilli / 1_300);
  }

  /** Takes a message of an entry. */
  receive(link: ModelLink, message: DispatcherMessage): void {
    if (this.isDead || !this.links.has(link)) return;
    const { life } = link.entry;
    if (message.type === 'start') this.core.handleStart(life, message);
    if (message.type === 'stop') this.core.handleStop(life, message);
    if (message.type === 'demand') {
      link.isWaiting = true;
      this.core.handleDemand(life, message);
      this.tellRoom(link);
    }
    if (message.type !== 'pong') return;
    link.isWaiting = message.isWaiting;
    link.echoMs = Math.round(this.time.now() - message.at);
    link.pacer.recordRoundTrip(link.echoMs);
    this.core.handlePong(life, message);
  }

  /** Does what the daemon's timer does. */
  step(now: number): void {
    if (this.isDead || Math.floor(now + this.options.index) % TICK_MS !== 0 || !Number.isInteger(now)) return;
    this.core.tick();
    const links = [...this.links];
    if (!links.some((link) => this.isOlderPing(link, PING_DUE))) return;
    for (const link of links) if (this.isOlderPing(link, TOGETHER)) this.sendPing(link);
  }

  private sendResult(entryLife: string, result: AttemptResult): void {
    if (result.reason === 'full') this.events.note('full');
    for (const link of this.links) {
      if (link.entry.life !== entryLife) continue;
      this.send(link, result);
      if (link.isRoomDue) return;
      link.isRoomDue = true;
      queueMicrotask(() => this.tellRoom(link));
    }
  }

  private scheduleRoom(): void {
    const now = this.time.now();
    const due = [...this.links].filter(({ entry, isWaiting }) =>
      this.core.needsCapacity(entry.life, isWaiting),
    );
    for (const link of due) {
      const { entry, pacer } = link;
      if (link.timer) continue;
      const timer = (link.timer = {});
      const isPart = this.core.hasShare(entry.life);
      const waitMs = isPart ? pacer.findShareWait(now, due.length) : pacer.findWait(now, due.length);
      this.time.schedule(waitMs, () => {
        if (link.timer === timer) this.tellRoom(link);
      });
    }
  }

  private tellRoom(link: ModelLink): void {
    if (this.isDead) return;
    link.timer = undefined;
    link.isRoomDue = false;
    if (this.isOlderPing(link, PING_DUE)) return this.sendPing(link);
    const room = this.core.takeCapacityChange(link.entry.life);
    if (!room) return;
    const at = Math.floor(this.time.now());
    link.pacer.recordReport(at);
    this.send(link, { type: 'room', at, room });
  }

  private sendPing(link: ModelLink): void {
    link.pingedAt = this.time.now();
    link.pacer.recordReport(link.pingedAt);
    this.send(link, { ...this.core.buildPing(link.entry.life, 1), echoMs: link.echoMs });
  }

  private isOlderPing({ pingedAt }: ModelLink, intervals: number): boolean {
    return this.time.now() - pingedAt >= this.options.times.pingMs * intervals;
  }

  private send({ entry }: ModelLink, message: AgentMessage): void {
    if (message.type !== 'result') this.events.noteControl(message);
    if (entry.isCut) return;
    this.time.schedule(this.options.wayMs, () => entry.receive(this.id, message));
  }
}
