/**
 * Counters and histograms of a process, served as text on an address. The library is loaded after the start, since a
 * restarted process must serve callers first; what is noted before is kept and counted then.
 */
import { createServer } from 'node:http';
import type { Server } from 'node:http';

import type * as MetricsLibrary from 'prom-client';
import type { Counter, Gauge, Histogram, Registry } from 'prom-client';

import { splitAddress } from '../connection/splitAddress.js';

/** What a metric is. */
export interface MetricDefinition {
  readonly kind: 'counter' | 'histogram' | 'gauge';
  readonly help: string;
  /** Labels of a counter. */
  readonly labels?: readonly string[];
  /** Upper bounds of a histogram's buckets, in the unit of the metric. */
  readonly buckets?: readonly number[];
  /** Reads a gauge when it is asked for. */
  readonly read?: () => number;
  /** Reads a gauge with one label when it is asked for: values by that label's. */
  readonly readEach?: () => ReadonlyMap<string, number>;
}

/** Labels of one observation. */
export type MetricLabels = Readonly<Record<string, string>>;

/** Observations that are kept until the library is there; further ones are dropped. */
const MAX_PENDING = 50_000;
/** How long after the start the library is loaded, ms. */
const LOAD_DELAY_MS = 1_500;

/** Metrics of one process. */
export class ServedMetrics {
  private readonly counters = new Map<string, Counter>();
  private readonly histograms = new Map<string, Histogram>();
  private pending: (() => void)[] | undefined = [];
  private registry: Registry | undefined;
  private server: Server | undefined;

  /**
   * @param address - `host:port`; empty for none
   * @param definitions - by name
   */
  constructor(
    private readonly address: string,
    private readonly definitions: Readonly<Record<string, MetricDefinition>>,
  ) {
    if (address === '') this.pending = undefined;
  }

  /** Loads the library after a while and serves the metrics. */
  start(): void {
    if (this.address === '') return;
    setTimeout(() => void this.load(), LOAD_DELAY_MS).unref();
  }

  /** Counts an amount, one unless told otherwise. */
  increment(name: string, labels: MetricLabels = {}, amount = 1): void {
    this.note(() => this.counters.get(name)?.inc({ ...labels }, amount));
  }

  /** Takes a value into a histogram. */
  observe(name: string, value: number): void {
    this.note(() => this.histograms.get(name)?.observe(value));
  }

  /** Ends the server. */
  stop(): void {
    this.server?.close();
    this.server?.closeAllConnections();
  }

  private note(run: () => void): void {
    if (this.registry) run();
    else if (this.pending && this.pending.length < MAX_PENDING) this.pending.push(run);
  }

  private async load(): Promise<void> {
    const library = await import('prom-client');
    const registry = new library.Registry();
    for (const [name, definition] of Object.entries(this.definitions)) {
      this.define(library, registry, name, definition);
    }
    this.registry = registry;
    for (const run of this.pending ?? []) run();
    this.pending = undefined;
    this.listen(registry);
  }

  private define(
    library: typeof MetricsLibrary,
    registry: Registry,
    name: string,
    { kind, help, labels = [], buckets = [], read, readEach }: MetricDefinition,
  ): void {
    const base = { name, help, registers: [registry] };
    if (kind === 'counter') this.counters.set(name, new library.Counter({ ...base, labelNames: labels }));
    if (kind === 'histogram') {
      this.histograms.set(name, new library.Histogram({ ...base, buckets: [...buckets] }));
    }
    if (kind === 'gauge' && readEach) defineEach(library, { ...base, labelNames: labels }, readEach);
    if (kind !== 'gauge' || !read) return;
    const collect = function (this: Gauge): void {
      this.set(read());
    };
    new library.Gauge({ ...base, collect });
  }

  private listen(registry: Registry): void {
    const { host, port } = splitAddress(this.address);
    this.server = createServer((_, response) => {
      void registry.metrics().then((text) => {
        response.writeHead(200, { 'content-type': registry.contentType }).end(text);
      });
    });
    this.server.on('error', () => undefined);
    this.server.listen(port, host);
  }
}

/** Defines a gauge with one label; values that are not read any more are dropped. */
function defineEach(
  library: typeof MetricsLibrary,
  base: { name: string; help: string; registers: Registry[]; labelNames: readonly string[] },
  readEach: () => ReadonlyMap<string, number>,
): void {
  const label = base.labelNames[0] ?? '';
  const collect = function (this: Gauge): void {
    this.reset();
    for (const [value, count] of readEach()) this.set({ [label]: value }, count);
  };
  new library.Gauge({ ...base, collect });
}
