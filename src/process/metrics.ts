import { StatsD } from 'hot-shots';

import type { MetricsSettings } from './settings/settings.js';

/**
 * Creates the metrics client of a process. Port 0 makes one that sends nothing.
 *
 * @param settings - where to send
 * @param peer - `id@incarnation`, sent as tags
 * @returns the client
 * @example
 * createMetrics({ host: '127.0.0.1', port: 0, prefix: '' }, 'entry-1@a').increment('turns');
 */
export function createMetrics(settings: MetricsSettings, peer: string): StatsD {
  const at = peer.lastIndexOf('@');
  return new StatsD({
    host: settings.host,
    port: settings.port === 0 ? 8125 : settings.port,
    prefix: settings.prefix,
    globalTags: { process: peer.slice(0, at), incarnation: peer.slice(at + 1) },
    mock: settings.port === 0,
    maxBufferSize: 1_200,
    bufferFlushInterval: 500,
    errorHandler: () => undefined,
  });
}
