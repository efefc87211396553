/** Stand-in for an upstream (runner): accepts orders with leases and fencing tokens, sends heartbeats. */
import { request as sendRequest } from 'node:http';
import type { ServerResponse } from 'node:http';
import { performance } from 'node:perf_hooks';
import { setTimeout as sleep } from 'node:timers/promises';

import { splitAddress } from '../../src/connection/splitAddress.js';
import { writeJson } from '../../src/connection/http/writeJson.js';
import {
  HEARTBEAT_PREFIX,
  EXPECT_INSTANCE_HEADER,
  HOLD_PATH,
  RUN_START_PATH,
  RUN_STOP_PATH,
} from '../../platform/names.js';
import { StandinServer } from '../StandinServer.js';
import type { StandinRequest } from '../StandinServer.js';
import { CallFaults } from './CallFaults.js';
import type { CallDisturbance, CallKind } from './CallFaults.js';

const HEARTBEAT_INTERVAL_MS = 300;
const POLL_INTERVAL_MS = 5;
/** Initial clock of the first incarnation, ms. Later ones begin at 0: the clock goes back at a restart. */
const INITIAL_CLOCK_MS = 5_000_000;

const CALL_KINDS: Readonly<Record<string, CallKind>> = {
  [RUN_START_PATH]: 'start',
  [RUN_STOP_PATH]: 'stop',
  [HOLD_PATH]: 'hold',
};

interface StandinRun {
  readonly task: string;
  readonly run: number;
  readonly startedAt: number;
  readonly workMs: number;
}

interface OrderBody {
  readonly task?: string;
  readonly run?: number;
  readonly spec?: string;
  readonly deadline_ms?: number;
  readonly fencing_token?: number;
  readonly last_seen?: number;
  readonly wait_ms?: number;
}

/** Identity and address of a runner. */
export interface RunnerIdentity {
  readonly id: string;
  readonly service: string;
  /** `host:port` of the executor on its VM. */
  readonly control: string;
  readonly cpu: number;
  /** Maps the listening address to the one to report, both `host:port`. Default: the listening address. */
  readonly advertise?: (address: string) => Promise<string>;
}

/** Receives the starts and ends of runs from all runners of a test. */
export interface RunJournal {
  readonly recordStart: (task: string, runner: string) => void;
  readonly recordEnd: (task: string, runner: string, how: string) => void;
}

/** State of one incarnation of a runner, which is lost at a restart. */
class RunnerIncarnation {
  readonly running = new Map<string, StandinRun>();
  readonly ended: [number, string, number, string, string][] = [];
  readonly highestRun = new Map<string, number>();
  sequence = 0;
  token = 0;
  leaseUntil = 0;
  beats = 0;
  /** Start time, Unix ms. */
  readonly born = Date.now();
  private readonly startedAt = performance.now();

  constructor(private readonly initialClockMs: number) {}

  /** Extends the lease; a longer one, such as one on the clock of an earlier incarnation, is cut to the longest. */
  extendLease(untilMs: number, longestMs: number): void {
    this.leaseUntil = Math.max(this.leaseUntil, Math.min(untilMs, this.clockMs + longestMs));
  }

  /** Monotonic clock of this incarnation, ms. */
  get clockMs(): number {
    return Math.floor(performance.now() - this.startedAt) + this.initialClockMs;
  }
}

/** Runner whose tasks give their duration in ms as `spec`. */
export class RunnerStandin extends StandinServer {
  /** Number of following starts that are executed but not answered. */
  unansweredStarts = 0;
  /** Number of following starts that are not answered and are executed `lateMs` later. */
  lateStarts = 0;
  /** Delay of late starts, ms. */
  lateMs = 0;
  /** Number of following stops that are neither executed nor answered. */
  lostStops = 0;
  /** Faults of the following calls. */
  readonly callFaults = new CallFaults();
  /** Texts sent in place of the next answers to lease renewals. */
  readonly oddAnswers: string[] = [];
  /** Whether its reports and answers name the start of an incarnation. */
  tellsBirth = true;
  /** Whether heartbeats are omitted. */
  skipsHeartbeats = false;
  /** Reported capacity, thousandths of a core; undefined for the actual one. */
  reportedCpu: number | undefined;
  /** Whether every run fails at its start. */
  fails = false;
  /** Longest lease that it grants, ms. */
  longestLeaseMs = 1_000;
  private incarnation = new RunnerIncarnation(INITIAL_CLOCK_MS);
  private heartbeatTimer: NodeJS.Timeout | undefined;
  private runTimer: NodeJS.Timeout | undefined;
  /** Whether it has crashed and not restarted yet. */
  private isDown = false;
  private address = '';
  private port = 0;
  state: 'ready' | 'draining' = 'ready';

  constructor(
    private readonly identity: RunnerIdentity,
    private readonly journal: RunJournal,
  ) {
    super();
  }

  override async start(host: string, port: number): Promise<string> {
    const url = await super.start(host, port);
    const address = url.slice('http://'.length);
    this.port = splitAddress(address).port;
    this.address = (await this.identity.advertise?.(address)) ?? address;
    this.startHeartbeats();
    return url;
  }

  private startHeartbeats(): void {
    this.heartbeatTimer = setInterval(() => this.sendHeartbeat(), HEARTBEAT_INTERVAL_MS);
    this.runTimer = setInterval(() => this.updateRuns(), POLL_INTERVAL_MS);
    this.sendHeartbeat();
  }

  /**
   * Crashes with all its runs, and restarts under the same id and address.
   *
   * @param downMs - downtime before the restart, ms
   */
  async restart(downMs: number): Promise<void> {
    this.isDown = true;
    await this.stop();
    const { running } = this.incarnation;
    for (const task of running.keys()) this.journal.recordEnd(task, this.identity.id, 'gone');
    running.clear();
    await sleep(downMs);
    this.incarnation = new RunnerIncarnation(0);
    this.isDown = false;
    await super.start(splitAddress(this.identity.control).host, this.port);
    this.startHeartbeats();
  }

  /** Number of heartbeats that this incarnation has sent. */
  get beats(): number {
    return this.incarnation.beats;
  }

  override async stop(): Promise<void> {
    clearInterval(this.heartbeatTimer);
    clearInterval(this.runTimer);
    await super.stop();
  }

  protected override async handle(request: StandinRequest, response: ServerResponse): Promise<void> {
    const expected = request.headers[EXPECT_INSTANCE_HEADER.toLowerCase()];
    if (expected !== undefined && expected !== this.identity.id) return writeJson(response, 421, '{}');
    this.updateRuns();
    const order = JSON.parse(request.text) as OrderBody;
    const { pathname } = request.url;
    const kind = CALL_KINDS[pathname];
    const disturbance = kind && this.callFaults.choose(kind);
    if (disturbance) return this.disturbCall(disturbance, pathname, order, response);
    return this.handleCall(pathname, order, response);
  }

  /** Loses a call, or carries it out now or later, and does not answer it. */
  private async disturbCall(
    { outcome, staysOpen, delayMs }: CallDisturbance,
    path: string,
    order: OrderBody,
    response: ServerResponse,
  ): Promise<void> {
    if (!staysOpen) response.destroy();
    if (outcome === 'lost') return;
    const { incarnation } = this;
    await sleep(delayMs, undefined, { ref: false });
    if (incarnation !== this.incarnation || this.isDown) return;
    await this.handleCall(path, order, undefined);
  }

  /** Carries out a call; the response is undefined if it is not to be answered. */
  private async handleCall(
    path: string,
    order: OrderBody,
    response: ServerResponse | undefined,
  ): Promise<void> {
    this.updateRuns();
    if ((order.fencing_token ?? 0) < this.incarnation.token) return this.sendConflict(response, 'fence');
    this.incarnation.token = order.fencing_token ?? 0;
    if (path === RUN_START_PATH && this.lateStarts > 0) return this.delayStart(order, response);
    if (path === RUN_START_PATH) return this.handleStart(order, response);
    if (path === RUN_STOP_PATH) return this.handleStop(order, response);
    if (path === HOLD_PATH) return this.handleHold(order, response);
    sendJson(response, 404, '{}');
  }

  private handleStart(order: OrderBody, response: ServerResponse | undefined): void {
    const { task = '', run = 0, spec = '', deadline_ms: deadlineMs = 0 } = order;
    if (deadlineMs < this.incarnation.clockMs) return this.sendConflict(response, 'late');
    this.incarnation.extendLease(deadlineMs, this.longestLeaseMs);
    if (this.incarnation.running.get(task)?.run === run) return this.sendAccepted(response);
    if (run <= (this.incarnation.highestRun.get(task) ?? 0)) return this.sendConflict(response, 'old');
    this.startRun(task, run, spec);
    if (this.unansweredStarts === 0) return this.sendAccepted(response);
    this.unansweredStarts -= 1;
    response?.destroy();
  }

  /** Executes a start after `lateMs` without answering it, and extends its lease by that delay. */
  private async delayStart(order: OrderBody, response: ServerResponse | undefined): Promise<void> {
    this.lateStarts -= 1;
    response?.destroy();
    const { task = '', run = 0, spec = '', deadline_ms: deadlineMs = 0, fencing_token: token = 0 } = order;
    await sleep(this.lateMs);
    if (token < this.incarnation.token || run <= (this.incarnation.highestRun.get(task) ?? 0)) return;
    this.incarnation.extendLease(deadlineMs + this.lateMs, this.longestLeaseMs);
    this.startRun(task, run, spec);
  }

  private handleStop({ task = '', run = 0 }: OrderBody, response: ServerResponse | undefined): void {
    if (this.lostStops > 0) {
      this.lostStops -= 1;
      return void response?.destroy();
    }
    this.incarnation.highestRun.set(task, Math.max(run, this.incarnation.highestRun.get(task) ?? 0));
    if (this.incarnation.running.get(task)?.run === run) this.endRun(task, 'stopped');
    this.sendAccepted(response);
  }

  private async handleHold(order: OrderBody, response: ServerResponse | undefined): Promise<void> {
    this.incarnation.extendLease(order.deadline_ms ?? 0, this.longestLeaseMs);
    while (this.incarnation.ended[0] && this.incarnation.ended[0][0] <= (order.last_seen ?? 0))
      this.incarnation.ended.shift();
    const until = performance.now() + (order.wait_ms ?? 0);
    while (this.incarnation.ended.length === 0 && performance.now() < until) await sleep(POLL_INTERVAL_MS);
    const running = [...this.incarnation.running.values()].map(({ task, run, startedAt, workMs }) => {
      return [task, run, '', Math.min(99, Math.floor(((performance.now() - startedAt) / workMs) * 100)), 0];
    });
    const { clockMs, ended } = this.incarnation;
    const born = this.tellsBirth ? this.incarnation.born : undefined;
    const odd = this.oddAnswers.shift();
    if (odd !== undefined) return sendJson(response, 200, odd);
    sendJson(response, 200, JSON.stringify({ clock_ms: clockMs, born, running, ended }));
  }

  private startRun(task: string, run: number, spec: string): void {
    this.incarnation.highestRun.set(task, run);
    this.incarnation.running.set(task, { task, run, startedAt: performance.now(), workMs: Number(spec) });
    this.journal.recordStart(task, this.identity.id);
    if (this.fails) this.endRun(task, 'failed');
  }

  /** Ends the runs that are done or whose lease is over. */
  updateRuns(): void {
    const now = performance.now();
    for (const { task, startedAt, workMs } of [...this.incarnation.running.values()]) {
      if (now - startedAt >= workMs) this.endRun(task, 'done');
      else if (this.incarnation.clockMs > this.incarnation.leaseUntil) this.endRun(task, 'lapsed');
    }
  }

  private endRun(task: string, how: string): void {
    const run = this.incarnation.running.get(task);
    if (!run) return;
    this.incarnation.running.delete(task);
    this.incarnation.sequence += 1;
    this.incarnation.ended.push([this.incarnation.sequence, task, run.run, how, '']);
    this.journal.recordEnd(task, this.identity.id, how);
  }

  private sendAccepted(response: ServerResponse | undefined): void {
    sendJson(response, 200, JSON.stringify({ clock_ms: this.incarnation.clockMs }));
  }

  private sendConflict(response: ServerResponse | undefined, reason: string): void {
    sendJson(response, 409, JSON.stringify({ clock_ms: this.incarnation.clockMs, reason }));
  }

  private sendHeartbeat(): void {
    if (this.skipsHeartbeats) return;
    this.incarnation.beats += 1;
    const { id, control } = this.identity;
    const body = JSON.stringify(this.buildHeartbeat());
    const { host, port } = splitAddress(control);
    const headers = { 'content-type': 'application/json', 'content-length': String(Buffer.byteLength(body)) };
    const outgoing = sendRequest({ host, port, method: 'POST', path: `${HEARTBEAT_PREFIX}${id}`, headers });
    outgoing.on('response', (incoming) => incoming.resume());
    outgoing.on('error', () => undefined);
    outgoing.end(body);
  }

  /** Builds the body of a heartbeat of this time. */
  buildHeartbeat(): Record<string, unknown> {
    const { service, cpu } = this.identity;
    return {
      service,
      address: this.address,
      zone: 'x',
      version: 'v1',
      slots: 8,
      state: this.state,
      cold_remaining_ms: 0,
      capacity: { cpu: this.reportedCpu ?? cpu, mem_mb: 4_096, gpu: 0 },
      labels: ['a', 'r1'],
      clock_ms: this.incarnation.clockMs,
      call_seq: this.incarnation.beats,
      born: this.tellsBirth ? this.incarnation.born : undefined,
    };
  }
}

function sendJson(response: ServerResponse | undefined, status: number, text: string): void {
  if (response) writeJson(response, status, text);
}
