/**
 * Common base of the entry and agent daemons: logging, metrics, links, turn loop, lifecycle and health
 * endpoints.
 */
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import type { AddressInfo } from 'node:net';

import { createActor } from 'xstate';
import type { ActorRefFrom } from 'xstate';

import { adjustClock, readClock } from '../_lib/readClock.js';
import { InvariantError } from '../_lib/errors.js';
import { parsePath } from '../connection/http/parsePath.js';
import { writeJson } from '../connection/http/writeJson.js';
import { guardHttpServer } from '../connection/input/guardHttpServer.js';
import { InputGuard } from '../connection/input/InputGuard.js';
import { LinkHub } from '../connection/LinkHub.js';
import type { Hello, Message } from '../connection/messages.js';
import { PlatformClient } from '../connection/PlatformClient.js';
import type { LiveVm } from '../connection/PlatformClient.js';
import type { LogEntry, LogRecord } from '../version/logRecord.js';
import { createIncarnation } from './createIncarnation.js';
import { logFailure } from './failures.js';
import { LEASED_POLL_MS, LogFollower } from './LogFollower.js';
import { createLogger } from './logger.js';
import type { LineSink, ProcessLogger } from './logger.js';
import { createMetrics } from './metrics.js';
import type { ProcessMetrics } from './metrics.js';
import { processMachine } from './processMachine.js';
import { reportClosedInput } from './reportClosedInput.js';
import type { CommonSettings } from './settings/settings.js';
import { TurnLoop } from './TurnLoop.js';

/** Interval of metric reports, ms. */
const REPORT_MS = 1_000;
/** Number of metric reports per liveness report to the platform. */
const REPORTS_PER_LIVE_REPORT = 2;
/** Interval at which a planned stop checks whether the work in progress has ended, ms. */
const DRAIN_POLL_MS = 20;

/** Exit code after an exception in a turn, such as a broken invariant; a supervisor restarts the process. */
export const EXIT_INVARIANT = 70;

/** Options for embedding a daemon. */
export interface DaemonOptions {
  /** Destination of log lines; standard output by default. */
  readonly sink?: LineSink;
  /** Long-poll timeout for reads of the log, ms. */
  readonly pollMs?: number;
  /** Called on a fatal error instead of exiting the process. */
  readonly onFailure?: (error: unknown) => void;
}

/** Daemon with the parts common to entry and agent. */
export abstract class DaemonBase {
  readonly peer: string;
  readonly hub: LinkHub;
  protected readonly logger: ProcessLogger;
  protected readonly metrics: ProcessMetrics;
  protected readonly platform: PlatformClient;
  protected readonly turns: TurnLoop;
  protected readonly guard: InputGuard;
  protected readonly lifecycle: ActorRefFrom<typeof processMachine>;
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
    this.guard = new InputGuard(settings);
    reportClosedInput(this.guard, this.logger, (closed) => this.metrics.increment('input_closed', closed));
    this.hub = new LinkHub(settings.secret, this.guard, {
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
    const pause = (gapMs: number): void => this.handlePause(gapMs);
    this.turns = new TurnLoop({ tick, isBusy, end, pause, fail }, settings.pauseBoundMs);
    this.lifecycle = createActor(processMachine);
    this.follower = new LogFollower(this.platform, {
      nextOffset: () => this.configOffset + 1,
      apply: (entries, sentAt) => this.turns.run(() => this.applyLog(entries, sentAt)),
      now: readClock,
      pollMs: options.pollMs ?? LEASED_POLL_MS,
    });
    this.server = createServer((request, response) => this.handleHttp(request, response));
    guardHttpServer(this.server, this.guard, 'callers', this.guard.limits.maxConnections);
  }

  /** Port of the HTTP server; 0 until it listens. */
  get httpPort(): number {
    return (this.server.address() as AddressInfo | null)?.port ?? 0;
  }

  /** `host:port` that accepts links; empty until it listens. */
  get linkAddress(): string {
    return this.address;
  }

  /** Builds the statistics that `GET /statsz` returns. */
  buildStats(): Record<string, unknown> {
    const { user, system } = process.cpuUsage();
    return {
      process: this.peer,
      state: this.lifecycle.getSnapshot().value,
      configOffset: this.configOffset,
      cpuMs: (user + system) / 1_000,
      rssBytes: process.memoryUsage.rss(),
      heapBytes: process.memoryUsage().heapUsed,
      sentBytes: this.hub.counts.bytes,
      sentBatches: this.hub.counts.batches,
      sentMessages: Object.fromEntries(this.hub.counts.messages),
    };
  }

  /** Starts listening, following the log and reporting liveness. */
  async start(): Promise<void> {
    const { host, httpPort, linkPort } = this.settings.listen;
    this.lifecycle.start();
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

  /** Stops gracefully: finishes the work in progress, up to the drain timeout. */
  async stop(): Promise<void> {
    if (this.lifecycle.getSnapshot().value === 'leaving') return;
    this.lifecycle.send({ type: 'leave' });
    this.logger.info('leaving');
    void this.reportLive(true);
    await this.beginLeaving();
    const until = readClock() + this.settings.drainTimeoutMs;
    while (!this.isDrained() && readClock() < until) await sleep(DRAIN_POLL_MS);
    this.logger.info('drained', { complete: this.isDrained() });
    await this.end();
  }

  /** Stops immediately, without finishing the work in progress. */
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
    if (this.lifecycle.getSnapshot().value === 'leaving') this.lifecycle.send({ type: 'drain' });
    this.logger.flush();
    this.metrics.close();
  }

  protected abstract readonly role: 'entry' | 'agent';
  protected abstract get configOffset(): number;
  protected abstract buildHello(): Hello;
  /** Creates the parts that need the link address. */
  protected abstract prepare(): void;
  protected abstract openLink(hello: Hello, now: number): void;
  protected abstract closeLink(peer: string, now: number): void;
  protected abstract receive(peer: string, messages: readonly Message[], now: number): void;
  protected abstract applyLog(entries: readonly LogEntry[], now: number): void;
  protected abstract tick(now: number): void;
  /** Whether ticks are needed at the short interval. */
  protected abstract isBusy(): boolean;
  protected abstract endTurn(now: number): void;
  protected abstract revalidate(): void;
  protected abstract beginLeaving(): Promise<void>;
  protected abstract isDrained(): boolean;
  protected abstract isReady(): boolean;
  protected abstract reportMetrics(): void;
  /** Handles a request other than the health endpoints; returns false for an unknown path. */
  protected abstract routeHttp(request: IncomingMessage, response: ServerResponse, path: string): boolean;

  /** Appends a record to the log. A failure is only logged; the record is proposed again while it is due. */
  protected append(record: LogRecord): void {
    this.logger.info('propose', { record: record.type, id: record.id });
    this.platform.append(record).catch((error: unknown) => {
      this.logger.warn('append-failed', { id: record.id, reason: String(error) });
    });
  }

  /** Runs a function at an interval until the daemon ends. */
  protected every(ms: number, run: () => void): void {
    this.timers.push(setInterval(run, ms));
  }

  private report(): void {
    this.reports += 1;
    if (this.reports % REPORTS_PER_LIVE_REPORT === 1)
      void this.reportLive(this.lifecycle.getSnapshot().value === 'leaving');
    const skewMs = adjustClock();
    this.metrics.gauge('clock_ahead_ms', skewMs);
    this.metrics.gauge('rss_bytes', process.memoryUsage.rss());
    this.metrics.gauge('config_offset', this.configOffset);
    this.metrics.gauge('input_bytes', this.guard.budget.heldBytes);
    this.metrics.gauge('input_connections', this.guard.budget.connections);
    this.metrics.gauge('sent_batches', this.hub.counts.batches);
    for (const [type, count] of this.hub.counts.messages)
      this.metrics.gauge('sent_messages', count, { type });
    this.reportMetrics();
    this.metrics.flush();
    const ready = this.isReady();
    const { value } = this.lifecycle.getSnapshot();
    if (ready && value === 'joining') this.lifecycle.send({ type: 'join' });
    if (!ready && value === 'ready') this.lifecycle.send({ type: 'lose' });
  }

  private async reportLive(leaving: boolean): Promise<void> {
    const { id, failureDomain } = this.settings;
    const vm: LiveVm = { id, role: this.role, address: this.address, failureDomain, leaving };
    await this.platform.reportLive(vm).catch(() => undefined);
  }

  private handlePause(gapMs: number): void {
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
    // The state may be inconsistent, so exit without running further handlers.
    process.exit(EXIT_INVARIANT);
  }

  /** Answers 500, so that an unexpected error in one request does not end the process. */
  protected handleFailure(request: IncomingMessage, response: ServerResponse, error: unknown): void {
    if (error instanceof InvariantError) return this.fail(error);
    logFailure(this.logger, 'call-failed', { call: `${request.method} ${request.url}` }, error);
    if (response.headersSent) return void response.destroy();
    writeJson(response, 500, '{"error":"failed"}');
  }

  private handleHttp(request: IncomingMessage, response: ServerResponse): void {
    try {
      this.answerHttp(request, response);
    } catch (error) {
      this.handleFailure(request, response, error);
    }
  }

  private answerHttp(request: IncomingMessage, response: ServerResponse): void {
    const path = parsePath(request.url ?? '/');
    if (path === undefined) return writeJson(response, 400, '{"error":"malformed path"}');
    if (path === '/healthz') return writeJson(response, 200, '{"healthy":true}');
    if (path === '/readyz') {
      const ready = this.lifecycle.getSnapshot().value !== 'leaving' && this.isReady();
      return writeJson(response, ready ? 200 : 503, JSON.stringify({ ready }));
    }
    if (path === '/statsz') return writeJson(response, 200, JSON.stringify(this.buildStats()));
    if (this.routeHttp(request, response, path)) return;
    writeJson(response, 404, '{"error":"no such path"}');
  }
}
