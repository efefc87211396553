/**
 * Small deployment on loopback: the project's dispatchers and executors as processes of the deploy file, its
 * own stand-in of the store, and runners.
 */
import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { request as sendRequest } from 'node:http';
import { createServer, connect } from 'node:net';
import type { Socket } from 'node:net';
import { tmpdir } from 'node:os';
import path from 'node:path';
import process from 'node:process';
import { setTimeout as sleep } from 'node:timers/promises';

import { StoreStandin } from '../../standins/protocol/StoreStandin.js';
import type { Recorder } from './Recorder.js';
import { Runner } from './Runner.js';

export const SERVICE = 'bid-portal';
export const HOST = 'tender.example';
const POLL_MS = 20;
const WAIT_MS = 20_000;
/** Time after which a case ends in any case, ms; 120 s are allowed. */
const LONGEST_RUN_MS = 115_000;
/** Exit status of a case that could not run. */
const COULD_NOT_RUN = 2;
/** The commands of the deploy file. */
const COMMANDS = {
  dispatcher: ['--max-old-space-size=160', 'target/serve.cjs', 'serve', 'dispatcher'],
  executor: ['--max-old-space-size=96', 'target/serve.cjs', 'serve', 'executor'],
} as const;

/** Role of a process. */
export type Role = keyof typeof COMMANDS;

/** Submission of a job. */
export interface Job {
  readonly id: string;
  readonly patienceMs: number;
  readonly spec: string;
  readonly steps: readonly object[];
}

/** What a caller got: a status, or 0 if the connection broke or was closed first. */
export interface Answer {
  readonly status: number;
  readonly body: string;
}

/** Processes, store and runners of one case. */
export class Deployment {
  readonly store = new StoreStandin();
  readonly runners: Runner[] = [];
  private readonly processes = new Map<string, ChildProcess>();
  private readonly directory = mkdtempSync(path.join(tmpdir(), 'marblehall-review-'));
  private readonly net = process.pid % 250;
  private ports: readonly number[] = [];
  private storeAddress = '';
  private names: readonly string[] = [];

  constructor(readonly recorder: Recorder) {
    process.on('exit', () => {
      this.killProcesses();
      rmSync(this.directory, { recursive: true, force: true });
    });
    for (const signal of ['SIGINT', 'SIGTERM'] as const)
      process.on(signal, () => process.exit(COULD_NOT_RUN));
    for (const event of ['uncaughtException', 'unhandledRejection'] as const)
      process.on(event, (error: unknown) => {
        process.stderr.write(`${String(error)}\n`);
        process.exit(COULD_NOT_RUN);
      });
    setTimeout(() => process.exit(COULD_NOT_RUN), LONGEST_RUN_MS).unref();
  }

  /** Starts the store, the dispatchers and the executors, and waits for none of them. */
  async start(dispatchers: number, executors: number): Promise<void> {
    this.ports = await findPorts(5);
    this.storeAddress = (await this.store.start(`127.63.${this.net}.1`, 0)).slice('http://'.length);
    this.store.putConfiguration(buildConfiguration());
    this.names = Array.from({ length: dispatchers }, (_, at) => `edge-${at + 1}`);
    for (const name of this.names) this.startProcess('dispatcher', name);
    for (let at = 1; at <= executors; at += 1) this.startProcess('executor', `side-${at}`);
  }

  /** Starts or restarts a process. */
  startProcess(role: Role, name: string): void {
    const [link, front, ready, control, metrics] = this.ports;
    const ip = this.findIp(name);
    const settings = path.join(this.directory, `${name}.json`);
    const value = {
      id: name,
      failureDomain: 'zone-a',
      service: role === 'dispatcher' ? '' : SERVICE,
      failureDomains: ['zone-a'],
      address: ip,
      linkPort: link,
      seeds: this.names.map((other) => `${this.findIp(other)}:${control}`),
      callerAddress: role === 'dispatcher' ? `${ip}:${front}` : '',
      readyAddress: role === 'dispatcher' ? `${ip}:${ready}` : '',
      controlAddress: `${ip}:${control}`,
      storeAddress: this.storeAddress,
      storePartitions: 12,
      metricsAddress: `${ip}:${metrics}`,
      graceSeconds: 6,
      maxLeaseMs: 1_000,
      stopMs: 50,
      resubmitMs: 1_300,
      farFactor: 1.5,
      linkMbps: 1_000,
      crashLimit: 2,
    };
    writeFileSync(settings, JSON.stringify(value));
    const args = [...COMMANDS[role], '--settings', settings];
    const child = spawn(process.execPath, args, { stdio: ['ignore', 'pipe', 'pipe'] });
    this.processes.set(name, child);
    this.recorder.note(`process ${name} starts`);
    let rest = '';
    child.stdout.on('data', (chunk: Buffer) => {
      const lines = (rest + chunk.toString()).split('\n');
      rest = lines.pop() ?? '';
      for (const line of lines) this.noteLog(name, line);
    });
    child.stderr.on('data', (chunk: Buffer) => this.recorder.note(`stderr ${name} ${chunk.toString()}`));
    child.on('exit', (code, signal) => this.recorder.note(`process ${name} ends ${code} ${signal}`));
  }

  /** Events of the processes' logs that the record takes; all if empty. */
  loggedEvents: readonly string[] = (process.env['LOGGED'] ?? 'paused started entry-silent')
    .split(' ')
    .filter(Boolean);

  private noteLog(name: string, line: string): void {
    const event = /"event":"([^"]*)"/.exec(line)?.[1] ?? '';
    if (this.loggedEvents.length > 0 && !this.loggedEvents.includes(event)) return;
    this.recorder.note(`log ${name} ${line}`);
  }

  /** Starts a runner beside an executor. */
  async startRunner(
    number: number,
    id: string,
    cpu: number,
    labels: readonly string[],
    port = 0,
  ): Promise<Runner> {
    const host = this.findIp(`side-${number}`);
    const control = `${host}:${this.ports[3]}`;
    const runner = new Runner({ id, service: SERVICE, host, port, control, cpu, labels }, this.recorder);
    this.runners.push(runner);
    await runner.start();
    return runner;
  }

  /** Process id of a process. */
  findPid(name: string): number {
    const pid = this.processes.get(name)?.pid;
    if (pid === undefined) throw new Error(`${name} does not run`);
    return pid;
  }

  /** Sends a signal to a process. */
  signal(name: string, signal: NodeJS.Signals): void {
    this.recorder.note(`signal ${signal} to ${name}`);
    this.processes.get(name)?.kill(signal);
  }

  /** Waits until all dispatchers call themselves ready. */
  async waitUntilReady(): Promise<void> {
    for (const name of this.names) await this.waitUntilOneReady(name);
  }

  private async waitUntilOneReady(name: string): Promise<void> {
    for (let waited = 0; waited < WAIT_MS; waited += POLL_MS) {
      if ((await this.getReadiness(name)) === 200) return;
      await sleep(POLL_MS);
    }
    throw new Error(`${name} is not ready`);
  }

  private getReadiness(name: string): Promise<number> {
    const options = { host: this.findIp(name), port: this.ports[2], path: '/api/readiness', agent: false };
    return new Promise((resolve) => {
      const outgoing = sendRequest(options, (incoming) => {
        incoming.resume();
        resolve(incoming.statusCode ?? 0);
      });
      outgoing.on('error', () => resolve(0));
      outgoing.end();
    });
  }

  /**
   * Submits a job on a new connection.
   *
   * @param name - the dispatcher
   * @param job - the job
   * @param leaveMs - time after which the caller closes its connection if it has no answer, ms
   */
  submit(name: string, job: Job, leaveMs = Infinity): Promise<Answer> {
    const body = JSON.stringify({ best_effort: true, spec: job.spec, steps: job.steps });
    const deadline = `X-Marblehall-Deadline-Ms: ${job.patienceMs}\r\n`;
    return this.call(name, 'POST', job.id, `${deadline}Content-Type: application/json\r\n`, body, leaveMs);
  }

  /** Cancels a job on a new connection. */
  cancel(name: string, id: string): Promise<Answer> {
    return this.call(name, 'DELETE', id, '', '', Infinity);
  }

  private call(
    name: string,
    method: string,
    id: string,
    headers: string,
    body: string,
    leaveMs: number,
  ): Promise<Answer> {
    const length = body === '' ? '' : `Content-Length: ${Buffer.byteLength(body)}\r\n`;
    const text = `${method} /q/${id} HTTP/1.1\r\nHost: ${HOST}\r\n${headers}${length}\r\n${body}`;
    return new Promise((resolve) => {
      const socket: Socket = connect({ host: this.findIp(name), port: this.ports[1] ?? 0, noDelay: true });
      let received = '';
      let timer: NodeJS.Timeout | undefined;
      const finish = (status: number, how: string): void => {
        clearTimeout(timer);
        socket.removeAllListeners('close');
        socket.destroy();
        this.recorder.note(`${how} ${method} ${id} at ${name}: ${status}`);
        resolve({ status, body: received.slice(received.indexOf('\r\n\r\n') + 4) });
      };
      if (leaveMs !== Infinity) timer = setTimeout(() => finish(0, 'caller leaves'), leaveMs);
      this.recorder.note(`send ${method} ${id} to ${name}`);
      socket.on('connect', () => socket.write(text));
      socket.on('data', (chunk: Buffer) => {
        received += chunk.toString();
        const head = received.indexOf('\r\n\r\n');
        const size = Number(/content-length: (\d+)/i.exec(received)?.[1] ?? 0);
        if (head < 0 || received.length < head + 4 + size) return;
        finish(Number(received.slice(9, 12)), 'answer to');
      });
      socket.on('error', () => undefined);
      socket.on('close', () => finish(0, 'no answer to'));
    });
  }

  /** Ends all processes, the store and the runners. */
  async stop(): Promise<void> {
    this.killProcesses();
    for (const runner of this.runners) runner.crash();
    await this.store.stop();
    rmSync(this.directory, { recursive: true, force: true });
  }

  /** Ends all processes; those that are stopped end too. */
  private killProcesses(): void {
    for (const child of this.processes.values()) child.kill('SIGKILL');
  }

  private findIp(name: string): string {
    const [role, number] = name.split('-');
    return `127.${role === 'edge' ? 60 : 61}.${this.net}.${number}`;
  }
}

function buildConfiguration(): object {
  const route = {
    name: 'queue-1',
    host: HOST,
    path_prefix: '/q/',
    type: 'unsafe',
    timeout_ms: 1_500,
    target_latency_ms: 60,
    priority: 0,
    service: SERVICE,
    max_attempts: 3,
    stretch: 1.6,
  };
  const service = {
    name: SERVICE,
    health_path: '/health',
    max_conns: 64,
    protocol: 'h1',
    tls: false,
    enforces_capacity: false,
    headroom: false,
  };
  const limits = {
    max_header_bytes: 16_384,
    max_body_bytes: 262_144,
    header_timeout_ms: 3_000,
    idle_timeout_ms: 15_000,
  };
  return { version: 7, routes: [route], services: [service], limits };
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
