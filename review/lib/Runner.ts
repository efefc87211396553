/**
 * Runner as the users' pages describe it: fencing tokens, one lease for all its runs on its own steady clock,
 * lists of running and ended runs, heartbeats. The `spec` of a task is its work in ms, and after a blank the
 * label that its job requires, if it does.
 */
import { createServer, request as sendRequest } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { performance } from 'node:perf_hooks';
import type { AddressInfo } from 'node:net';

import type { Recorder } from './Recorder.js';

const HEARTBEAT_MS = 1_500;
const CHECK_MS = 4;
/** Time that a stop takes, ms; `stop_ms` is 50. */
const STOP_MS = 20;
const HOLD_MAX_MS = 1_000;
const LONGEST_WAIT_MS = 2_000;

interface Run {
  readonly task: string;
  readonly run: number;
  readonly beganAt: number;
  readonly workMs: number;
  stoppedAt: number | undefined;
}

interface Order {
  readonly task?: string;
  readonly run?: number;
  readonly spec?: string;
  readonly deadline_ms?: number;
  readonly fencing_token?: number;
  readonly last_seen?: number;
  readonly wait_ms?: number;
}

/** Description of a runner. */
export interface RunnerOptions {
  readonly id: string;
  readonly service: string;
  readonly host: string;
  /** Port to listen on; 0 for any free one. */
  readonly port?: number;
  /** `host:port` for heartbeats. */
  readonly control: string;
  readonly cpu: number;
  readonly labels: readonly string[];
}

/** One life of a runner. */
export class Runner {
  port = 0;
  state: 'ready' | 'draining' = 'ready';
  private readonly server: Server;
  private readonly runs = new Map<string, Run>();
  private readonly ended: [number, string, number, string, string][] = [];
  private readonly highestRuns = new Map<string, number>();
  private readonly clockOffset = 100_000 + Math.floor(Math.random() * 1_000_000);
  private waiting: (() => void)[] = [];
  private ends = 0;
  private token = 0;
  private leaseUntil = 0;
  private calls = 0;
  private timers: NodeJS.Timeout[] = [];
  private isUp = false;

  constructor(
    private readonly options: RunnerOptions,
    private readonly recorder: Recorder,
  ) {
    this.server = createServer((incoming, response) => this.receive(incoming, response));
  }

  /** Listens, and registers at the `control` address. */
  async start(): Promise<void> {
    const { host, port = 0 } = this.options;
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, resolve);
    });
    this.port = (this.server.address() as AddressInfo).port;
    this.isUp = true;
    this.timers = [
      setInterval(() => this.sendHeartbeat(), HEARTBEAT_MS),
      setInterval(() => this.update(), CHECK_MS),
    ];
    this.recorder.note(`runner ${this.options.id} is up, labels ${this.options.labels.join(' ')}`);
    this.sendHeartbeat();
  }

  /** Crashes: all its runs are gone, and its connections are reset. */
  crash(): void {
    this.crashDark();
    this.server.closeAllConnections();
  }

  /** Crashes in silence: its open connections are not reset. */
  crashDark(): void {
    if (!this.isUp) return;
    this.isUp = false;
    for (const timer of this.timers) clearInterval(timer);
    this.recorder.note(`runner ${this.options.id} crashes`);
    for (const { task } of [...this.runs.values()]) this.recorder.recordEnd(task, this.options.id, 'crashed');
    this.runs.clear();
    this.server.close();
  }

  private get clockMs(): number {
    return Math.floor(performance.now() + this.clockOffset);
  }

  private receive(incoming: IncomingMessage, response: ServerResponse): void {
    const chunks: Buffer[] = [];
    incoming.on('data', (chunk: Buffer) => chunks.push(chunk));
    incoming.on('error', () => undefined);
    incoming.on('end', () => {
      if (!this.isUp) return;
      const expected = incoming.headers['x-marblehall-expect-instance'];
      if (expected !== undefined && expected !== this.options.id) return this.reply(response, 421, {});
      this.update();
      const order = JSON.parse(Buffer.concat(chunks).toString('utf8') || '{}') as Order;
      const token = order.fencing_token ?? 0;
      if (token < this.token) return this.conflict(response, 'fence');
      this.token = token;
      if (incoming.url === '/api/run-start') return this.handleStart(order, response);
      if (incoming.url === '/api/run-stop') return this.handleStop(order, response);
      if (incoming.url === '/api/hold') return this.handleHold(order, response);
      this.reply(response, 404, {});
    });
  }

  private handleStart(order: Order, response: ServerResponse): void {
    const { task = '', run = 0, spec = '', deadline_ms: deadlineMs = 0 } = order;
    if (deadlineMs <= this.clockMs) return this.conflict(response, 'late');
    this.extendLease(deadlineMs);
    if (this.runs.get(task)?.run === run) return this.reply(response, 200, {});
    if (this.runs.has(task) || run <= (this.highestRuns.get(task) ?? 0))
      return this.conflict(response, 'old');
    this.highestRuns.set(task, run);
    const [work = '0', label = ''] = spec.split(' ');
    this.runs.set(task, {
      task,
      run,
      beganAt: performance.now(),
      workMs: Number(work),
      stoppedAt: undefined,
    });
    const lacking = label === '' || this.options.labels.includes(label) ? '' : label;
    this.recorder.recordStart(task, this.options.id, lacking);
    this.reply(response, 200, {});
  }

  private handleStop({ task = '', run = 0 }: Order, response: ServerResponse): void {
    this.highestRuns.set(task, Math.max(run, this.highestRuns.get(task) ?? 0));
    const known = this.runs.get(task);
    if (known && known.run <= run) known.stoppedAt ??= performance.now();
    this.reply(response, 200, {});
  }

  private handleHold(order: Order, response: ServerResponse): void {
    if (order.deadline_ms !== undefined) this.extendLease(order.deadline_ms);
    const seen = order.last_seen ?? 0;
    while (this.ended[0] && this.ended[0][0] <= seen) this.ended.shift();
    let isAnswered = false;
    const answer = (): void => {
      if (isAnswered) return;
      isAnswered = true;
      clearTimeout(timer);
      this.waiting = this.waiting.filter((waiter) => waiter !== answer);
      this.update();
      this.reply(response, 200, { running: this.listRunning(), ended: this.ended.slice(0, 500) });
    };
    const waitMs = this.ended.length > 0 ? 0 : Math.min(LONGEST_WAIT_MS, order.wait_ms ?? 0);
    const timer = setTimeout(answer, waitMs);
    this.waiting.push(answer);
  }

  private listRunning(): [string, number, string, number][] {
    const now = performance.now();
    return [...this.runs.values()].map(({ task, run, beganAt, workMs }) => {
      return [task, run, '', Math.min(99, Math.floor(((now - beganAt) / workMs) * 100))];
    });
  }

  private extendLease(untilMs: number): void {
    this.leaseUntil = Math.max(this.leaseUntil, Math.min(untilMs, this.clockMs + HOLD_MAX_MS));
  }

  private update(): void {
    if (!this.isUp) return;
    const now = performance.now();
    const before = this.ends;
    for (const { task, run, beganAt, workMs, stoppedAt } of [...this.runs.values()]) {
      if (now - beganAt >= workMs) this.endRun(task, run, 'done');
      else if (this.clockMs > this.leaseUntil) this.endRun(task, run, 'lapsed');
      else if (stoppedAt !== undefined && now - stoppedAt >= STOP_MS) this.endRun(task, run, 'stopped');
    }
    if (this.ends > before) for (const answer of [...this.waiting]) answer();
  }

  private endRun(task: string, run: number, how: string): void {
    this.runs.delete(task);
    this.ends += 1;
    this.ended.push([this.ends, task, run, how, '']);
    this.recorder.recordEnd(task, this.options.id, how);
  }

  private conflict(response: ServerResponse, reason: string): void {
    this.reply(response, 409, { reason });
  }

  private reply(response: ServerResponse, status: number, body: object): void {
    const text = JSON.stringify({ clock_ms: this.clockMs, ...body });
    const headers = { 'content-type': 'application/json', 'content-length': String(Buffer.byteLength(text)) };
    response.writeHead(status, headers).end(text);
  }

  /** Sends a heartbeat now. */
  sendHeartbeat(): void {
    this.calls += 1;
    const { id, service, host, control, cpu, labels } = this.options;
    const body = JSON.stringify({
      service,
      address: `${host}:${this.port}`,
      zone: 'zone-a',
      version: 'v1',
      slots: 8,
      state: this.state,
      cold_remaining_ms: 0,
      capacity: { cpu, mem_mb: 262_144, gpu: 0 },
      labels,
      clock_ms: this.clockMs,
      call_seq: this.calls,
    });
    const [controlHost = '', controlPort = ''] = control.split(':');
    const headers = { 'content-type': 'application/json', 'content-length': String(Buffer.byteLength(body)) };
    const path = `/api/Instances.Heartbeat/${id}`;
    const outgoing = sendRequest({
      host: controlHost,
      port: Number(controlPort),
      method: 'POST',
      path,
      headers,
    });
    outgoing.on('response', (incoming) => incoming.resume());
    outgoing.on('error', () => undefined);
    outgoing.end(body);
  }
}
