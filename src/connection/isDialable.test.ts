import { expect } from 'chai';

import { isDialable } from './isDialable.js';

describe('isDialable', () => {
  it('accepts hosts with a port', () => {
    for (const address of ['10.1.0.13:1', 'a.example:65535'])
      expect(isDialable(address), address).to.equal(true);
  });

  it('rejects all others', () => {
    const addresses = [
      '',
      ':80',
      'host',
      'host:',
      'host:0',
      'host:65536',
      'host:99999',
      'host:-1',
      'host:1.5',
      'host:x',
    ];
    for (const address of addresses) expect(isDialable(address), address).to.equal(false);
  });
});
