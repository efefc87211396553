/** What entries and agents share as daemons: log, metrics, links, turns, life cycle, health. */
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import type { AddressInfo } from 'node:net';

import { createActor } from 'xstate';
import type { ActorRefFrom } from 'xstate';

import { adjustClock, readClock } from '../_lib/readClock.js';
import { writeJson } from '../connection/http/writeJson.js';
import { LinkHub } from '../connection/LinkHub.js';
import type { Hello, Message } from '../connection/messages.js';
import { PlatformClient } from '../connection/PlatformClient.js';
import type { LiveVm } from '../connection/PlatformClient.js';
import type { LogEntry, LogRecord } from '../version/logRecord.js';
import { createIncarnation } from './createIncarnation.js';
import { LEASED_POLL_MS, LogFollower } from './LogFollower.js';
import { createLogger } from './logger.js';
import type { LineSink, ProcessLogger } from './logger.js';
import { createMetrics } from './metrics.js';
import type { ProcessMetrics } from './metrics.js';
import { processMachine } from './processMachine.js';
import type { CommonSettings } from './settings/settings.js';
import { Turns } from './Turns.js';

/** Between two reports of metrics, ms. */
const REPORT_MS = 1_000;
/** Every so many of them the platform is told that the VM is live. */
const LIVE_REPORTS = 2;
/** How often a drain looks whether it is done, ms. */
const DRAIN_POLL_MS = 20;

/** Exit code after a broken invariant; a supervisor starts the process anew. */
export const EXIT_INVARIANT = 70;

/** What a daemon may be given by whoever embeds it. */
export interface DaemonOptions {
  /** Where log lines go; standard output by default. */
  readonly sink?: LineSink;
  /** How long the platform may hold an empty read of the log, ms. */
  readonly pollMs?: number;
  /** Called instead of ending the process when the daemon cannot go on. */
  readonly onFailure?: (error: unknown) => void;
}

/** Common part of both daemons. */
export abstract class DaemonBase {
  readonly peer: string;
  readonly hub: LinkHub;
  protected readonly logger: ProcessLogger;
  protected readonly metrics: ProcessMetrics;
  protected readonly platform: PlatformClient;
  protected readonly turns: Turns;
  protected readonly life: ActorRefFrom<typeof processMachine>;
  protected address = '';
  private readonly follower: LogFollower;
  private readonly server: Server;
  private readonly timers: NodeJS.Timeout[] = [];
  private following: Promise<void> | undefined;
  private reports = 0;

  protected constructor(
    protected readonly settings: CommonSettings,
    private readonly options: DaemonOptions,
  ) {
    this.peer = createIncarnation(settings.id, readClock());
    this.logger = createLogger(this.peer, settings.logLevel, options.sink);
    this.metrics = createMetrics(settings.metrics, this.peer);
    this.platform = new PlatformClient(settings.platformUrl);
    this.hub = new LinkHub(settings.secret, {
      buildHello: () => this.buildHello(),
      open: (hello) => this.turns.run((now) => this.openLink(hello, now)),
      close: (peer) => this.turns.run((now) => this.closeLink(peer, now)),
      receive: (peer, messages) => this.turns.run((now) => this.receive(peer, messages, now)),
      refuse: (reason) => this.logger.warn('link-refused', { reason }),
    });
    const tick = (now: number): void => this.tick(now);
    const isBusy = (): boolean => this.isBusy();
    const end = (now: number): void => this.endTurn(now);
    const fail = (error: unknown): void => this.fail(error);
    const pause = (gapMs: number): void => this.notePause(gapMs);
    this.turns = new Turns({ tick, isBusy, end, pause, fail }, settings.pauseBoundMs);
    this.life = createActor(processMachine);
    this.follower = new LogFollower(this.platform, {
      nextOffset: () => this.configOffset + 1,
      apply: (entries, sentAt) => this.turns.run(() => this.applyLog(entries, sentAt)),
      now: readClock,
      pollMs: options.pollMs ?? LEASED_POLL_MS,
    });
    this.server = createServer((request, response) => this.handleHttp(request, response));
  }

  /** Port of the HTTP server once it listens. */
  get httpPort(): number {
    return (this.server.address() as AddressInfo | null)?.port ?? 0;
  }

  /** `host:port` of the links once they are accepted. */
  get linkAddress(): string {
    return this.address;
  }

  /** Counters of the process, as `GET /statsz` shows them. */
  buildStats(): Record<string, unknown> {
    const { user, system } = process.cpuUsage();
    return {
      process: this.peer,
      state: this.life.getSnapshot().value,
      configOffset: this.configOffset,
      cpuMs: (user + system) / 1_000,
      rssBytes: process.memoryUsage.rss(),
      heapBytes: process.memoryUsage().heapUsed,
      sentBytes: this.hub.counts.bytes,
      sentBatches: this.hub.counts.batches,
      sentMessages: Object.fromEntries(this.hub.counts.messages),
    };
  }

  /** Starts to listen, to follow the log and to report itself live. */
  async start(): Promise<void> {
    const { host, httpPort, linkPort } = this.settings.listen;
    this.life.start();
    const port = await this.hub.listen(host, linkPort);
    this.address = `${host}:${port}`;
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(httpPort, host, resolve);
    });
    this.prepare();
    this.turns.start();
    this.following = this.follower.run();
    this.every(REPORT_MS, () => this.report());
    this.logger.info('started', { address: this.address, httpPort: this.httpPort });
  }

  /** Stops as planned: finishes what is in progress, then ends. */
  async stop(): Promise<void> {
    if (this.life.getSnapshot().value === 'leaving') return;
    this.life.send({ type: 'leave' });
    this.logger.info('leaving');
    void this.reportLive(true);
    await this.beginLeaving();
    const until = readClock() + this.settings.drainTimeoutMs;
    while (!this.isDrained() && readClock() < until) await sleep(DRAIN_POLL_MS);
    this.logger.info('drained', { complete: this.isDrained() });
    await this.end();
  }

  /** Ends at once, as a crash would. */
  async end(): Promise<void> {
    this.follower.stop();
    this.turns.stop();
    for (const timer of this.timers) clearInterval(timer);
    this.hub.stop();
    await new Promise<void>((resolve) => {
      this.server.close(() => resolve());
      this.server.closeIdleConnections();
      setTimeout(() => this.server.closeAllConnections(), DRAIN_POLL_MS).unref();
    });
    await this.platform.close();
    await this.following?.catch(() => undefined);
    if (this.life.getSnapshot().value === 'leaving') this.life.send({ type: 'drain' });
    this.logger.flush();
    this.metrics.close();
  }

  protected abstract readonly role: 'entry' | 'agent';
  protected abstract get configOffset(): number;
  protected abstract buildHello(): Hello;
  /** Creates what needs the address. */
  protected abstract prepare(): void;
  protected abstract openLink(hello: Hello, now: number): void;
  protected abstract closeLink(peer: string, now: number): void;
  protected abstract receive(peer: string, messages: readonly Message[], now: number): void;
  protected abstract applyLog(entries: readonly LogEntry[], now: number): void;
  protected abstract tick(now: number): void;
  /** Whether ticks have to come often. */
  protected abstract isBusy(): boolean;
  protected abstract endTurn(now: number): void;
  protected abstract revalidate(): void;
  protected abstract beginLeaving(): Promise<void>;
  protected abstract isDrained(): boolean;
  protected abstract isReady(): boolean;
  protected abstract reportMetrics(): void;
  /** Handles a request that is not about health; returns false when there is no such path. */
  protected abstract routeHttp(request: IncomingMessage, response: ServerResponse, path: string): boolean;

  /** Appends a record; the node proposes it again when it has no effect. */
  protected append(record: LogRecord): void {
    this.logger.info('propose', { record: record.type, id: record.id });
    this.platform.append(record).catch((error: unknown) => {
      this.logger.warn('append-failed', { id: record.id, reason: String(error) });
    });
  }

  /** Repeats something until the process ends. */
  protected every(ms: number, run: () => void): void {
    this.timers.push(setInterval(run, ms));
  }

  private report(): void {
    this.reports += 1;
    if (this.reports % LIVE_REPORTS === 1) void this.reportLive(this.life.getSnapshot().value === 'leaving');
    const skewMs = adjustClock();
    this.metrics.gauge('clock_ahead_ms', skewMs);
    this.metrics.gauge('rss_bytes', process.memoryUsage.rss());
    this.metrics.gauge('config_offset', this.configOffset);
    this.metrics.gauge('sent_batches', this.hub.counts.batches);
    for (const [type, count] of this.hub.counts.messages)
      this.metrics.gauge('sent_messages', count, { type });
    this.reportMetrics();
    this.metrics.flush();
    const ready = this.isReady();
    const { value } = this.life.getSnapshot();
    if (ready && value === 'joining') this.life.send({ type: 'join' });
    if (!ready && value === 'ready') this.life.send({ type: 'lose' });
  }

  private async reportLive(leaving: boolean): Promise<void> {
    const { id, failureDomain } = this.settings;
    const vm: LiveVm = { id, role: this.role, address: this.address, failureDomain, leaving };
    await this.platform.reportLive(vm).catch(() => undefined);
  }

  private notePause(gapMs: number): void {
    this.logger.warn('paused', { gapMs: Math.round(gapMs) });
    this.metrics.increment('pauses');
    this.revalidate();
  }

  private fail(error: unknown): void {
    const reason = error instanceof Error ? (error.stack ?? error.message) : String(error);
    this.logger.error('failed', { reason });
    this.metrics.increment('invariants_broken');
    this.logger.flush();
    if (this.options.onFailure) return this.options.onFailure(error);
    process.exitCode = EXIT_INVARIANT;
    // Nothing that this process still holds may be acted on.
    process.exit(EXIT_INVARIANT);
  }

  private handleHttp(request: IncomingMessage, response: ServerResponse): void {
    const path = new URL(request.url ?? '/', 'http://local').pathname;
    if (path === '/healthz') return writeJson(response, 200, '{"healthy":true}');
    if (path === '/readyz') {
      const ready = this.life.getSnapshot().value !== 'leaving' && this.isReady();
      return writeJson(response, ready ? 200 : 503, JSON.stringify({ ready }));
    }
    if (path === '/statsz') return writeJson(response, 200, JSON.stringify(this.buildStats()));
    if (this.routeHttp(request, response, path)) return;
    writeJson(response, 404, '{"error":"no such path"}');
  }
}
