import type { Configuration, QueueRoute } from './configuration.js';

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
  const wanted = host.toLowerCase();
  let best: QueueRoute | undefined;
  for (const route of configuration.routes) {
    if (route.host !== wanted || !path.startsWith(route.pathPrefix)) continue;
    if (!best || route.pathPrefix.length > best.pathPrefix.length) best = route;
  }
  return best;
}
