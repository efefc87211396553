import { expect } from 'chai';

import { isKnownService } from './isKnownService.js';

const SERVICES = new Set(['quotes']);

describe('isKnownService', () => {
  it('accepts the service in the settings and those of queues', () => {
    expect(isKnownService('own', 'own', undefined)).to.equal(true);
    expect(isKnownService('own', 'own', SERVICES)).to.equal(true);
    expect(isKnownService('quotes', 'own', SERVICES)).to.equal(true);
  });

  it('rejects other services', () => {
    expect(isKnownService('other', 'own', SERVICES)).to.equal(false);
    expect(isKnownService('other', 'own', undefined)).to.equal(false);
    expect(isKnownService('other', '', SERVICES)).to.equal(false);
  });

  it('accepts any service if there are neither settings nor a configuration', () => {
    expect(isKnownService('other', '', undefined)).to.equal(true);
  });
});
