import { expect } from 'chai';

import { applyDomainChange } from './emptiedDomains.js';

describe('applyDomainChange', () => {
  const list = { revision: 4, domains: ['east'] };

  it('adds and removes a domain and keeps the list sorted', () => {
    const two = applyDomainChange(list, { revision: 5, domain: 'a', isEmptied: true });
    expect(two).to.deep.equal({ revision: 5, domains: ['a', 'east'] });
    const one = applyDomainChange(two, { revision: 9, domain: 'east', isEmptied: false });
    expect(one).to.deep.equal({ revision: 9, domains: ['a'] });
  });

  it('lists a domain that is evacuated twice only once', () => {
    const again = applyDomainChange(list, { revision: 5, domain: 'east', isEmptied: true });
    expect(again.domains).to.deep.equal(['east']);
  });

  it('ignores an earlier revision', () => {
    const late = { revision: 4, domain: 'east', isEmptied: false };
    expect(applyDomainChange(list, late)).to.equal(list);
  });
});
