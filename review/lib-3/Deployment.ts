/** A small deployment of the project's own programs, as the deploy file starts them, on loopback addresses. */
import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { request as sendRequest } from 'node:http';
import type { Agent } from 'node:http';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import path from 'node:path';
import process from 'node:process';
import { setTimeout as sleep } from 'node:timers/promises';

import type { CaseRecord } from './CaseRecord.js';
import { LossyStore } from './LossyStore.js';
import { Runner } from './Runner.js';
import type { RunnerKind } from './Runner.js';

const PROGRAM = 'target/serve.cjs';
const NODE_ARGS: Readonly<Record<string, readonly string[]>> = {
  dispatcher: ['--max-old-space-size=160', '--max-semi-space-size=8'],
  executor: ['--max-old-space-size=96', '--max-semi-space-size=8'],
};
const MEMORY_MB: Readonly<Record<string, number>> = { dispatcher: 350, executor: 218 };
const READY_WAIT_MS = 20_000;
const HOST = 'desk.example';
const ZONE = 'zone-a';
/** Service of all runners. */
export const SERVICE = 'service-a';
/** Path prefix of the first queue. */
export const PREFIX = '/queue-a/';

/** Answer to a client; status 0 if there was none. */
export interface Answer {
  readonly status: number;
  readonly body: string;
}

/** Queue, for a configuration. */
export interface Queue {
  readonly prefix: string;
  readonly service: string;
}

/** Processes, stand-ins and clients of one case. */
export class Deployment {
  readonly store = new LossyStore();
  readonly runners = new Map<string, Runner>();
  private readonly children = new Map<string, ChildProcess>();
  private readonly directory = mkdtempSync(path.join(tmpdir(), 'review-'));
  private readonly net = 1 + (process.pid % 250);
  private ports = { link: 0, front: 0, ready: 0, control: 0 };
  private storeAddress = '';
  private version = 0;
  private isEnding = false;

  constructor(
    private readonly dispatchers: number,
    private readonly executors: number,
    readonly record: CaseRecord,
  ) {}

  /** Starts all processes and runners, and waits until each dispatcher calls itself ready. */
  async start(findKind: (number: number) => RunnerKind): Promise<void> {
    const [link = 0, front = 0, ready = 0, control = 0] = await findPorts(4);
    this.ports = { link, front, ready, control };
    this.storeAddress = (await this.store.start('127.0.0.1', 0)).slice('http://'.length);
    this.putConfiguration([{ prefix: PREFIX, service: SERVICE }]);
    for (const id of this.listDispatchers()) this.startProcess(id);
    for (let number = 1; number <= this.executors; number += 1) {
      this.startProcess(`side-${number}`);
      const ip = this.findIp(`side-${number}`);
      const runner = new Runner(String(number), ip, SERVICE, `${ip}:${control}`, this.record);
      this.runners.set(`side-${number}`, runner);
    }
    await sleep(1_500);
    let number = 0;
    for (const runner of this.runners.values()) await runner.begin(findKind((number += 1)));
    for (const id of this.listDispatchers()) await this.waitUntilReady(id);
  }

  listDispatchers(): string[] {
    return Array.from({ length: this.dispatchers }, (_, at) => `edge-${at + 1}`);
  }

  /** Writes a configuration as the operator. */
  putConfiguration(queues: readonly Queue[]): void {
    this.version += 3;
    const routes = queues.map(({ prefix, service }, at) => ({
      name: `route-${at}`,
      host: HOST,
      path_prefix: prefix,
      service,
      priority: 1,
      max_attempts: 3,
      stretch: 1.6,
      target_latency_ms: 60,
    }));
    this.record.note('configuration', { version: this.version, queues });
    this.store.putConfiguration({ version: this.version, routes, limits: {} });
  }

  /** Starts a process, or starts it again. */
  startProcess(id: string): void {
    const role = id.startsWith('edge') ? 'dispatcher' : 'executor';
    const ip = this.findIp(id);
    const { link, front, ready, control } = this.ports;
    const isDispatcher = role === 'dispatcher';
    const settings = {
      id,
      failureDomain: ZONE,
      service: isDispatcher ? '' : SERVICE,
      failureDomains: [ZONE],
      address: ip,
      linkPort: link,
      seeds: this.listDispatchers().map((one) => `${this.findIp(one)}:${control}`),
      callerAddress: isDispatcher ? `${ip}:${front}` : '',
      readyAddress: isDispatcher ? `${ip}:${ready}` : '',
      controlAddress: `${ip}:${control}`,
      storeAddress: this.storeAddress,
      storePartitions: 12,
      graceSeconds: 6,
      maxLeaseMs: 1_000,
      stopMs: 50,
      resubmitMs: 1_300,
      cancelledSeconds: 120,
      farFactor: 1.5,
      memoryMb: MEMORY_MB[role],
      maxDescriptors: 4_096,
      linkMbps: 1_000,
      crashLimit: 2,
    };
    const file = path.join(this.directory, `${id}.json`);
    writeFileSync(file, JSON.stringify(settings));
    const args = [...(NODE_ARGS[role] ?? []), PROGRAM, 'serve', role, '--settings', file];
    const child = spawn(process.execPath, args, { stdio: ['ignore', 'pipe', 'pipe'] });
    let lines = '';
    child.stdout.on('data', (text: Buffer) => (lines = this.keepLines(id, lines + text.toString())));
    child.stderr.on('data', (text: Buffer) => this.record.note('stderr', { id, text: text.toString() }));
    child.on('exit', (code, signal) => {
      if (!this.isEnding) this.record.note('exit', { id, code, signal });
    });
    this.children.set(id, child);
    this.record.note('process', { id, pid: child.pid });
  }

  /** Sends a signal to a process of this deployment. */
  signal(id: string, name: NodeJS.Signals): void {
    this.record.note('signal', { id, name });
    this.children.get(id)?.kill(name);
  }

  /** Waits until a process has ended. */
  async waitForEnd(id: string): Promise<void> {
    for (let waited = 0; waited < READY_WAIT_MS; waited += 20) {
      if (!this.isRunning(id)) return;
      await sleep(20);
    }
    throw new Error(`${id} did not end in time`);
  }

  isRunning(id: string): boolean {
    const child = this.children.get(id);
    return child !== undefined && child.exitCode === null && child.signalCode === null;
  }

  /**
   * Sends a client's request; the client stays until it is answered, or for `waitMs`. It uses a connection of its own,
   * or an open one of `agent`.
   */
  call(
    id: string,
    method: string,
    url: string,
    body: string,
    waitMs: number,
    agent: Agent | false = false,
  ): Promise<Answer> {
    this.record.note('request', { id, method, url, body: body.slice(0, 300) });
    const headers = {
      host: HOST,
      'content-type': 'application/json',
      'content-length': String(Buffer.byteLength(body)),
      'X-Marblehall-Deadline-Ms': String(waitMs),
    };
    const options = {
      host: this.findIp(id),
      port: this.ports.front,
      method,
      path: url,
      headers,
      agent,
    };
    return new Promise((resolve) => {
      const finish = (answer: Answer): void => {
        clearTimeout(timer);
        this.record.note('answer', { id, method, url, ...answer });
        resolve(answer);
      };
      const call = sendRequest(options, (incoming) => {
        const chunks: Buffer[] = [];
        incoming.on('data', (chunk: Buffer) => chunks.push(chunk));
        incoming.on('error', () => finish({ status: 0, body: '' }));
        incoming.on('end', () =>
          finish({ status: incoming.statusCode ?? 0, body: Buffer.concat(chunks).toString('utf8') }),
        );
      });
      const timer = setTimeout(() => call.destroy(), waitMs);
      call.on('error', () => finish({ status: 0, body: '' }));
      call.end(body);
    });
  }

  async waitUntilReady(id: string): Promise<void> {
    for (let waited = 0; waited < READY_WAIT_MS; waited += 50) {
      if (await this.isReady(id)) return;
      await sleep(50);
    }
    throw new Error(`${id} did not call itself ready in time`);
  }

  /** Ends all processes that it started. */
  async end(): Promise<void> {
    this.isEnding = true;
    for (const child of this.children.values()) child.kill('SIGKILL');
    for (const runner of this.runners.values()) await runner.stop();
    await this.store.stop();
    rmSync(this.directory, { recursive: true, force: true });
  }

  private isReady(id: string): Promise<boolean> {
    const { ready: port } = this.ports;
    return new Promise((resolve) => {
      const options = { host: this.findIp(id), port, path: '/api/readiness', agent: false };
      const call = sendRequest(options, (answer) => {
        answer.resume();
        resolve(answer.statusCode === 200);
      });
      call.on('error', () => resolve(false));
      call.end();
    });
  }

  private findIp(id: string): string {
    const [kind, number] = id.split('-');
    return `127.${kind === 'edge' ? 41 : 42}.${this.net}.${number}`;
  }

  private keepLines(id: string, text: string): string {
    const lines = text.split('\n');
    const rest = lines.pop() ?? '';
    for (const line of lines) this.record.note('log', { id, line });
    return rest;
  }
}

async function findPorts(count: number): Promise<number[]> {
  const servers = Array.from({ length: count }, () => createServer());
  const ports = await Promise.all(
    servers.map(
      (server) =>
        new Promise<number>((resolve) => {
          server.listen(0, '127.0.0.1', () => resolve((server.address() as { port: number }).port));
        }),
    ),
  );
  for (const server of servers) server.close();
  return ports;
}
