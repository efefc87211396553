/**
 * Stand-in for a runner, as the pages describe it: leases on its own steady clock, fencing tokens, runs and their
 * ends, heartbeats to the executor on its machine. A crash ends a life; the next one has a new id at the same address,
 * runs nothing and may be of another kind. It does not guard its capacity.
 */
import { createServer, request as sendRequest } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { performance } from 'node:perf_hooks';

const HEARTBEAT_MS = 1_500;
const LONGEST_LEASE_MS = 1_000;
const POLL_MS = 5;
const MEMORY_MB = 65_536;

/** What stays the same over the lives of a runner. */
export interface RunnerPlace {
  readonly name: string;
  readonly ip: string;
  readonly service: string;
  readonly zone: string;
  /** `host:port` of the executor on its machine. */
  readonly control: string;
}

/** What may differ between two lives. */
export interface RunnerLife {
  readonly id: string;
  readonly labels: readonly string[];
  /** Thousandths of a core. */
  cpu: number;
}

/** A start that a runner has carried out. */
export interface RunnerStart {
  readonly task: string;
  readonly job: string;
  readonly run: number;
  readonly runner: string;
  readonly machine: string;
  readonly labels: readonly string[];
  /** Tasks at work there, with this one. */
  readonly atWork: number;
  /** Thousandths of a core that the runner has, as it says in its heartbeats. */
  readonly cpu: number;
}

/** Receives what happens at the runners. */
export interface RunnerEvents {
  readonly start: (start: RunnerStart) => void;
  readonly end: (task: string, run: number, runner: string, how: string) => void;
  readonly note: (event: string, fields: Readonly<Record<string, unknown>>) => void;
}

interface Run {
  readonly task: string;
  readonly run: number;
  readonly startedAt: number;
  readonly workMs: number;
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

/** State of one life. */
class LifeState {
  readonly running = new Map<string, Run>();
  readonly highestRun = new Map<string, number>();
  ended: [number, string, number, string, string][] = [];
  sequence = 0;
  token = 0;
  leaseUntil = 0;
  beats = 0;
  private readonly bornAt = performance.now();

  /** Clock of this life, ms. */
  get clockMs(): number {
    return Math.floor(performance.now() - this.bornAt) + 1_000;
  }
}

/** Runner whose tasks name their work in ms as `spec`. */
export class Runner {
  private life: RunnerLife | undefined;
  private state = new LifeState();
  private server: Server | undefined;
  private readonly sockets = new Set<Socket>();
  private readonly timers: NodeJS.Timeout[] = [];
  private port = 0;

  constructor(
    readonly place: RunnerPlace,
    private readonly events: RunnerEvents,
  ) {}

  /** Begins a life at the same address as the earlier ones. */
  async start(life: RunnerLife): Promise<void> {
    this.life = life;
    this.state = new LifeState();
    const server = createServer((request, response) => void this.receive(request, response));
    server.on('connection', (socket) => {
      this.sockets.add(socket);
      socket.on('close', () => this.sockets.delete(socket));
    });
    this.server = server;
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(this.port, this.place.ip, resolve);
    });
    this.port = (server.address() as AddressInfo).port;
    this.timers.push(setInterval(() => this.sendHeartbeat(), HEARTBEAT_MS));
    this.timers.push(setInterval(() => this.updateRuns(), POLL_MS));
    this.events.note('runner-up', { machine: this.place.name, ...life });
    this.sendHeartbeat();
  }

  /** Crashes: says nothing, and all that runs there is gone. */
  async crash(): Promise<void> {
    const { life, server } = this;
    for (const timer of this.timers.splice(0)) clearInterval(timer);
    if (!life || !server) return;
    this.life = undefined;
    this.server = undefined;
    const closed = new Promise<void>((resolve) => server.close(() => resolve()));
    for (const socket of this.sockets) socket.resetAndDestroy();
    for (const { task, run } of this.state.running.values()) this.events.end(task, run, life.id, 'crashed');
    this.state.running.clear();
    this.events.note('runner-crashed', { machine: this.place.name, id: life.id });
    await closed;
  }

  /** Changes the capacity of this life; its next heartbeat says so. */
  setCapacity(cpu: number): void {
    if (this.life) this.life.cpu = cpu;
    this.events.note('capacity', { machine: this.place.name, cpu });
  }

  private async receive(request: IncomingMessage, response: ServerResponse): Promise<void> {
    let text = '';
    request.setEncoding('utf8');
    request.on('data', (part: string) => (text += part));
    request.on('error', () => undefined);
    await new Promise((resolve) => request.once('end', resolve));
    const { life } = this;
    if (!life) return void response.destroy();
    const expected = request.headers['x-marblehall-expect-instance'];
    if (expected !== undefined && expected !== life.id) return reply(response, 421, {});
    this.updateRuns();
    const order = JSON.parse(text) as Order;
    const { state } = this;
    const token = order.fencing_token ?? 0;
    if (token < state.token) return reply(response, 409, { clock_ms: state.clockMs, reason: 'fence' });
    state.token = token;
    if (request.url === '/api/run-start') return this.handleStart(order, response, life);
    if (request.url === '/api/run-stop') return this.handleStop(order, response);
    if (request.url === '/api/hold') return this.handleHold(order, response);
    reply(response, 404, {});
  }

  private handleStart(order: Order, response: ServerResponse, life: RunnerLife): void {
    const { state } = this;
    const { task = '', run = 0, spec = '0', deadline_ms: deadlineMs = 0 } = order;
    if (deadlineMs <= state.clockMs) return reply(response, 409, { clock_ms: state.clockMs, reason: 'late' });
    this.extendLease(deadlineMs);
    const isThere = state.running.get(task)?.run === run;
    if (!isThere && run <= (state.highestRun.get(task) ?? 0))
      return reply(response, 409, { clock_ms: state.clockMs, reason: 'old' });
    if (!isThere) this.startRun(task, run, Number(spec), life);
    reply(response, 200, { clock_ms: state.clockMs });
  }

  private startRun(task: string, run: number, workMs: number, { id, labels, cpu }: RunnerLife): void {
    const { state } = this;
    state.highestRun.set(task, run);
    state.running.set(task, { task, run, startedAt: performance.now(), workMs });
    const [job = ''] = task.split('.');
    const atWork = state.running.size;
    this.events.start({ task, job, run, runner: id, machine: this.place.name, labels, atWork, cpu });
  }

  private handleStop({ task = '', run = 0 }: Order, response: ServerResponse): void {
    const { state } = this;
    state.highestRun.set(task, Math.max(run, state.highestRun.get(task) ?? 0));
    if (state.running.get(task)?.run === run) this.endRun(task, 'stopped');
    reply(response, 200, { clock_ms: state.clockMs });
  }

  private async handleHold(order: Order, response: ServerResponse): Promise<void> {
    const { state } = this;
    if (order.deadline_ms !== undefined) this.extendLease(order.deadline_ms);
    state.ended = state.ended.filter(([sequence]) => sequence > (order.last_seen ?? 0));
    const until = performance.now() + (order.wait_ms ?? 0);
    while (state.ended.length === 0 && performance.now() < until)
      await new Promise((resolve) => setTimeout(resolve, POLL_MS));
    const running = [...state.running.values()].map(({ task, run, startedAt, workMs }) => {
      return [task, run, '', Math.min(99, Math.floor(((performance.now() - startedAt) / workMs) * 100)), 0];
    });
    reply(response, 200, { clock_ms: state.clockMs, running, ended: state.ended });
  }

  private extendLease(untilMs: number): void {
    const { state } = this;
    state.leaseUntil = Math.max(state.leaseUntil, Math.min(untilMs, state.clockMs + LONGEST_LEASE_MS));
  }

  private updateRuns(): void {
    const { state } = this;
    const now = performance.now();
    for (const { task, startedAt, workMs } of [...state.running.values()]) {
      if (now - startedAt >= workMs) this.endRun(task, 'done');
      else if (state.clockMs >= state.leaseUntil) this.endRun(task, 'lapsed');
    }
  }

  private endRun(task: string, how: string): void {
    const { state, life } = this;
    const run = state.running.get(task);
    if (!run || !life) return;
    state.running.delete(task);
    state.sequence += 1;
    state.ended.push([state.sequence, task, run.run, how, '']);
    this.events.end(task, run.run, life.id, how);
  }

  private sendHeartbeat(): void {
    const { life, state, place } = this;
    if (!life) return;
    state.beats += 1;
    const body = JSON.stringify({
      service: place.service,
      address: `${place.ip}:${this.port}`,
      zone: place.zone,
      version: 'v1',
      slots: 8,
      state: 'ready',
      cold_remaining_ms: 0,
      capacity: { cpu: life.cpu, mem_mb: MEMORY_MB, gpu: 0 },
      labels: life.labels,
      clock_ms: state.clockMs,
      call_seq: state.beats,
    });
    const [host = '', port = ''] = place.control.split(':');
    const headers = { 'content-type': 'application/json', 'content-length': String(Buffer.byteLength(body)) };
    const path = `/api/Instances.Heartbeat/${life.id}`;
    const outgoing = sendRequest({ host, port: Number(port), method: 'POST', path, headers, agent: false });
    outgoing.on('response', (incoming) => incoming.resume());
    outgoing.on('error', () => undefined);
    outgoing.end(body);
  }
}

function reply(response: ServerResponse, status: number, body: object): void {
  if (response.destroyed) return;
  const text = JSON.stringify(body);
  const headers = { 'content-type': 'application/json', 'content-length': String(Buffer.byteLength(text)) };
  response.writeHead(status, headers).end(text);
}
