import { expect } from 'chai';

import { ROUTE } from '../../../test/fakes/dispatchFixtures.js';
import type { Configuration } from '../../version/configuration.js';
import { isKnownService } from './isKnownService.js';

const CONFIGURATION: Configuration = {
  version: 1,
  routes: [{ ...ROUTE, service: 'quotes' }],
  limits: { maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
};

describe('isKnownService', () => {
  it('knows the service of the settings, and those of queues', () => {
    expect(isKnownService('own', 'own', undefined)).to.equal(true);
    expect(isKnownService('own', 'own', CONFIGURATION)).to.equal(true);
    expect(isKnownService('quotes', 'own', CONFIGURATION)).to.equal(true);
  });

  it('knows no other', () => {
    expect(isKnownService('other', 'own', CONFIGURATION)).to.equal(false);
    expect(isKnownService('other', 'own', undefined)).to.equal(false);
    expect(isKnownService('other', '', CONFIGURATION)).to.equal(false);
  });

  it('takes any where nothing can tell', () => {
    expect(isKnownService('other', '', undefined)).to.equal(true);
  });
});
