/** The agent as a process: links to all entries, the upstream beside it, life cycle. */
import { setTimeout as sleep } from 'node:timers/promises';

import { SteadyClock } from '../../_lib/Clock.js';
import { createRandom } from '../../_lib/createRandom.js';
import type { LineChannel } from '../../connection/peer/LineChannel.js';
import { PeerDialer } from '../../connection/peer/PeerDialer.js';
import type { PeerMessage } from '../../connection/peer/peerMessages.js';
import type { UpstreamMemory } from '../../ports/UpstreamMemory.js';
import type { UpstreamRegistry, UpstreamReport } from '../../ports/UpstreamRegistry.js';
import type { Configuration } from '../../version/configuration.js';
import { createIncarnation } from '../createIncarnation.js';
import { deriveDispatchTimes } from '../dispatchTimes.js';
import { createLogSink } from '../createLogSink.js';
import { createLogger } from '../logger.js';
import type { ProcessLogger } from '../logger.js';
import { PauseGuard } from '../PauseGuard.js';
import type { DispatchSettings } from '../settings/dispatchSettings.js';
import { ServedMetrics } from '../ServedMetrics.js';
import { AgentCore } from './AgentCore.js';
import { RoomPacer } from './RoomPacer.js';
import { buildExecutorMetrics } from './executorMetrics.js';

/** Between two looks at what has expired, ms. */
const TICK_MS = 40;
/** Between two messages about entries, ms. */
const MEMBERS_MS = 5_000;
/** An entry that no peer reports is forgotten after so long out of reach, ms. */
const FORGET_ENTRY_MS = 20_000;
/** Time kept from the grace period to stop what is left and tell it, ms. */
const END_MARGIN_MS = 700;

/** Outside parts of an executor. */
export interface ExecutorPorts {
  readonly registry: UpstreamRegistry;
  readonly memory: UpstreamMemory;
}

interface EntryLink {
  readonly address: string;
  channel: LineChannel;
  /** When our hello was sent. */
  readonly openedAt: number;
  /** Life of the entry; empty until it has said so. */
  life: string;
  readonly pacer: RoomPacer;
  roomTimer: NodeJS.Timeout | undefined;
}

/** An agent process. */
export class ExecutorDaemon {
  private readonly clock = new SteadyClock();
  private readonly logger: ProcessLogger;
  private readonly metrics: ServedMetrics;
  private readonly core: AgentCore;
  private readonly dialer: PeerDialer;
  private readonly pauseGuard: PauseGuard;
  private readonly links = new Map<string, EntryLink>();
  /** Life of the entry last met at each address. */
  private readonly lives = new Map<string, string>();
  /** Upstreams that have reported themselves to this life of the process. */
  private readonly reported = new Set<string>();
  private configuration: Configuration | undefined;
  private leaving = false;

  constructor(
    private settings: DispatchSettings,
    private readonly ports: ExecutorPorts,
  ) {
    const peer = createIncarnation(settings.id, Date.now());
    const times = deriveDispatchTimes(settings);
    this.logger = createLogger(peer, settings.logLevel, createLogSink());
    this.core = new AgentCore(
      { agent: settings.id, life: peer, failureDomain: settings.failureDomain },
      { ...times, stopMs: settings.stopMs },
      this.clock,
      {
        openExecutor: (report) => this.ports.registry.openExecutor(report),
        sendResult: (life, result) => {
          this.metrics.increment('executor_task_ends', { end: result.end });
          this.findLink(life)?.channel.send(result);
        },
        noteChange: () => this.scheduleRoom(),
        log: (event, fields) => {
          this.metrics.increment('executor_decisions', { decision: event });
          this.logger.info(event, fields);
        },
      },
    );
    this.metrics = new ServedMetrics(
      settings.metricsAddress,
      buildExecutorMetrics(() => this.core.load),
    );
    this.pauseGuard = new PauseGuard(this.clock.now(), (gapMs) => {
      this.logger.warn('paused', { gapMs: Math.round(gapMs) });
    });
    this.dialer = new PeerDialer(
      {
        open: (address, channel) => this.open(address, channel),
        receive: (address, message) => this.receive(address, message),
        close: (address, reason) => this.closeLink(address, reason),
      },
      createRandom(Date.now() % 1_000_000),
      () => this.clock.now(),
    );
  }

  /** Starts to listen for the upstream and to dial the entries. */
  async start(): Promise<void> {
    this.logger.info('started', { failureDomain: this.settings.failureDomain });
    await this.ports.registry.start({
      report: (report) => this.takeReport(report),
      leave: (upstreamId) => this.core.noteLeave(upstreamId),
    });
    this.dialSeeds();
    void this.recallUpstream();
    this.metrics.start();
    setInterval(() => this.tick(), TICK_MS);
    setInterval(() => this.tellMembers(), MEMBERS_MS);
    setInterval(() => this.ping(), deriveDispatchTimes(this.settings).pingMs);
  }

  /** Takes changed settings: other seeds are dialed; all else needs a restart. */
  reload(settings: DispatchSettings): void {
    this.logger.info('reloaded', { seeds: settings.seeds });
    this.settings = settings;
    this.dialSeeds();
  }

  /** Stops as planned: takes nothing new, lets what runs end, stops the rest, and returns. */
  async stop(): Promise<void> {
    if (this.leaving) return;
    this.leaving = true;
    this.logger.info('leaving', { tasks: this.core.load });
    this.core.leave();
    const endAt = this.clock.now() + this.settings.graceSeconds * 1_000 - END_MARGIN_MS;
    while (this.core.load > 0 && this.clock.now() < endAt) await sleep(TICK_MS / 2);
    this.core.stopAll('agent-ends');
    const stoppedBy = this.clock.now() + END_MARGIN_MS / 2;
    while (this.core.load > 0 && this.clock.now() < stoppedBy) await sleep(TICK_MS / 4);
    await sleep(TICK_MS / 2);
    this.logger.info('stopped', { tasks: this.core.load });
    this.metrics.stop();
    this.ports.memory.stop();
    this.dialer.stop();
    await this.ports.registry.stop();
    this.logger.flush();
  }

  private takeReport(report: UpstreamReport): void {
    const isNew = !this.reported.has(report.id);
    this.core.noteReport(report);
    if (!isNew) return;
    this.reported.add(report.id);
    if (!report.isDraining) this.ports.memory.remember(this.settings.id, report);
  }

  /** Finds the upstream of an earlier life, whose next report may be more than a second away. */
  private async recallUpstream(): Promise<void> {
    const report = await this.ports.memory.recall(this.settings.id);
    if (!report || this.reported.size > 0 || this.leaving) return;
    this.logger.info('upstream-recalled', { upstream: report.id });
    this.core.noteReport({ ...report, clockMs: 0, sequence: -1 });
  }

  private tick(): void {
    this.pauseGuard.look(this.clock.now());
    this.core.tick();
  }

  private ping(): void {
    for (const { channel, life } of this.links.values()) {
      if (life !== '') channel.send(this.core.buildPing(life));
    }
    for (const address of this.dialer.addresses) {
      if (this.dialer.findSilence(address) > FORGET_ENTRY_MS && !this.isSeed(address))
        this.dialer.forget(address);
    }
  }

  private open(address: string, channel: LineChannel): void {
    const openedAt = this.clock.now();
    const pacer = new RoomPacer();
    this.links.set(address, { address, channel, openedAt, life: '', pacer, roomTimer: undefined });
    channel.send(this.core.buildHello(this.lives.get(address) ?? ''));
  }

  private closeLink(address: string, reason: string): void {
    const link = this.links.get(address);
    clearTimeout(link?.roomTimer);
    this.links.delete(address);
    this.logger.info('entry-unlinked', { address, life: link?.life, reason });
  }

  private receive(address: string, message: PeerMessage): void {
    this.pauseGuard.look(this.clock.now());
    const link = this.links.get(address);
    if (!link) return;
    if (message.type === 'entry-welcome') return this.noteWelcome(link, message.life);
    if (message.type === 'members') return this.noteMembers(message.entries);
    if (message.type === 'configuration') return this.noteConfiguration(message.configuration);
    if (link.life === '') return;
    if (message.type === 'pong') {
      link.pacer.noteEcho(this.clock.now() - message.at);
      this.core.noteEcho(link.life, message);
    }
    if (message.type === 'start') this.core.handleStart(link.life, message);
    if (message.type === 'stop') this.core.handleStop(link.life, message);
  }

  private noteWelcome(link: EntryLink, life: string): void {
    const before = this.lives.get(link.address);
    if (before !== undefined && before !== life) this.core.noteEntryReplaced(before);
    this.lives.set(link.address, life);
    link.life = life;
    this.logger.info('entry-linked', { address: link.address, life, before });
    this.core.noteWelcome(life, link.openedAt);
    link.channel.send(this.core.buildPing(life));
    if (this.configuration) {
      link.channel.send({ type: 'configuration', configuration: this.configuration });
    }
    this.tellMembers();
  }

  private noteMembers(addresses: readonly string[]): void {
    for (const address of addresses) this.dialer.keep(address);
  }

  /** Tells every entry which ones this agent has a working link to. */
  private tellMembers(): void {
    const entries = [...this.links.values()].filter(({ life }) => life !== '').map(({ address }) => address);
    for (const { channel } of this.links.values()) channel.send({ type: 'members', entries });
  }

  /** Passes the newest configuration on to entries that may be cut off from the store. */
  private noteConfiguration(configuration: Configuration): void {
    if (configuration.version <= (this.configuration?.version ?? -1)) return;
    this.configuration = configuration;
    for (const { channel } of this.links.values()) channel.send({ type: 'configuration', configuration });
  }

  private scheduleRoom(): void {
    const now = this.clock.now();
    for (const link of this.links.values()) {
      if (link.life !== '')
        link.roomTimer ??= setTimeout(() => this.tellRoom(link), link.pacer.findWait(now));
    }
  }

  private tellRoom(link: EntryLink): void {
    link.roomTimer = undefined;
    const now = this.clock.now();
    const room = this.core.takeRoomChange(link.life);
    if (!room) return;
    link.pacer.noteTold(now);
    link.channel.send({ type: 'room', at: Math.floor(now), room });
  }

  private findLink(life: string): EntryLink | undefined {
    for (const link of this.links.values()) if (link.life === life) return link;
    return undefined;
  }

  private dialSeeds(): void {
    for (const address of this.listSeeds()) this.dialer.keep(address);
  }

  private listSeeds(): string[] {
    const { seeds, linkPort } = this.settings;
    return seeds.map((seed) => `${seed.slice(0, seed.lastIndexOf(':'))}:${linkPort}`);
  }

  private isSeed(address: string): boolean {
    return this.listSeeds().includes(address);
  }
}
