import type { Configuration } from './configuration.js';

/**
 * Lists the services of a configuration.
 *
 * @param configuration - the configuration
 * @returns each service once, in the order of the routes
 * @example
 * listServices(configuration); // new Set(['quotes'])
 */
export function listServices({ routes }: Configuration): ReadonlySet<string> {
  return new Set(routes.map(({ service }) => service));
}
