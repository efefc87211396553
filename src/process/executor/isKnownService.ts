import type { Configuration } from '../../version/configuration.js';

/**
 * Tells whether a service is one that upstreams have here: a report that names another one is of another writer.
 *
 * @param service - of a report
 * @param ownService - that the settings name; empty for none
 * @param configuration - in force; undefined while none is known
 * @returns whether the settings or a queue name it; true where neither can tell
 * @example
 * isKnownService('quotes', 'quotes', undefined); // true
 */
export function isKnownService(
  service: string,
  ownService: string,
  configuration: Configuration | undefined,
): boolean {
  if (service === ownService) return true;
  if (!configuration) return ownService === '';
  return configuration.routes.some((route) => route.service === service);
}
