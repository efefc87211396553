import { expect } from 'chai';

import { ROUTE } from '../../test/fakes/dispatchFixtures.js';
import type { Configuration } from './configuration.js';
import { DroppedRoutes } from './DroppedRoutes.js';

const RETENTION_MS = 1_000;
const { host } = ROUTE;

function buildConfiguration(version: number, prefixes: readonly string[]): Configuration {
  const routes = prefixes.map((pathPrefix) => ({ ...ROUTE, name: pathPrefix, pathPrefix }));
  return { version, routes, limits: { maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 } };
}

describe('DroppedRoutes', () => {
  let dropped: DroppedRoutes;

  beforeEach(() => {
    dropped = new DroppedRoutes(RETENTION_MS);
    dropped.adopt(buildConfiguration(1, ['/a/', '/a/b/', '/c/']), 0);
  });

  it('finds the longest prefix of a dropped route, and none of a current one', () => {
    dropped.adopt(buildConfiguration(2, ['/c/']), 10);
    expect(dropped.find(host, '/a/b/id', 20)?.pathPrefix).to.equal('/a/b/');
    expect(dropped.find(host.toUpperCase(), '/a/id', 20)?.pathPrefix).to.equal('/a/');
    expect(dropped.find(host, '/c/id', 20)).to.equal(undefined);
    expect(dropped.find('other.example', '/a/id', 20)).to.equal(undefined);
  });

  it('forgets a route after its time, and one that is back', () => {
    dropped.adopt(buildConfiguration(2, ['/a/', '/c/']), 10);
    dropped.adopt(buildConfiguration(3, ['/c/']), 500);
    expect(dropped.find(host, '/a/b/id', 1_010)?.pathPrefix).to.equal('/a/');
    dropped.adopt(buildConfiguration(4, ['/a/']), 1_100);
    expect(dropped.find(host, '/a/id', 1_100)).to.equal(undefined);
    expect(dropped.find(host, '/c/id', 1_100)?.pathPrefix).to.equal('/c/');
    expect(dropped.find(host, '/c/id', 2_100)).to.equal(undefined);
  });
});
