import { expect } from 'chai';
import fc from 'fast-check';

import { decodePart } from './decodePart.js';
import { parsePath } from './parsePath.js';

describe('parsePath', () => {
  it('returns the path without the query', () => {
    expect(parsePath('/v1/jobs/a?b=c')).to.equal('/v1/jobs/a');
    expect(parsePath('http://a.example/healthz')).to.equal('/healthz');
  });

  // One such request ended an entry or an agent.
  it('throws for no target and no part of one', () => {
    expect(parsePath('//')).to.equal(undefined);
    expect(decodePart('%')).to.equal(undefined);
    fc.assert(
      fc.property(fc.string(), (text) => {
        parsePath(text);
        decodePart(text);
      }),
    );
  });
});
