/**
 * Tells whether a service is one that upstreams have here: a report that names another one is of another writer.
 *
 * @param service - of a report
 * @param ownService - that the settings name; empty for none
 * @param services - that queues name; undefined while no configuration is known
 * @returns whether the settings or a queue name it; true where neither can tell
 * @example
 * isKnownService('quotes', 'quotes', undefined); // true
 */
export function isKnownService(
  service: string,
  ownService: string,
  services: ReadonlySet<string> | undefined,
): boolean {
  if (service === ownService) return true;
  if (!services) return ownService === '';
  return services.has(service);
}
