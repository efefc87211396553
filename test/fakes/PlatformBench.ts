/** Dispatcher and executor processes on loopback, with stand-ins for store, runners and callers. */
import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import type { Agent } from 'node:http';
import { request as sendRequest } from 'node:http';
import { connect, createServer } from 'node:net';
import type { Socket } from 'node:net';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';

import { HEARTBEAT_PREFIX, DEADLINE_HEADER, READY_PATH } from '../../platform/names.js';
import { splitAddress } from '../../src/connection/splitAddress.js';
import { LoopbackProxy } from './LoopbackProxy.js';
import { readDeployment } from './readDeployment.js';
import type { Deployment, MachineLimits } from './readDeployment.js';
import { readProcess } from './readProcess.js';
import type { ProcessFigures } from './readProcess.js';
import { RunnerStandin } from '../../standins/protocol/RunnerStandin.js';
import { StoreStandin } from '../../standins/protocol/StoreStandin.js';

const BINARY = fileURLToPath(new URL('../../src/bin/marblehall.js', import.meta.url));
const WAIT_MS = 30_000;
const POLL_MS = 20;
const SERVICE = 'service';
const HOST = 'a.example';
const TARGET_LATENCY_MS = 60;
/** Time for which a link of a foreign peer stays open, ms. */
const FOREIGN_LINK_MS = 400;
/** Thousandths of a core that a task needs, and tasks that fit a runner. */
const TASK_CPU = 1_000;
const RUNNER_TASKS = 4;

/** Answer to a caller; status 0 if the connection broke. */
export interface CallerAnswer {
  readonly status: number;
  readonly body: string;
  readonly retryAfter: string | undefined;
}

interface Daemon {
  readonly child: ChildProcess;
  output: string;
  /** Output of its earlier incarnations. */
  readonly earlierOutput: string;
}

/** Address of a listener. */
export interface Listener {
  readonly host: string;
  readonly port: number;
}

/** Small deployment of real processes. */
export class PlatformBench {
  readonly store = new StoreStandin();
  readonly runners: RunnerStandin[] = [];
  /** Number of active runs of each task. */
  readonly atWork = new Map<string, number>();
  /** Number of starts of each task. */
  readonly starts = new Map<string, number>();
  /** When each task was last started, monotonic ms. */
  readonly lastStartAt = new Map<string, number>();
  /** Tasks that ran twice at the same time. */
  readonly doubled: string[] = [];
  /** Tasks that were started beyond their runner's capacity. */
  readonly beyondCapacity: string[] = [];
  /** Version of the newest configuration. */
  version = 1;
  /** Most tasks that ran at one runner at the same time. */
  maxRunning = 0;
  /** Additional settings of the daemons; to be set before the start. */
  extraSettings: Readonly<Record<string, unknown>> = {};
  /** Limits of the VMs by role, where the daemons run as `deploy/system.toml` says; to be set before the start. */
  machines: Readonly<Record<string, MachineLimits>> | undefined;
  /** Failure domains of daemons outside the default one; to be set before the start. */
  domains: Readonly<Record<string, string>> = {};
  /** Connections of callers, which are kept open; false for a new one for each call. */
  callerAgent: Agent | false = false;
  /** Number of starts at each runner. */
  readonly startsByRunner = new Map<string, number>();
  /** Daemons that are being restarted. */
  readonly restarting = new Set<string>();
  /** Number of running tasks of each runner. */
  private readonly loads = new Map<string, number>();
  /** Proxies of links, runners and the store by the id of their target; empty unless `isProxied`. */
  readonly proxies = new Map<string, LoopbackProxy>();
  private readonly daemons = new Map<string, Daemon>();
  private readonly events: string[] = [];
  /** End the connections of callers that wait at a dispatcher. */
  private readonly breakSignals = new Map<string, AbortController>();
  private directory = '';
  private storeAddress = '';
  private ports = { link: 0, front: 0, ready: 0, control: 0, metrics: 0 };
  private deployment: Deployment | undefined;

  constructor(
    private readonly dispatchers: number,
    private readonly executors: number,
    /** Target latency of the queues, ms. */
    private readonly targetLatencyMs = TARGET_LATENCY_MS,
    /** Whether links to dispatchers, orders to runners and calls to the store pass proxies. */
    private readonly isProxied = false,
  ) {}

  /** Starts all processes and waits until the dispatchers accept jobs. */
  async start(): Promise<void> {
    this.directory = await mkdtemp(path.join(tmpdir(), 'marblehall-'));
    this.storeAddress = (await this.store.start('127.0.0.1', 0)).slice('http://'.length);
    if (this.isProxied) this.storeAddress = await this.addProxy('store', this.storeAddress, 0);
    const [link = 0, front = 0, ready = 0, control = 0, metrics = 0] = await findPorts(5);
    this.ports = { link, front, ready, control, metrics };
    if (this.machines) this.deployment = await readDeployment();
    this.putConfiguration(['/q/']);
    for (let number = 1; number <= this.dispatchers; number += 1) {
      const id = `entry-${number}`;
      if (this.isProxied) await this.addProxy(id, `${findIp(id)}:${link}`, link);
      await this.startDaemon(id);
    }
    for (let number = 1; number <= this.executors; number += 1) {
      await this.startDaemon(`agent-${number}`);
      await this.startRunner(number);
    }
    for (let number = 1; number <= this.dispatchers; number += 1)
      await this.waitUntilReady(`entry-${number}`);
  }

  /** Stops all processes that it started. */
  async stop(): Promise<void> {
    for (const { child } of this.daemons.values()) child.kill('SIGKILL');
    if (this.callerAgent) this.callerAgent.destroy();
    for (const runner of this.runners) await runner.stop();
    for (const proxy of this.proxies.values()) proxy.stop();
    await this.store.stop();
    await rm(this.directory, { recursive: true, force: true });
  }

  /** Writes a configuration with a queue for each path prefix. */
  putConfiguration(prefixes: readonly string[], limits: Readonly<Record<string, number>> = {}): void {
    this.version += 3;
    const routes = prefixes.map((prefix, at) => ({
      name: `queue-${at}`,
      host: HOST,
      path_prefix: prefix,
      service: SERVICE,
      priority: 0,
      max_attempts: 2,
      stretch: 1.6,
      target_latency_ms: this.targetLatencyMs,
    }));
    this.store.putConfiguration({ version: this.version, routes, limits });
  }

  /** Starts or restarts a daemon. */
  async startDaemon(id: string): Promise<void> {
    const ip = findIp(id);
    const { link, front, ready, control } = this.ports;
    const role = id.startsWith('entry') ? 'dispatcher' : 'executor';
    const settings = path.join(this.directory, `${id}.json`);
    const findSeed = (name: string): string => (this.isProxied ? findProxyIp(name) : findIp(name));
    const seeds = Array.from(
      { length: this.dispatchers },
      (_, at) => `${findSeed(`entry-${at + 1}`)}:${control}`,
    );
    const value = {
      id,
      address: ip,
      failureDomain: this.domains[id] ?? 'default',
      advertisedAddress: this.isProxied ? findProxyIp(id) : '',
      linkPort: link,
      seeds,
      callerAddress: `${ip}:${front}`,
      readyAddress: `${ip}:${ready}`,
      controlAddress: `${ip}:${control}`,
      storeAddress: this.storeAddress,
      ...this.buildMachineSettings(role, ip),
      ...this.extraSettings,
    };
    await writeFile(settings, JSON.stringify(value));
    const args = [...(this.deployment?.nodeArgs[role] ?? []), BINARY, 'serve', role, '--settings', settings];
    const child = spawn(process.execPath, args, { stdio: ['ignore', 'pipe', 'pipe'] });
    const before = this.daemons.get(id);
    const earlierOutput = before ? `${before.earlierOutput}${before.output}` : '';
    const daemon: Daemon = { child, output: '', earlierOutput };
    child.stdout.on('data', (text: Buffer) => (daemon.output += text.toString()));
    child.stderr.on('data', (text: Buffer) => (daemon.output += text.toString()));
    this.daemons.set(id, daemon);
  }

  /** Returns the loopback address of one of a daemon's listeners. */
  findListener(id: string, listener: 'link' | 'front' | 'ready' | 'control' | 'metrics'): Listener {
    return { host: findIp(id), port: this.ports[listener] };
  }

  /** Reads the metrics of a daemon; empty while they are not served. */
  async readMetrics(id: string): Promise<string> {
    return (await send(findIp(id), this.ports.metrics, 'GET', '/metrics', '', {})).body;
  }

  /** Reads the memory and the descriptors of a daemon; undefined when it has exited. */
  readProcess(id: string): Promise<ProcessFigures | undefined> {
    return readProcess(this.findDaemon(id).child.pid ?? 0);
  }

  /** Silences all open connections that pass proxies; new ones work. */
  silenceConnections(): void {
    for (const proxy of this.proxies.values()) proxy.silenceConnections();
  }

  /** Sends a signal to a daemon. */
  signal(id: string, name: NodeJS.Signals): void {
    this.findDaemon(id).child.kill(name);
  }

  /** Waits until a daemon exits and returns its exit code. */
  async waitForExit(id: string): Promise<number | null> {
    const { child } = this.findDaemon(id);
    await this.waitFor(() => child.exitCode !== null || child.signalCode !== null, `the end of ${id}`);
    return child.exitCode;
  }

  /** Checks whether a daemon runs. */
  isRunning(id: string): boolean {
    const { child } = this.findDaemon(id);
    return child.exitCode === null && child.signalCode === null;
  }

  /** Returns a daemon's output. */
  readOutput(id: string): string {
    return this.findDaemon(id).output;
  }

  /** Notes what a test has done or seen, for the logs. */
  note(event: string): void {
    this.events.push(`${new Date().toISOString()} ${event}`);
  }

  /** Writes every daemon's output and exit status to a new directory and returns its path. */
  async saveLogs(): Promise<string> {
    const directory = await mkdtemp(path.join(tmpdir(), 'marblehall-logs-'));
    for (const [id, { child, output, earlierOutput }] of this.daemons) {
      const end = `exit ${child.exitCode} ${child.signalCode}\n`;
      await writeFile(path.join(directory, `${id}.log`), earlierOutput + output + end);
    }
    await writeFile(path.join(directory, 'events.log'), `${this.events.join('\n')}\n`);
    return directory;
  }

  /** Waits until a dispatcher reports itself ready. */
  async waitUntilReady(id: string): Promise<void> {
    const { ready } = this.ports;
    await this.waitFor(
      async () => (await send(findIp(id), ready, 'GET', READY_PATH, '', {})).status === 200,
      `that ${id} is ready`,
    );
  }

  /** Submits a job of tasks that work for some ms each. The caller leaves when `signal` aborts. */
  submit(
    id: string,
    job: string,
    tasks: number,
    workMs: number,
    patienceMs = 20_000,
    signal?: AbortSignal,
  ): Promise<CallerAnswer> {
    const step = { count: tasks, cpu: TASK_CPU, mem_mb: 10, estimate_ms: workMs };
    const body = { spec: String(workMs), steps: [step], best_effort: true };
    return this.post(id, `/q/${job}`, body, patienceMs, signal);
  }

  /** Sends a POST request to a dispatcher. */
  post(
    id: string,
    url: string,
    body: object,
    patienceMs = 20_000,
    signal?: AbortSignal,
  ): Promise<CallerAnswer> {
    const headers = { host: HOST, 'content-type': 'application/json', [DEADLINE_HEADER]: String(patienceMs) };
    const text = JSON.stringify(body);
    const breaks = this.breakSignals.get(id) ?? new AbortController();
    this.breakSignals.set(id, breaks);
    const ends = signal ? AbortSignal.any([signal, breaks.signal]) : breaks.signal;
    return send(findIp(id), this.ports.front, 'POST', url, text, headers, ends, this.callerAgent);
  }

  /** Closes the connections of all callers that wait at a dispatcher. */
  breakCallers(id: string): void {
    this.breakSignals.get(id)?.abort();
    this.breakSignals.delete(id);
  }

  /** Sends a GET request to a dispatcher. */
  get(id: string, url: string): Promise<CallerAnswer> {
    return send(findIp(id), this.ports.front, 'GET', url, '', { host: HOST });
  }

  /** Sends a heartbeat to an executor as a foreign writer; returns the status of the answer. */
  async sendHeartbeat(executor: string, id: string, body: object): Promise<number> {
    return this.sendReport(executor, `${HEARTBEAT_PREFIX}${id}`, JSON.stringify(body));
  }

  /** Sends any text to an executor as a foreign writer; returns the status of the answer. */
  async sendReport(executor: string, path: string, text: string): Promise<number> {
    const headers = { 'content-type': 'application/json' };
    return (await send(findIp(executor), this.ports.control, 'POST', path, text, headers)).status;
  }

  /** Opens a link to a dispatcher as a foreign peer and sends lines; resolves when the link closes or after a while. */
  async sendLines(id: string, lines: readonly string[]): Promise<void> {
    const socket = connect(this.ports.link, findIp(id));
    socket.on('error', () => undefined);
    socket.resume();
    socket.write(`${lines.join('\n')}\n`);
    const closed = new Promise((resolve) => socket.once('close', resolve));
    await Promise.race([closed, sleep(FOREIGN_LINK_MS)]);
    socket.destroy();
  }

  /** Cancels a job. */
  cancel(id: string, job: string): Promise<CallerAnswer> {
    return send(findIp(id), this.ports.front, 'DELETE', `/q/${job}`, '', { host: HOST });
  }

  /** Waits until no task runs. */
  async waitUntilIdle(): Promise<void> {
    await this.waitFor(() => [...this.atWork.values()].every((count) => count === 0), 'that no task runs');
  }

  /** Opens a caller's connection and writes raw text to it. */
  openCaller(id: string, text: string): Socket {
    const socket = connect(this.ports.front, findIp(id));
    socket.write(text);
    return socket;
  }

  /** Waits until a condition holds; throws after `WAIT_MS`. */
  async waitFor(holds: () => boolean | Promise<boolean>, what = 'it'): Promise<void> {
    for (let waited = 0; waited < WAIT_MS; waited += POLL_MS) {
      if (await holds()) return;
      await sleep(POLL_MS);
    }
    throw new Error(`${what} did not hold in time`);
  }

  private buildMachineSettings(role: string, ip: string): object {
    const limits = this.machines?.[role];
    if (!limits || !this.deployment) return {};
    return { metricsAddress: `${ip}:${this.ports.metrics}`, ...this.deployment.fillLimits(limits) };
  }

  private async startRunner(number: number): Promise<void> {
    const ip = findIp(`agent-${number}`);
    const control = `${ip}:${this.ports.control}`;
    const advertise = async (address: string): Promise<string> =>
      this.isProxied ? this.addProxy(`runner-${number}`, address, 0) : address;
    const runner = new RunnerStandin(
      { id: `i-${number}`, service: SERVICE, control, cpu: RUNNER_TASKS * TASK_CPU, advertise },
      {
        recordStart: (task, id) => {
          const load = (this.loads.get(id) ?? 0) + 1;
          this.loads.set(id, load);
          this.maxRunning = Math.max(this.maxRunning, load);
          this.startsByRunner.set(id, (this.startsByRunner.get(id) ?? 0) + 1);
          if (load > RUNNER_TASKS) this.beyondCapacity.push(task);
          this.starts.set(task, (this.starts.get(task) ?? 0) + 1);
          this.lastStartAt.set(task, performance.now());
          const running = (this.atWork.get(task) ?? 0) + 1;
          this.atWork.set(task, running);
          if (running > 1) this.doubled.push(task);
          this.note(`start ${task} ${id}${running > 1 ? ' beside another run' : ''}`);
        },
        recordEnd: (task, id, how) => {
          this.note(`end ${task} ${id} ${how}`);
          this.loads.set(id, (this.loads.get(id) ?? 1) - 1);
          this.atWork.set(task, (this.atWork.get(task) ?? 1) - 1);
        },
      },
    );
    runner.longestLeaseMs = Number(this.extraSettings['maxLeaseMs'] ?? runner.longestLeaseMs);
    this.runners.push(runner);
    await runner.start(ip, 0);
  }

  /** Starts a proxy in front of an address and returns the address of the proxy. */
  private async addProxy(id: string, target: string, port: number): Promise<string> {
    const { host, port: targetPort } = splitAddress(target);
    const proxy = new LoopbackProxy(findProxyIp(id), port, host, targetPort);
    this.proxies.set(id, proxy);
    return `${findProxyIp(id)}:${await proxy.start()}`;
  }

  private findDaemon(id: string): Daemon {
    const daemon = this.daemons.get(id);
    if (!daemon) throw new Error(`daemon ${id} does not exist`);
    return daemon;
  }
}

/** Separates the loopback addresses of concurrent test processes. */
const NET = process.pid % 250;

/** Returns the loopback address of a daemon; all daemons use the same ports. */
function findIp(id: string): string {
  const [role, number] = id.split('-');
  return `127.${role === 'entry' ? 10 : 20}.${NET}.${number}`;
}

/** Returns the loopback address of the proxy of a daemon, a runner or the store. */
function findProxyIp(id: string): string {
  const [role = '', number = '1'] = id.split('-');
  return `127.${PROXY_NETS[role] ?? 33}.${NET}.${number}`;
}

const PROXY_NETS: Readonly<Record<string, number>> = { entry: 30, agent: 31, runner: 32, store: 33 };

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

function send(
  host: string,
  port: number,
  method: string,
  url: string,
  body: string,
  headers: Readonly<Record<string, string>>,
  signal?: AbortSignal,
  agent: Agent | false = false,
): Promise<CallerAnswer> {
  return new Promise((resolve) => {
    const broken = (): void => resolve({ status: 0, body: '', retryAfter: undefined });
    const options = { host, port, method, path: url, headers, agent };
    const outgoing = sendRequest(signal ? { ...options, signal } : options, (incoming) => {
      const chunks: Buffer[] = [];
      incoming.on('data', (chunk: Buffer) => chunks.push(chunk));
      incoming.on('error', broken);
      incoming.on('end', () => {
        const text = Buffer.concat(chunks).toString('utf8');
        resolve({
          status: incoming.statusCode ?? 0,
          body: text,
          retryAfter: incoming.headers['retry-after'],
        });
      });
    });
    outgoing.on('error', broken);
    outgoing.end(body);
  });
}
