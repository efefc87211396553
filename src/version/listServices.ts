import type { Configuration } from './configuration.js';

/**
 * Lists the services that a configuration names.
 *
 * @param configuration - any version
 * @returns each service once, in the order of the routes
 * @example
 * listServices(configuration); // new Set(['quotes'])
 */
export function listServices({ routes }: Configuration): ReadonlySet<string> {
  return new Set(routes.map(({ service }) => service));
}
