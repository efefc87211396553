/** Entries, agents and stand-ins as separate processes on loopback, for benchmarks and failure tests. */
import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { mkdtemp, writeFile } from 'node:fs/promises';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';

import { request } from 'undici';

import { LOCAL_SECRET } from '../src/process/localDefaults.js';

const BINARY = fileURLToPath(new URL('../src/bin/marblehall.js', import.meta.url));
const READY_MS = 30_000;
const DOMAINS = ['bern', 'olten', 'aarau'];

/** Sizes of a cluster, and settings that override the defaults. */
export interface ClusterOptions {
  readonly entries: number;
  readonly agents: number;
  readonly slots?: number;
  readonly entrySettings?: Readonly<Record<string, unknown>>;
  readonly agentSettings?: Readonly<Record<string, unknown>>;
  readonly platformSettings?: Readonly<Record<string, unknown>>;
}

/** Process of a cluster. */
export interface Member {
  readonly id: string;
  readonly args: readonly string[];
  readonly url: string;
  child: ChildProcess;
}

/** Counters that a daemon serves at `/statsz`. */
export interface MemberStats {
  readonly cpuMs: number;
  readonly rssBytes: number;
  readonly sentBatches: number;
  readonly sentMessages: Readonly<Record<string, number>>;
  readonly state: string;
  readonly configOffset: number;
  readonly [key: string]: unknown;
}

export class ProcessCluster {
  readonly members = new Map<string, Member>();
  platformUrl = '';
  private directory = '';

  constructor(readonly options: ClusterOptions) {}

  /** Starts all processes and waits until every entry is linked to every agent. */
  async start(): Promise<void> {
    this.directory = await mkdtemp(path.join(tmpdir(), 'marblehall-'));
    const platformPort = await findPort();
    this.platformUrl = `http://127.0.0.1:${platformPort}`;
    const platform = { port: platformPort, liveLagMs: 100, ...this.options.platformSettings };
    await this.launch('platform', ['standin', 'platform'], platform, this.platformUrl);
    const numbers = Array.from({ length: this.options.agents }, (_, index) => index + 1);
    await Promise.all(numbers.map((number) => this.startAgent(number)));
    for (let number = 1; number <= this.options.entries; number += 1) await this.startEntry(number);
    await this.waitUntilReady();
  }

  /** URL of a member's HTTP server. */
  url(id: string): string {
    return this.members.get(id)?.url ?? '';
  }

  get entryUrls(): string[] {
    return [...this.members.values()].filter(({ id }) => id.startsWith('entry')).map(({ url }) => url);
  }

  /** Lists the ids of the members of a role. */
  listIds(role: string): string[] {
    return [...this.members.keys()].filter((id) => id.startsWith(role));
  }

  /** Sends a signal to one member. */
  signal(id: string, signal: NodeJS.Signals): void {
    this.members.get(id)?.child.kill(signal);
  }

  /** Waits until a member has exited and returns its exit code, null after a signal. */
  async waitForExit(id: string): Promise<number | null> {
    const child = this.members.get(id)?.child;
    if (!child) return null;
    if (child.exitCode !== null || child.signalCode !== null) return child.exitCode;
    return new Promise((resolve) => child.once('exit', (code) => resolve(code)));
  }

  /** Restarts an exited member at the same address. */
  restart(id: string): void {
    const member = this.members.get(id);
    if (member) member.child = this.spawn(member.args);
  }

  /** Reads a JSON document from a member's HTTP server. */
  async read<T>(id: string, pathname: string): Promise<T> {
    const response = await request(`${this.url(id)}${pathname}`);
    return (await response.body.json()) as T;
  }

  /** Reads the counters of a member. */
  async readStats(id: string): Promise<MemberStats> {
    return this.read<MemberStats>(id, '/statsz');
  }

  /** Counts the starts of each task over all upstreams. */
  async readStarts(): Promise<Map<string, number>> {
    const starts = new Map<string, number>();
    for (const id of this.listIds('upstream')) {
      for (const [task, count] of Object.entries(await this.read<Record<string, number>>(id, '/starts'))) {
        starts.set(task, (starts.get(task) ?? 0) + count);
      }
    }
    return starts;
  }

  /** Sets faults of a stand-in. */
  async setFaults(id: string, faults: Readonly<Record<string, unknown>>): Promise<void> {
    const response = await request(`${this.url(id)}/faults`, { method: 'PUT', body: JSON.stringify(faults) });
    await response.body.dump();
  }

  /** Runs an operator's command at an entry. */
  async runCommand(
    text: string,
    entry = 'entry-1',
  ): Promise<{ status: number; body: Record<string, unknown> }> {
    const headers = { authorization: `Bearer ${LOCAL_SECRET}` };
    const body = JSON.stringify({ text });
    const response = await request(`${this.url(entry)}/v1/commands`, { method: 'POST', body, headers });
    return { status: response.statusCode, body: (await response.body.json()) as Record<string, unknown> };
  }

  /** Kills every process of the cluster. */
  async stop(): Promise<void> {
    for (const { child } of this.members.values()) child.kill('SIGKILL');
    await sleep(50);
  }

  /**
   * Polls until a condition holds.
   *
   * @returns the time that this took, ms
   * @throws Error when it does not hold within the timeout
   */
  async waitFor(condition: () => Promise<boolean>, timeoutMs: number): Promise<number> {
    const begin = Date.now();
    while (Date.now() - begin < timeoutMs) {
      if (await condition().catch(() => false)) return Date.now() - begin;
      await sleep(20);
    }
    throw new Error(`condition did not hold within ${timeoutMs} ms`);
  }

  /** Starts an agent and its upstream. */
  async startAgent(number: number): Promise<void> {
    const upstreamPort = await findPort();
    const { slots = 8 } = this.options;
    const upstreamUrl = `http://127.0.0.1:${upstreamPort}`;
    await this.launch(
      `upstream-${number}`,
      ['standin', 'upstream'],
      { port: upstreamPort, slots },
      upstreamUrl,
    );
    const settings = {
      ...this.buildCommonSettings(`agent-${number}`, number),
      upstreamUrl,
      slots,
      ...this.options.agentSettings,
    };
    await this.launchDaemon('agent', settings);
  }

  async startEntry(number: number): Promise<void> {
    const settings = {
      ...this.buildCommonSettings(`entry-${number}`, number),
      ...this.options.entrySettings,
    };
    await this.launchDaemon('entry', settings);
  }

  /** Waits until every entry is ready and linked to every agent. */
  async waitUntilReady(): Promise<void> {
    await this.waitFor(async () => {
      for (const id of this.listIds('entry')) {
        const stats = await this.readStats(id);
        if (stats.state !== 'ready' || Number(stats['agents']) < this.options.agents) return false;
      }
      return true;
    }, READY_MS);
  }

  private buildCommonSettings(id: string, number: number): Record<string, unknown> {
    const failureDomain = DOMAINS[number % DOMAINS.length];
    return { id, secret: LOCAL_SECRET, failureDomain, platformUrl: this.platformUrl, logLevel: 'warn' };
  }

  private async launchDaemon(role: string, settings: Record<string, unknown>): Promise<void> {
    const httpPort = await findPort();
    const linkPort = await findPort();
    const listen = { httpPort, linkPort };
    await this.launch(
      String(settings['id']),
      [role],
      { ...settings, listen },
      `http://127.0.0.1:${httpPort}`,
    );
  }

  private async launch(id: string, command: readonly string[], settings: object, url: string): Promise<void> {
    const file = path.join(this.directory, `${id}.json`);
    await writeFile(file, JSON.stringify(settings));
    const args = [...command, '--settings', file];
    this.members.set(id, { id, args, url, child: this.spawn(args) });
    const member = this.members.get(id) as Member;
    await this.waitFor(async () => {
      const response = await request(`${url}/healthz`);
      await response.body.dump();
      return true;
    }, READY_MS);
    if (member.child.exitCode !== null) throw new Error(`${id} exited with code ${member.child.exitCode}`);
  }

  private spawn(args: readonly string[]): ChildProcess {
    return spawn(process.execPath, [BINARY, ...args], { stdio: ['ignore', 'ignore', 'inherit'] });
  }
}

/** Below the ephemeral ports, so that no other socket takes a port before its process listens. */
const FIRST_PORT = 12_000;
const LAST_PORT = 32_000;
let nextPort = FIRST_PORT + (process.pid % 1_000) * 20;

/** Finds a free port on loopback that this process has not returned before. */
async function findPort(): Promise<number> {
  for (;;) {
    nextPort = nextPort >= LAST_PORT ? FIRST_PORT : nextPort + 1;
    const port = nextPort;
    if (await isPortFree(port)) return port;
  }
}

async function isPortFree(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)));
  });
}
