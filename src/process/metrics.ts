import { StatsD } from 'hot-shots';

import type { MetricsSettings } from './settings/settings.js';

/** Tags of a metric. */
export type MetricTags = Readonly<Record<string, string>>;

/** Metrics of one process. Increments are summed until `flush`. */
export interface ProcessMetrics {
  gauge(name: string, value: number, tags?: MetricTags): void;
  increment(name: string, tags?: MetricTags): void;
  /** Sends the summed increments. */
  flush(): void;
  close(): void;
}

/**
 * Creates the StatsD metrics of a process. With port 0 nothing is sent.
 *
 * @param settings - StatsD server and prefix
 * @param peer - `id@incarnation`, sent as tags
 * @returns the metrics
 * @example
 * createMetrics({ host: '127.0.0.1', port: 0, prefix: '' }, 'entry-1@a').increment('pauses');
 */
export function createMetrics(settings: MetricsSettings, peer: string): ProcessMetrics {
  if (settings.port === 0) {
    const ignore = (): void => undefined;
    return { gauge: ignore, increment: ignore, flush: ignore, close: ignore };
  }
  const client = createClient(settings, peer);
  const counts = new Map<string, { readonly name: string; readonly tags: MetricTags; count: number }>();
  return {
    gauge: (name, value, tags = {}) => void client.gauge(name, value, { ...tags }),
    increment: (name, tags = {}) => {
      const key = `${name} ${Object.values(tags).join(' ')}`;
      const known = counts.get(key);
      if (known) known.count += 1;
      else counts.set(key, { name, tags, count: 1 });
    },
    flush: () => {
      for (const { name, tags, count } of counts.values()) client.increment(name, count, { ...tags });
      counts.clear();
    },
    close: () => client.close(() => undefined),
  };
}

function createClient(settings: MetricsSettings, peer: string): StatsD {
  const at = peer.lastIndexOf('@');
  return new StatsD({
    host: settings.host,
    port: settings.port,
    prefix: settings.prefix,
    globalTags: { process: peer.slice(0, at), incarnation: peer.slice(at + 1) },
    maxBufferSize: 1_200,
    bufferFlushInterval: 500,
    errorHandler: () => undefined,
  });
}
