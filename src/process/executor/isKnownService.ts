/**
 * Checks whether a service is configured; a report with another service comes from a foreign writer.
 *
 * @param service - service of a report
 * @param ownService - service in the settings; empty for none
 * @param services - services of the queues; undefined while there is no configuration
 * @returns whether the settings or a queue contain it; true if there are neither settings nor a configuration
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
