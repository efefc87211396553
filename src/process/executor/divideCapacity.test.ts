import { expect } from 'chai';
import * as fc from 'fast-check';

import { divideCapacity } from './divideCapacity.js';
import type { CapacityClaim } from './divideCapacity.js';

const SEED = 20261203;
const CLAIM = fc.record({
  demand: fc.oneof(fc.constant(0), fc.integer({ min: 1, max: 100_000 })),
  used: fc.integer({ min: 0, max: 20_000 }),
  isPreferred: fc.boolean(),
});
const CLAIMS = fc.array(CLAIM, { minLength: 1, maxLength: 8 });
const FREE = fc.integer({ min: 0, max: 30_000 });
const UNIT = fc.integer({ min: 1, max: 4_000 });

function check(property: (free: number, unit: number, claims: CapacityClaim[]) => void): void {
  fc.assert(fc.property(FREE, UNIT, CLAIMS, property), { seed: SEED, numRuns: 2_000 });
}

function sum(shares: readonly number[]): number {
  return shares.reduce((total, share) => total + share, 0);
}

describe('divideCapacity', () => {
  it('returns no negative share, and no more than the free capacity in total', () => {
    check((free, unit, claims) => {
      const shares = divideCapacity(free, unit, claims);
      expect(shares.every((share) => share >= 0)).to.equal(true);
      expect(sum(shares)).to.be.at.most(free);
    });
  });

  it('divides all of it among dispatchers with demand, if there are any', () => {
    check((free, unit, claims) => {
      const shares = divideCapacity(free, unit, claims);
      const hasDemand = claims.some(({ demand }) => demand > 0);
      expect(sum(shares)).to.equal(hasDemand ? free : 0);
      claims.forEach(({ demand }, at) => demand === 0 && expect(shares[at]).to.equal(0));
    });
  });

  it('divides whole tasks, and adds the rest to one share', () => {
    check((free, unit, claims) => {
      const shares = divideCapacity(free, unit, claims);
      expect(shares.filter((share) => share % unit !== 0).length).to.be.at.most(1);
    });
  });

  it('is deterministic', () => {
    check((free, unit, claims) => {
      expect(divideCapacity(free, unit, claims)).to.deep.equal(divideCapacity(free, unit, claims));
    });
  });

  it('gives capacity for one task to the dispatcher with the largest deficit', () => {
    const claims = [
      { demand: 5, used: 4_000, isPreferred: true },
      { demand: 5, used: 1_000, isPreferred: false },
    ];
    expect(divideCapacity(1_000, 1_000, claims)).to.deep.equal([0, 1_000]);
  });

  it('favors the preferred dispatcher among equal claims', () => {
    const claims = [
      { demand: 5, used: 0, isPreferred: false },
      { demand: 5, used: 0, isPreferred: true },
    ];
    expect(divideCapacity(1_000, 1_000, claims)).to.deep.equal([0, 1_000]);
  });
});
