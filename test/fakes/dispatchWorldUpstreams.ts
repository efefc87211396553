/** What the upstreams of the randomised runs say of themselves. */
import type { UpstreamReport } from '../../src/ports/UpstreamRegistry.js';
import { CAPACITY } from './checkDispatchWorld.js';
import { ROUTE } from './dispatchFixtures.js';
import type { WorldAgent } from './dispatchWorldState.js';

/** Names a life of an agent's upstream. */
export function buildUpstreamId(agent: number, life: number): string {
  return `u${agent}-${life}`;
}

/** Builds the report of a life of an agent's upstream. */
export function buildWorldReport(
  { index, upstream }: WorldAgent,
  life: number,
  sequence: number,
): UpstreamReport {
  return {
    id: buildUpstreamId(index, life),
    service: ROUTE.service,
    address: `u${index}`,
    capacity: CAPACITY,
    labels: [],
    isDraining: false,
    clockMs: upstream.fake.clockMs,
    sequence,
  };
}
