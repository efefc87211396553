import { expect } from 'chai';

import { chooseEvenly } from './chooseEvenly.js';
import { createRandom } from './createRandom.js';

describe('chooseEvenly', () => {
  it('chooses all places when there are no more than the maximum', () => {
    expect(chooseEvenly([{ failureDomain: 'x', weight: 1 }], 8)).to.have.length(1);
  });

  it('chooses the place with the highest weight of each domain first', () => {
    const places = [
      { failureDomain: 'x', weight: 9 },
      { failureDomain: 'x', weight: 8 },
      { failureDomain: 'y', weight: 1 },
    ];
    expect(chooseEvenly(places, 2)).to.deep.equal([places[0], places[2]]);
  });

  it('prefers no domain in an incomplete round', () => {
    const nextRandom = createRandom(1);
    const domains = ['a', 'b', 'c', 'd'];
    const counts = new Map<string, number>();
    for (let chooser = 0; chooser < 400; chooser += 1) {
      const places = domains.flatMap((failureDomain) =>
        [0, 1, 2].map(() => ({ failureDomain, weight: nextRandom() })),
      );
      for (const { failureDomain } of chooseEvenly(places, 6))
        counts.set(failureDomain, (counts.get(failureDomain) ?? 0) + 1);
    }
    for (const domain of domains) expect(counts.get(domain)).to.be.within(540, 660);
  });
});
