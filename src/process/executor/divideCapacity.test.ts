import { expect } from 'chai';
import * as fc from 'fast-check';

import { divideCapacity } from './divideCapacity.js';
import type { CapacityClaim } from './divideCapacity.js';

const SEED = 20261203;
const CLAIM = fc.record({
  demand: fc.oneof(fc.constant(0), fc.integer({ min: 1, max: 100_000 })),
  used: fc.integer({ min: 0, max: 20_000 }),
  isHome: fc.boolean(),
});
const CLAIMS = fc.array(CLAIM, { minLength: 1, maxLength: 8 });
const FREE = fc.integer({ min: 0, max: 30_000 });
const UNIT = fc.integer({ min: 1, max: 4_000 });

function check(property: (free: number, unit: number, claims: CapacityClaim[]) => void): void {
  fc.assert(fc.property(FREE, UNIT, CLAIMS, property), { seed: SEED, numRuns: 2_000 });
}

function sum(parts: readonly number[]): number {
  return parts.reduce((total, part) => total + part, 0);
}

describe('divideRoom', () => {
  it('tells no part below nothing, and all parts together no more than there is', () => {
    check((free, unit, claims) => {
      const parts = divideCapacity(free, unit, claims);
      expect(parts.every((part) => part >= 0)).to.equal(true);
      expect(sum(parts)).to.be.at.most(free);
    });
  });

  it('tells all of it to entries with demand, if there are any', () => {
    check((free, unit, claims) => {
      const parts = divideCapacity(free, unit, claims);
      const isAsked = claims.some(({ demand }) => demand > 0);
      expect(sum(parts)).to.equal(isAsked ? free : 0);
      claims.forEach(({ demand }, at) => demand === 0 && expect(parts[at]).to.equal(0));
    });
  });

  it('tells whole tasks, and what is left beyond them to one entry', () => {
    check((free, unit, claims) => {
      const parts = divideCapacity(free, unit, claims);
      expect(parts.filter((part) => part % unit !== 0).length).to.be.at.most(1);
    });
  });

  it('divides the same in the same way', () => {
    check((free, unit, claims) => {
      expect(divideCapacity(free, unit, claims)).to.deep.equal(divideCapacity(free, unit, claims));
    });
  });

  it('gives room for one task to the entry that lacks most', () => {
    const claims = [
      { demand: 5, used: 4_000, isHome: true },
      { demand: 5, used: 1_000, isHome: false },
    ];
    expect(divideCapacity(1_000, 1_000, claims)).to.deep.equal([0, 1_000]);
  });

  it('prefers the home of the agent among equals', () => {
    const claims = [
      { demand: 5, used: 0, isHome: false },
      { demand: 5, used: 0, isHome: true },
    ];
    expect(divideCapacity(1_000, 1_000, claims)).to.deep.equal([0, 1_000]);
  });
});
