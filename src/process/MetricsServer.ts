/**
 * Serves the metrics of a process over HTTP. The metrics library is loaded some time after the start, so that
 * a restarted process serves callers sooner; observations are buffered until then.
 */
import { createServer } from 'node:http';
import type { Server } from 'node:http';

import type * as MetricsLibrary from 'prom-client';
import type { Counter, Gauge, Histogram, Registry } from 'prom-client';

import { guardHttpServer } from '../connection/input/guardHttpServer.js';
import { MAX_SERVICE_CONNECTIONS } from '../connection/input/InputGuard.js';
import type { InputGuard } from '../connection/input/InputGuard.js';
import { splitAddress } from '../connection/splitAddress.js';

/** Definition of a metric. */
export interface MetricDefinition {
  readonly kind: 'counter' | 'histogram' | 'gauge';
  readonly help: string;
  /** Label names of a counter; for a gauge with `readByLabel`, its one label. */
  readonly labels?: readonly string[];
  /** Upper bounds of the buckets of a histogram, in the unit of the metric. */
  readonly buckets?: readonly number[];
  /** Reads the value of a gauge at each scrape. */
  readonly read?: () => number;
  /** Reads the values of a gauge with one label at each scrape, by label value. */
  readonly readByLabel?: () => ReadonlyMap<string, number>;
}

/** Labels of one observation. */
export type MetricLabels = Readonly<Record<string, string>>;

/** Maximum number of observations buffered until the library is loaded; further ones are dropped. */
const MAX_PENDING_OBSERVATIONS = 50_000;
/** Delay after which the library is loaded, ms. */
const LOAD_DELAY_MS = 1_500;

/** Metrics of one process. */
export class MetricsServer {
  private readonly counters = new Map<string, Counter>();
  private readonly histograms = new Map<string, Histogram>();
  private pending: (() => void)[] | undefined = [];
  private registry: Registry | undefined;
  private server: Server | undefined;

  /**
   * @param address - `host:port` to serve on; empty to disable the metrics
   * @param definitions - metrics by name
   * @param guard - bounds what clients make the process keep
   */
  constructor(
    private readonly address: string,
    private readonly definitions: Readonly<Record<string, MetricDefinition>>,
    private readonly guard: InputGuard,
  ) {
    if (address === '') this.pending = undefined;
  }

  /** Schedules loading the library and serving the metrics. */
  start(): void {
    if (this.address === '') return;
    setTimeout(() => void this.load(), LOAD_DELAY_MS).unref();
  }

  /** Increments a counter, by one unless an amount is given. */
  increment(name: string, labels: MetricLabels = {}, amount = 1): void {
    this.record(() => this.counters.get(name)?.inc({ ...labels }, amount));
  }

  /** Records a value in a histogram. */
  observe(name: string, value: number): void {
    this.record(() => this.histograms.get(name)?.observe(value));
  }

  /** Stops the server. */
  stop(): void {
    this.server?.close();
    this.server?.closeAllConnections();
  }

  private record(run: () => void): void {
    if (this.registry) run();
    else if (this.pending && this.pending.length < MAX_PENDING_OBSERVATIONS) this.pending.push(run);
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
    { kind, help, labels = [], buckets = [], read, readByLabel: readEach }: MetricDefinition,
  ): void {
    const base = { name, help, registers: [registry] };
    if (kind === 'counter') this.counters.set(name, new library.Counter({ ...base, labelNames: labels }));
    if (kind === 'histogram') {
      this.histograms.set(name, new library.Histogram({ ...base, buckets: [...buckets] }));
    }
    if (kind === 'gauge' && readEach) defineLabeledGauge(library, { ...base, labelNames: labels }, readEach);
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
    guardHttpServer(this.server, this.guard, 'metrics', MAX_SERVICE_CONNECTIONS);
    // Metrics are optional: the process must keep running if the port is in use.
    this.server.on('error', () => undefined);
    this.server.listen(port, host);
  }
}

/** Defines a gauge with one label; label values missing from the latest read are removed. */
function defineLabeledGauge(
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
