/** Runs entries, agents and stand-ins in one process, for local use and small tests. */
import { PlatformStandin } from '../../standins/platform/PlatformStandin.js';
import { UpstreamStandin } from '../../standins/upstream/UpstreamStandin.js';
import { setTimeout as sleep } from 'node:timers/promises';
import { request } from 'undici';

import { PlatformError } from '../_lib/errors.js';
import { AgentDaemon } from './agent/AgentDaemon.js';
import { LOCAL_SECRET, OPENING_COMMAND } from './localDefaults.js';
import type { LocalOptions } from './localDefaults.js';
import { EntryDaemon } from './entry/EntryDaemon.js';
import { readSettings } from './settings/readSettings.js';

/** Failure domains assigned to the processes in turn. */
const DOMAINS = ['bern', 'olten', 'aarau'];
/** Timeout for the cluster to become ready, ms. */
const READY_TIMEOUT_MS = 20_000;

/** A cluster that runs within the current process. */
export class LocalCluster {
  readonly entries: EntryDaemon[] = [];
  readonly agents: AgentDaemon[] = [];
  readonly upstreams: UpstreamStandin[] = [];
  platform!: PlatformStandin;
  private readonly servers: { stop(): Promise<void> }[] = [];

  constructor(private readonly options: LocalOptions) {}

  /** Returns the URL of an entry. */
  buildEntryUrl(index = 0): string {
    return `http://127.0.0.1:${this.entries[index]?.httpPort ?? 0}`;
  }

  /**
   * Starts all processes, waits until every entry is ready and linked to all agents, and declares the default
   * event.
   */
  async start(): Promise<void> {
    const platformSettings = await readSettings('platform', undefined, { port: 0, liveLagMs: 50 });
    this.platform = new PlatformStandin(platformSettings);
    const platformUrl = await this.platform.start('127.0.0.1', 0);
    this.servers.push(this.platform);
    for (let index = 0; index < this.options.agents; index += 1) await this.startAgent(index, platformUrl);
    for (let index = 0; index < this.options.entries; index += 1) await this.startEntry(index, platformUrl);
    await this.waitUntilReady();
    await this.runCommand(OPENING_COMMAND);
  }

  /** Stops all entries gracefully, then everything else. */
  async stop(): Promise<void> {
    await Promise.all(this.entries.map((entry) => entry.stop()));
    await this.end();
  }

  /** Stops everything immediately. */
  async end(): Promise<void> {
    await Promise.all([...this.entries, ...this.agents].map((daemon) => daemon.end()));
    await Promise.all(this.servers.map((server) => server.stop()));
  }

  /** Runs an operator command at the first entry. */
  async runCommand(text: string): Promise<unknown> {
    const headers = { authorization: `Bearer ${LOCAL_SECRET}` };
    const body = JSON.stringify({ text });
    const response = await request(`${this.buildEntryUrl()}/v1/commands`, { method: 'POST', body, headers });
    const answer = await response.body.json();
    if (response.statusCode !== 200) throw new PlatformError(`${text}: ${JSON.stringify(answer)}`);
    return answer;
  }

  /** Counts the starts of each task at all upstreams, by task id. */
  async readStarts(): Promise<Map<string, number>> {
    const starts = new Map<string, number>();
    for (const upstream of this.upstreams) {
      for (const [id, count] of upstream.startCounts) starts.set(id, (starts.get(id) ?? 0) + count);
    }
    return starts;
  }

  private async startAgent(index: number, platformUrl: string): Promise<void> {
    const { slots, connections, logLevel, sink, agentSettings } = this.options;
    const upstream = new UpstreamStandin(await readSettings('upstream', undefined, { port: 0, slots }));
    const upstreamUrl = await upstream.start('127.0.0.1', 0);
    this.upstreams.push(upstream);
    this.servers.push(upstream);
    const settings = await readSettings('agent', undefined, {
      id: `agent-${index + 1}`,
      secret: LOCAL_SECRET,
      failureDomain: DOMAINS[index % DOMAINS.length],
      platformUrl,
      upstreamUrl,
      slots,
      connections,
      logLevel,
      listen: { httpPort: 0, linkPort: 0 },
      ...agentSettings,
    });
    const agent = new AgentDaemon(settings, sink ? { sink } : {});
    this.agents.push(agent);
    await agent.start();
  }

  private async startEntry(index: number, platformUrl: string): Promise<void> {
    const { logLevel, port, sink, entrySettings } = this.options;
    const settings = await readSettings('entry', undefined, {
      id: `entry-${index + 1}`,
      secret: LOCAL_SECRET,
      failureDomain: DOMAINS[index % DOMAINS.length],
      platformUrl,
      logLevel,
      listen: { httpPort: port === 0 ? 0 : port + index, linkPort: 0 },
      ...entrySettings,
    });
    const entry = new EntryDaemon(settings, sink ? { sink } : {});
    this.entries.push(entry);
    await entry.start();
  }

  private async waitUntilReady(): Promise<void> {
    const until = Date.now() + READY_TIMEOUT_MS;
    while (Date.now() < until) {
      const isLinked = this.entries.every(
        (entry) => Number(entry.buildStats()['agents']) >= this.options.agents,
      );
      const readiness = await Promise.all(this.entries.map((_, index) => this.isReady(index)));
      if (isLinked && readiness.every(Boolean)) return;
      await sleep(50);
    }
    throw new PlatformError('the local cluster did not become ready');
  }

  private async isReady(index: number): Promise<boolean> {
    const response = await request(`${this.buildEntryUrl(index)}/readyz`);
    await response.body.dump();
    return response.statusCode === 200;
  }
}
