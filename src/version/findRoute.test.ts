import { expect } from 'chai';
import * as fc from 'fast-check';

import { ROUTE } from '../../test/fakes/dispatchFixtures.js';
import type { Configuration, QueueRoute } from './configuration.js';
import { findRoute } from './findRoute.js';

const LIMITS = { maxBodyBytes: 1_000, headerTimeoutMs: 1_000, idleTimeoutMs: 1_000 };

function createConfiguration(places: readonly (readonly [string, string])[]): Configuration {
  const routes = places.map(([host, pathPrefix], at) => ({ ...ROUTE, name: `${at}`, host, pathPrefix }));
  return { version: 1, routes, limits: LIMITS };
}

/** Reference implementation: a linear search of all routes. */
function findRouteLinearly({ routes }: Configuration, host: string, path: string): QueueRoute | undefined {
  let best: QueueRoute | undefined;
  for (const route of routes) {
    if (route.host !== host || !path.startsWith(route.pathPrefix)) continue;
    if (!best || route.pathPrefix.length > best.pathPrefix.length) best = route;
  }
  return best;
}

describe('findRoute', () => {
  it('finds the longest prefix of the host, ignoring the case of the host', () => {
    const configuration = createConfiguration([
      ['a.example', '/q/'],
      ['a.example', '/q/long/'],
      ['b.example', '/q/long/er/'],
    ]);
    expect(findRoute(configuration, 'A.Example', '/q/long/er/1')?.name).to.equal('1');
    expect(findRoute(configuration, 'a.example', '/q/lon')?.name).to.equal('0');
    expect(findRoute(configuration, 'c.example', '/q/1')).to.equal(undefined);
    expect(findRoute(configuration, 'a.example', '/')).to.equal(undefined);
  });

  it('returns the same route as a linear search', () => {
    const host = fc.constantFrom('a', 'b');
    const path = fc.array(fc.constantFrom('/', 'x', 'y'), { maxLength: 6 }).map((parts) => parts.join(''));
    const property = fc.property(fc.array(fc.tuple(host, path)), host, path, (places, wanted, asked) => {
      const configuration = createConfiguration(places);
      expect(findRoute(configuration, wanted, asked)).to.equal(
        findRouteLinearly(configuration, wanted, asked),
      );
    });
    fc.assert(property, { numRuns: 2_000, seed: 18 });
  });
});
