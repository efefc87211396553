import { expect } from 'chai';

import { splitAddress } from './splitAddress.js';

describe('splitAddress', () => {
  it('splits at the last colon', () => {
    expect(splitAddress('10.1.0.13:8161')).to.deep.equal({ host: '10.1.0.13', port: 8161 });
    expect(splitAddress('::1:80')).to.deep.equal({ host: '::1', port: 80 });
  });
});
