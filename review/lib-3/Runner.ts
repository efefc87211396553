/**
 * Stand-in for a runner, as the users' pages describe it: lives with an id, a clock and a fencing token of their
 * own, leased runs, stops that take a moment, and lists of running and ended runs. It guards no capacity.
 */
import { createServer, request as sendRequest } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { performance } from 'node:perf_hooks';
import { clearInterval, setInterval, setTimeout } from 'node:timers';
import { setTimeout as sleep } from 'node:timers/promises';

import type { CaseRecord } from './CaseRecord.js';

const BEAT_MS = 1_500;
const POLL_MS = 2;
/** Longest lease, and time that a stop takes (at most 50 ms), ms. */
const LONGEST_LEASE_MS = 1_000;
const STOP_MS = 20;
/** Ends listed in one answer. */
const MAX_ENDS = 500;
/** Time after which the next daemon would be called for an unanswered heartbeat, ms. */
const BEAT_TIMEOUT_MS = 1_000;

interface Run {
  readonly task: string;
  readonly run: number;
  readonly startedAt: number;
  /** When its work is done, and when its stop takes effect, monotonic ms. */
  readonly doneAt: number;
  stoppedAt: number;
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

/** What a life says of itself. */
export interface RunnerKind {
  readonly labels: readonly string[];
  readonly cpu: number;
}

/** State of one life. */
class Life {
  readonly id: string;
  readonly running = new Map<string, Run>();
  readonly settled = new Map<string, number>();
  ended: [number, string, number, string, string][] = [];
  ends = 0;
  token = 0;
  leaseUntil = 0;
  beats = 0;
  /** Present capacity, thousandths of a core, and since when it is no larger, monotonic ms. */
  cpu: number;
  shrunkAt = -Infinity;
  private readonly startedAt = performance.now();

  constructor(
    name: string,
    readonly number: number,
    readonly kind: RunnerKind,
  ) {
    this.id = `i-${name}-${number}`;
    this.cpu = kind.cpu;
  }

  get clock(): number {
    return Math.floor(performance.now() - this.startedAt) + 100_000 * this.number;
  }

  extend(deadline: number): void {
    this.leaseUntil = Math.max(this.leaseUntil, Math.min(deadline, this.clock + LONGEST_LEASE_MS));
  }
}

/** A runner at a fixed address, with one life at a time. */
export class Runner {
  private life: Life | undefined;
  private lives = 0;
  private port = 0;
  private server: Server | undefined;
  private beatTimer: ReturnType<typeof setInterval> | undefined;
  private readonly endTimer = setInterval(() => this.endDue(), POLL_MS);
  state: 'ready' | 'draining' = 'ready';

  constructor(
    readonly name: string,
    private readonly ip: string,
    private readonly service: string,
    private readonly control: string,
    private readonly record: CaseRecord,
  ) {}

  /** Id of the present life; empty while there is none. */
  get id(): string {
    return this.life?.id ?? '';
  }

  /** Labels of the present life. */
  get labels(): readonly string[] {
    return this.life?.kind.labels ?? [];
  }

  /** Begins a life: listens, and registers at once. */
  async begin(kind: RunnerKind): Promise<void> {
    this.lives += 1;
    this.state = 'ready';
    const life = new Life(this.name, this.lives, kind);
    const server = createServer((request, response) => void this.receive(life, request, response));
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(this.port, this.ip, resolve);
    });
    this.port = (server.address() as AddressInfo).port;
    this.server = server;
    this.life = life;
    this.record.note('life', { runner: life.id, labels: kind.labels, cpu: kind.cpu });
    this.beat();
    this.beatTimer = setInterval(() => this.beat(), BEAT_MS);
  }

  /** Changes the capacity, which the next heartbeat tells. */
  setCapacity(cpu: number): void {
    const { life } = this;
    if (!life) return;
    if (cpu < life.cpu) life.shrunkAt = performance.now();
    life.cpu = cpu;
    this.record.note('capacity', { runner: life.id, cpu });
  }

  /** Crashes: all that runs dies, and nothing listens any more. */
  async crash(): Promise<void> {
    const { life, server } = this;
    clearInterval(this.beatTimer);
    this.life = undefined;
    this.server = undefined;
    if (!life || !server) return;
    this.record.note('crash', { runner: life.id });
    for (const { task, run } of life.running.values()) this.record.recordEnd(life.id, task, run, 'crashed');
    life.running.clear();
    const closed = new Promise<void>((resolve) => server.close(() => resolve()));
    server.closeAllConnections();
    await closed;
  }

  /** Ends for good. */
  async stop(): Promise<void> {
    clearInterval(this.endTimer);
    await this.crash();
  }

  /** Sends a heartbeat now. */
  beat(): void {
    const { life } = this;
    if (!life) return;
    life.beats += 1;
    const { cpu } = life;
    const { labels } = life.kind;
    const body = JSON.stringify({
      service: this.service,
      address: `${this.ip}:${this.port}`,
      zone: 'zone-a',
      version: 'v1',
      slots: 8,
      state: this.state,
      cold_remaining_ms: 0,
      capacity: { cpu, mem_mb: 65_536, gpu: 0 },
      labels,
      clock_ms: life.clock,
      call_seq: life.beats,
    });
    const [host = '', port = ''] = this.control.split(':');
    const path = `/api/Instances.Heartbeat/${life.id}`;
    const headers = { 'content-type': 'application/json', 'content-length': String(Buffer.byteLength(body)) };
    const call = sendRequest({ host, port: Number(port), method: 'POST', path, headers, agent: false });
    const timer = setTimeout(() => call.destroy(), BEAT_TIMEOUT_MS);
    call.on('response', (answer) => {
      clearTimeout(timer);
      answer.resume();
    });
    call.on('error', () => undefined);
    call.end(body);
  }

  private async receive(life: Life, request: IncomingMessage, response: ServerResponse): Promise<void> {
    const chunks: Buffer[] = [];
    for await (const chunk of request) chunks.push(chunk as Buffer);
    const expected = request.headers['x-marblehall-expect-instance'];
    if (expected !== undefined && expected !== life.id) return send(response, 421, undefined);
    if (life !== this.life) return void response.destroy();
    const order = JSON.parse(Buffer.concat(chunks).toString('utf8')) as Order;
    this.endDue();
    const token = order.fencing_token ?? 0;
    if (token < life.token) return refuse(response, life, 'fence');
    life.token = token;
    if (request.url === '/api/run-start') return this.startRun(life, order, response);
    if (request.url === '/api/run-stop') return this.stopRun(life, order, response);
    if (request.url === '/api/hold') return this.hold(life, order, response);
    send(response, 404, {});
  }

  private startRun(life: Life, order: Order, response: ServerResponse): void {
    const { task = '', run = 0, spec = '', deadline_ms: deadline = 0 } = order;
    if (deadline <= life.clock) return refuse(response, life, 'late');
    life.extend(deadline);
    if (life.running.get(task)?.run === run) return send(response, 200, { clock_ms: life.clock });
    if (run <= (life.settled.get(task) ?? 0) || life.running.has(task)) return refuse(response, life, 'old');
    life.settled.set(task, run);
    const startedAt = performance.now();
    life.running.set(task, { task, run, startedAt, doneAt: startedAt + Number(spec), stoppedAt: Infinity });
    const { cpu, shrunkAt, running } = life;
    this.record.recordStart({
      runner: life.id,
      labels: life.kind.labels,
      task,
      run,
      running: running.size,
      cpu,
      shrunkAt,
    });
    send(response, 200, { clock_ms: life.clock });
  }

  private stopRun(life: Life, { task = '', run = 0 }: Order, response: ServerResponse): void {
    life.settled.set(task, Math.max(run, life.settled.get(task) ?? 0));
    const running = life.running.get(task);
    if (running && running.run <= run)
      running.stoppedAt = Math.min(running.stoppedAt, performance.now() + STOP_MS);
    send(response, 200, { clock_ms: life.clock });
  }

  private async hold(life: Life, order: Order, response: ServerResponse): Promise<void> {
    if (order.deadline_ms !== undefined) life.extend(order.deadline_ms);
    const seen = order.last_seen ?? 0;
    life.ended = life.ended.filter(([number]) => number > seen);
    const until = performance.now() + Math.min(2_000, order.wait_ms ?? 0);
    while (life === this.life && life.ended.length === 0 && performance.now() < until) await sleep(POLL_MS);
    if (life !== this.life) return void response.destroy();
    const running = [...life.running.values()].map((one) => [one.task, one.run, '', findPercent(one)]);
    send(response, 200, { clock_ms: life.clock, running, ended: life.ended.slice(0, MAX_ENDS) });
  }

  private endDue(): void {
    const { life } = this;
    if (!life) return;
    const now = performance.now();
    for (const { task, run, doneAt, stoppedAt } of [...life.running.values()]) {
      if (now >= stoppedAt) this.endRun(life, task, run, 'stopped');
      else if (now >= doneAt) this.endRun(life, task, run, 'done');
      else if (life.clock >= life.leaseUntil) this.endRun(life, task, run, 'lapsed');
    }
  }

  private endRun(life: Life, task: string, run: number, how: string): void {
    life.running.delete(task);
    life.ends += 1;
    life.ended.push([life.ends, task, run, how, '']);
    this.record.recordEnd(life.id, task, run, how);
  }
}

function findPercent({ startedAt, doneAt }: Run): number {
  const share = (performance.now() - startedAt) / Math.max(1, doneAt - startedAt);
  return Math.min(99, Math.floor(share * 100));
}

function refuse(response: ServerResponse, life: Life, reason: string): void {
  send(response, 409, { clock_ms: life.clock, reason });
}

function send(response: ServerResponse, status: number, body: object | undefined): void {
  if (response.destroyed) return;
  const text = body === undefined ? '' : JSON.stringify(body);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': String(Buffer.byteLength(text)),
  });
  response.end(text);
}
