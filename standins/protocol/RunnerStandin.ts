/** Stand-in for a runner: takes orders under leases and fencing tokens, and sends heartbeats. */
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

const BEAT_MS = 300;
const LOOK_MS = 5;
/** Where the clock of the first life begins, ms; later ones begin at 0, so that theirs is behind it. */
const FIRST_CLOCK_MS = 5_000_000;

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

/** Who a runner is. */
export interface RunnerIdentity {
  readonly id: string;
  readonly service: string;
  /** `host:port` of the agent on its VM. */
  readonly control: string;
  readonly cpu: number;
  /** Gives the address to report for the one it listens at, both `host:port`; that itself by default. */
  readonly advertise?: (address: string) => Promise<string>;
}

/** What every runner of a test tells of starts and ends. */
export interface RunJournal {
  readonly noteStart: (task: string, runner: string) => void;
  readonly noteEnd: (task: string, runner: string, how: string) => void;
}

/** What a life of a runner knows; the next one begins with nothing of it. */
class RunnerLife {
  readonly running = new Map<string, StandinRun>();
  readonly ended: [number, string, number, string, string][] = [];
  readonly highestRun = new Map<string, number>();
  sequence = 0;
  token = 0;
  leaseUntil = 0;
  beats = 0;
  /** Unix ms of its start. */
  readonly born = Date.now();
  private readonly startedAt = performance.now();

  constructor(private readonly firstClockMs: number) {}

  /** The steady clock of this life, ms. */
  get clockMs(): number {
    return Math.floor(performance.now() - this.startedAt) + this.firstClockMs;
  }
}

/** A runner. A task's `spec` is the ms it works. */
export class RunnerStandin extends StandinServer {
  /** The next so many starts are carried out without an answer. */
  muteStarts = 0;
  /** The next so many starts get no answer and are carried out `lateMs` later, with a lease from then on. */
  lateStarts = 0;
  lateMs = 0;
  /** The next so many stops do nothing and get no answer. */
  lostStops = 0;
  /** Sends no heartbeats. */
  mute = false;
  /** What it says it has, thousandths of a core; undefined for what it has. */
  toldCpu: number | undefined;
  /** All that starts fails. */
  fails = false;
  private life = new RunnerLife(FIRST_CLOCK_MS);
  private beatTimer: NodeJS.Timeout | undefined;
  private lapseTimer: NodeJS.Timeout | undefined;
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
    this.beginBeats();
    return url;
  }

  private beginBeats(): void {
    this.beatTimer = setInterval(() => this.beat(), BEAT_MS);
    this.lapseTimer = setInterval(() => this.work(), LOOK_MS);
    this.beat();
  }

  /**
   * Ends without a word, with all that runs there, and starts again under the same id and address.
   *
   * @param downMs - time until then
   */
  async restart(downMs: number): Promise<void> {
    await this.stop();
    for (const task of this.life.running.keys()) this.journal.noteEnd(task, this.identity.id, 'gone');
    await sleep(downMs);
    this.life = new RunnerLife(0);
    await super.start(splitAddress(this.identity.control).host, this.port);
    this.beginBeats();
  }

  /** Reports that this life of the runner has sent. */
  get beats(): number {
    return this.life.beats;
  }

  override async stop(): Promise<void> {
    clearInterval(this.beatTimer);
    clearInterval(this.lapseTimer);
    await super.stop();
  }

  protected override async handle(request: StandinRequest, response: ServerResponse): Promise<void> {
    const expected = request.headers[EXPECT_INSTANCE_HEADER.toLowerCase()];
    if (expected !== undefined && expected !== this.identity.id) return writeJson(response, 421, '{}');
    this.work();
    const order = JSON.parse(request.text) as OrderBody;
    if ((order.fencing_token ?? 0) < this.life.token) return this.conflict(response, 'fence');
    this.life.token = order.fencing_token ?? 0;
    const path = request.url.pathname;
    if (path === RUN_START_PATH && this.lateStarts > 0) return this.delayStart(order, response);
    if (path === RUN_START_PATH) return this.handleStart(order, response);
    if (path === RUN_STOP_PATH) return this.handleStop(order, response);
    if (path === HOLD_PATH) return this.handleHold(order, response);
    writeJson(response, 404, '{}');
  }

  private handleStart(order: OrderBody, response: ServerResponse): void {
    const { task = '', run = 0, spec = '', deadline_ms: deadlineMs = 0 } = order;
    if (deadlineMs < this.life.clockMs) return this.conflict(response, 'late');
    this.life.leaseUntil = Math.max(this.life.leaseUntil, deadlineMs);
    if (this.life.running.get(task)?.run === run) return this.accept(response);
    if (run <= (this.life.highestRun.get(task) ?? 0)) return this.conflict(response, 'old');
    this.begin(task, run, spec);
    if (this.muteStarts === 0) return this.accept(response);
    this.muteStarts -= 1;
    response.destroy();
  }

  /** The lease that the order carries counts from its arrival, and nobody is told that the run began. */
  private async delayStart(order: OrderBody, response: ServerResponse): Promise<void> {
    this.lateStarts -= 1;
    response.destroy();
    const { task = '', run = 0, spec = '', deadline_ms: deadlineMs = 0, fencing_token: token = 0 } = order;
    await sleep(this.lateMs);
    if (token < this.life.token || run <= (this.life.highestRun.get(task) ?? 0)) return;
    this.life.leaseUntil = Math.max(this.life.leaseUntil, deadlineMs + this.lateMs);
    this.begin(task, run, spec);
  }

  private handleStop({ task = '', run = 0 }: OrderBody, response: ServerResponse): void {
    if (this.lostStops > 0) {
      this.lostStops -= 1;
      return void response.destroy();
    }
    this.life.highestRun.set(task, Math.max(run, this.life.highestRun.get(task) ?? 0));
    if (this.life.running.get(task)?.run === run) this.end(task, 'stopped');
    this.accept(response);
  }

  private async handleHold(order: OrderBody, response: ServerResponse): Promise<void> {
    this.life.leaseUntil = Math.max(this.life.leaseUntil, order.deadline_ms ?? 0);
    while (this.life.ended[0] && this.life.ended[0][0] <= (order.last_seen ?? 0)) this.life.ended.shift();
    const until = performance.now() + (order.wait_ms ?? 0);
    while (this.life.ended.length === 0 && performance.now() < until) await sleep(LOOK_MS);
    const running = [...this.life.running.values()].map(({ task, run, startedAt, workMs }) => {
      return [task, run, '', Math.min(99, Math.floor(((performance.now() - startedAt) / workMs) * 100)), 0];
    });
    const { clockMs, born, ended } = this.life;
    writeJson(response, 200, JSON.stringify({ clock_ms: clockMs, born, running, ended }));
  }

  private begin(task: string, run: number, spec: string): void {
    this.life.highestRun.set(task, run);
    this.life.running.set(task, { task, run, startedAt: performance.now(), workMs: Number(spec) });
    this.journal.noteStart(task, this.identity.id);
    if (this.fails) this.end(task, 'failed');
  }

  private work(): void {
    const now = performance.now();
    for (const { task, startedAt, workMs } of [...this.life.running.values()]) {
      if (now - startedAt >= workMs) this.end(task, 'done');
      else if (this.life.clockMs > this.life.leaseUntil) this.end(task, 'lapsed');
    }
  }

  private end(task: string, how: string): void {
    const run = this.life.running.get(task);
    if (!run) return;
    this.life.running.delete(task);
    this.life.sequence += 1;
    this.life.ended.push([this.life.sequence, task, run.run, how, '']);
    this.journal.noteEnd(task, this.identity.id, how);
  }

  private accept(response: ServerResponse): void {
    writeJson(response, 200, JSON.stringify({ clock_ms: this.life.clockMs }));
  }

  private conflict(response: ServerResponse, reason: string): void {
    writeJson(response, 409, JSON.stringify({ clock_ms: this.life.clockMs, reason }));
  }

  private beat(): void {
    if (this.mute) return;
    this.life.beats += 1;
    const { id, service, control, cpu } = this.identity;
    const body = JSON.stringify({
      service,
      address: this.address,
      zone: 'x',
      version: 'v1',
      slots: 8,
      state: this.state,
      cold_remaining_ms: 0,
      capacity: { cpu: this.toldCpu ?? cpu, mem_mb: 4_096, gpu: 0 },
      labels: ['a', 'r1'],
      clock_ms: this.life.clockMs,
      call_seq: this.life.beats,
      born: this.life.born,
    });
    const { host, port } = splitAddress(control);
    const headers = { 'content-type': 'application/json', 'content-length': String(Buffer.byteLength(body)) };
    const outgoing = sendRequest({ host, port, method: 'POST', path: `${HEARTBEAT_PREFIX}${id}`, headers });
    outgoing.on('response', (incoming) => incoming.resume());
    outgoing.on('error', () => undefined);
    outgoing.end(body);
  }
}
