import type { Configuration, QueueRoute } from './configuration.js';
import { RouteIndex } from './RouteIndex.js';

/** Index of each configuration version, built on first use. */
const INDEXES = new WeakMap<Configuration, RouteIndex>();

/**
 * Finds the queue of a request: the route of its host with the longest matching path prefix.
 *
 * @param configuration - current configuration
 * @param host - host name of the request, without a port
 * @param path - path of the request
 * @returns the route, or undefined if none matches
 * @example
 * findRoute(configuration, 'a.example', '/quotes/17')?.name; // 'quotes'
 */
export function findRoute(configuration: Configuration, host: string, path: string): QueueRoute | undefined {
  let index = INDEXES.get(configuration);
  if (!index) {
    index = new RouteIndex(configuration.routes);
    INDEXES.set(configuration, index);
  }
  return index.find(host.toLowerCase(), path);
}
