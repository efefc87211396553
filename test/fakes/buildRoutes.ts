import { createRandom } from '../../src/_lib/createRandom.js';
import type { QueueRoute } from '../../src/version/configuration.js';

/** Number of services that the queues share. */
const SERVICES = 12;

/**
 * Builds the routes of a large configuration with varied names and values.
 *
 * @param count - number of routes, at least 1
 * @param version - version of the configuration; the first route has its own service, `service-of-VERSION`
 */
export function buildRoutes(count: number, version: number): QueueRoute[] {
  const nextRandom = createRandom(count);
  return Array.from({ length: count }, (_, at) => {
    const id = Math.floor(nextRandom() * 1e9).toString(36);
    return {
      name: `queue-${id}-${at}`,
      host: `${id}.customer-${at % 97}.example`,
      pathPrefix: `/queues/${id}/${at}/`,
      service: at === 0 ? `service-of-${version}` : `service-${at % SERVICES}`,
      priority: at % 4,
      maxAttempts: 1 + (at % 3),
      stretch: 1 + Math.round(nextRandom() * 100) / 100,
      targetLatencyMs: 20 + Math.floor(nextRandom() * 400),
      needsAdvice: false,
    };
  });
}
