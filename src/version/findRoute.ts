import type { Configuration, QueueRoute } from './configuration.js';
import { RouteIndex } from './RouteIndex.js';

/** Index of each version that requests are served by, built with the first of them. */
const INDEXES = new WeakMap<Configuration, RouteIndex>();

/**
 * Finds the queue of a request: the longest path prefix among the routes of its host.
 *
 * @param configuration - version in force
 * @param host - host name the caller addressed, without a port
 * @param path - path of the request
 * @returns the route, or undefined if no queue has this address
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
