/**
 * A small deployment on loopback: dispatchers and executors as the deploy file starts them, each on an address of its
 * own and with the same ports, with stand-ins for the store and the runners.
 */
import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { createWriteStream } from 'node:fs';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { request as sendRequest } from 'node:http';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import path from 'node:path';
import process from 'node:process';
import { setTimeout as sleep } from 'node:timers/promises';

import { StoreStandin } from '../../standins/protocol/StoreStandin.js';
import { PeerNetwork } from './PeerNetwork.js';
import type { Recorder } from './Recorder.js';
import { Runner } from './Runner.js';
import type { RunnerEvents } from './Runner.js';

export const HOST = 'nony24.example';
export const PREFIX = '/lohu930/';
const SERVICE = 'huvo11a';
const ZONE = 'poa-a';
const READY_TIMEOUT_MS = 20_000;
const POLL_MS = 25;
/** The commands of the deploy file, without the settings, which the variable names. */
const COMMANDS = {
  dispatcher: ['--max-old-space-size=160', 'target/serve.cjs', 'serve', 'dispatcher'],
  executor: ['--max-old-space-size=96', 'target/serve.cjs', 'serve', 'executor'],
} as const;

/** Size of a deployment and the kinds of its runners. */
export interface DeploymentOptions {
  readonly dispatchers: number;
  /** Labels of the runner on each `side` machine. */
  readonly runners: readonly (readonly string[])[];
  /** Capacity of a runner, thousandths of a core. */
  readonly cpu: number;
}

/** Dispatchers, executors, runners and store of one case. */
export class Deployment {
  readonly store = new StoreStandin();
  readonly network = new PeerNetwork();
  readonly runners: Runner[] = [];
  /** Number of tasks that the runners have started. */
  starts = 0;
  private readonly processes = new Map<string, ChildProcess>();
  private directory = '';
  private storeAddress = '';
  private ports = { link: 0, front: 0, ready: 0, control: 0, metrics: 0 };

  constructor(
    private readonly options: DeploymentOptions,
    private readonly recorder: Recorder,
    private readonly events: RunnerEvents,
  ) {}

  /** Address of a machine for clients. */
  findFront(machine: string): { readonly host: string; readonly port: number } {
    return { host: findIp(machine), port: this.ports.front };
  }

  /** Starts everything, and waits until all dispatchers call themselves ready. */
  async start(): Promise<void> {
    this.directory = await mkdtemp(path.join(tmpdir(), 'marblehall-review-'));
    this.storeAddress = (await this.store.start('127.0.0.1', 0)).slice('http://'.length);
    const [link = 0, front = 0, ready = 0, control = 0, metrics = 0] = await findPorts(5);
    this.ports = { link, front, ready, control, metrics };
    this.putConfiguration(7);
    for (const name of this.dispatchers) {
      await this.network.add(name, findProxyIp(name), findIp(name), link);
      await this.startProcess(name);
    }
    for (const [at, labels] of this.options.runners.entries()) await this.startSide(at + 1, labels);
    for (const name of this.dispatchers) await this.waitUntilReady(name);
  }

  /** Names of the `edge` machines. */
  get dispatchers(): string[] {
    return Array.from({ length: this.options.dispatchers }, (_, at) => `edge-${at + 1}`);
  }

  /** Writes a configuration with one queue, as the operator. */
  putConfiguration(version: number): void {
    const route = { name: 'queue', host: HOST, path_prefix: PREFIX, service: SERVICE, priority: 0 };
    const bounds = { max_attempts: 3, stretch: 1.6, target_latency_ms: 60 };
    const services = [{ name: SERVICE, enforces_capacity: false }];
    this.store.putConfiguration({ version, routes: [{ ...route, ...bounds }], services, limits: {} });
  }

  /** Starts the process of a machine, or starts it again. */
  async startProcess(name: string): Promise<void> {
    const role = name.startsWith('edge') ? 'dispatcher' : 'executor';
    const file = path.join(this.directory, `${name}.json`);
    await writeFile(file, JSON.stringify(this.buildSettings(name, role)));
    const env = { PATH: process.env['PATH'], HOME: process.env['HOME'], MARBLEHALL_CONFIG: file };
    const child = spawn('node', COMMANDS[role], { env, stdio: ['ignore', 'pipe', 'pipe'] });
    const log = createWriteStream(path.join(this.directory, `${name}.log`), { flags: 'a' });
    child.stdout.pipe(log, { end: false });
    child.stderr.pipe(log, { end: false });
    child.on('exit', (code, signal) => this.recorder.write('process-ended', { name, code, signal }));
    this.processes.set(name, child);
    this.recorder.write('process-started', { name, pid: child.pid });
  }

  /** Sends a signal to the process of a machine. */
  signal(name: string, signal: NodeJS.Signals): void {
    this.recorder.write('signal', { name, signal });
    this.processes.get(name)?.kill(signal);
  }

  /** Waits until the process of a machine has ended. */
  async waitForEnd(name: string): Promise<void> {
    const child = this.processes.get(name);
    while (child && child.exitCode === null && child.signalCode === null) await sleep(POLL_MS);
  }

  /** Whether a dispatcher calls itself ready. */
  async isReady(name: string): Promise<boolean> {
    const options = { host: findIp(name), port: this.ports.ready, path: '/api/readiness', agent: false };
    return new Promise((resolve) => {
      const outgoing = sendRequest({ ...options, timeout: 1_000 }, (incoming) => {
        incoming.resume();
        resolve(incoming.statusCode === 200);
      });
      outgoing.on('timeout', () => outgoing.destroy());
      outgoing.on('error', () => resolve(false));
      outgoing.end();
    });
  }

  /** Waits until a dispatcher calls itself ready. */
  async waitUntilReady(name: string): Promise<void> {
    const until = Date.now() + READY_TIMEOUT_MS;
    while (!(await this.isReady(name))) {
      if (Date.now() > until) throw new Error(`${name} does not become ready`);
      await sleep(POLL_MS);
    }
  }

  /** Ends all processes that it has started, and removes its folder unless `KEEP_LOGS` is set. */
  async stop(): Promise<void> {
    for (const child of this.processes.values()) child.kill('SIGKILL');
    for (const name of this.processes.keys()) await this.waitForEnd(name);
    for (const runner of this.runners) await runner.crash();
    this.network.stop();
    await this.store.stop();
    if (process.env['KEEP_LOGS'] === undefined) await rm(this.directory, { recursive: true, force: true });
  }

  private async startSide(number: number, labels: readonly string[]): Promise<void> {
    const name = `side-${number}`;
    await this.startProcess(name);
    const ip = findIp(name);
    const control = `${ip}:${this.ports.control}`;
    const start: RunnerEvents['start'] = (started) => {
      this.starts += 1;
      this.events.start(started);
    };
    const runner = new Runner({ name, ip, service: SERVICE, zone: ZONE, control }, { ...this.events, start });
    this.runners.push(runner);
    await runner.start({ id: `i-${number}0`, labels, cpu: this.options.cpu });
  }

  /** Builds the settings as the template of the deploy file gives them. */
  private buildSettings(name: string, role: 'dispatcher' | 'executor'): object {
    const { link, front, ready, control, metrics } = this.ports;
    const ip = findIp(name);
    const isDispatcher = role === 'dispatcher';
    return {
      id: name,
      failureDomain: ZONE,
      service: isDispatcher ? '' : SERVICE,
      failureDomains: [ZONE],
      address: ip,
      advertisedAddress: isDispatcher ? findProxyIp(name) : '',
      linkPort: link,
      seeds: this.dispatchers.slice(0, 3).map((seed) => `${findProxyIp(seed)}:${control}`),
      callerAddress: isDispatcher ? `${ip}:${front}` : '',
      readyAddress: isDispatcher ? `${ip}:${ready}` : '',
      controlAddress: `${ip}:${control}`,
      storeAddress: this.storeAddress,
      storePartitions: 12,
      metricsAddress: `${ip}:${metrics}`,
      graceSeconds: 6,
      maxLeaseMs: 1_000,
      stopMs: 50,
      resubmitMs: 1_300,
      cancelledSeconds: 120,
      farFactor: 1.5,
      linkMbps: 1_000,
      crashLimit: 2,
    };
  }
}

/** Keeps the addresses of cases apart that run at the same time. */
const NET = process.pid % 250;

function findIp(name: string): string {
  const [kind, number] = name.split('-');
  return `127.${kind === 'edge' ? 50 : 51}.${NET}.${number}`;
}

function findProxyIp(name: string): string {
  return `127.52.${NET}.${name.split('-')[1]}`;
}

async function findPorts(count: number): Promise<number[]> {
  const servers = Array.from({ length: count }, () => createServer());
  const ports: number[] = [];
  for (const server of servers) {
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    ports.push((server.address() as { port: number }).port);
  }
  for (const server of servers) server.close();
  return ports;
}
