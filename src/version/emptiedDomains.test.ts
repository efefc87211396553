import { expect } from 'chai';

import { applyDomainChange } from './emptiedDomains.js';

describe('applyDomainChange', () => {
  const list = { revision: 4, domains: ['east'] };

  it('adds and takes out a domain, in order', () => {
    const two = applyDomainChange(list, { revision: 5, domain: 'a', isEmptied: true });
    expect(two).to.deep.equal({ revision: 5, domains: ['a', 'east'] });
    const one = applyDomainChange(two, { revision: 9, domain: 'east', isEmptied: false });
    expect(one).to.deep.equal({ revision: 9, domains: ['a'] });
  });

  it('lists a domain once that is emptied twice', () => {
    const again = applyDomainChange(list, { revision: 5, domain: 'east', isEmptied: true });
    expect(again.domains).to.deep.equal(['east']);
  });

  it('does not go back', () => {
    const late = { revision: 4, domain: 'east', isEmptied: false };
    expect(applyDomainChange(list, late)).to.equal(list);
  });
});
