import { expect } from 'chai';

import type { EarlierCapacity } from '../../connection/peer/peerMessages.js';
import { CONFIRMED_MS, EarlierCapacities } from './EarlierCapacities.js';

function buildEarlier(cpuMilli: number, ageMs = 0): EarlierCapacity {
  return { upstream: 'u1', capacity: { cpuMilli, memoryMb: 10, gpus: 1 }, ageMs };
}

describe('EarlierCapacities', () => {
  it('find the lowest capacity that was told, and rely on it for a limited time', () => {
    const capacities = new EarlierCapacities();
    capacities.record(buildEarlier(4_000), 100, 100);
    capacities.record(buildEarlier(1_000, 500), 100, 110);
    const capacity = { cpuMilli: 1_000, memoryMb: 10, gpus: 1 };
    expect(capacities.find('u1', 120)).to.deep.equal({ capacity, until: 100 + CONFIRMED_MS });
    expect(capacities.find('u2', 120)).to.equal(undefined);
    expect(capacities.find('u1', 100 + CONFIRMED_MS)).to.equal(undefined);
  });

  it('count the age from when it was measured at the latest', () => {
    const capacities = new EarlierCapacities();
    capacities.record(buildEarlier(4_000, 1_000), 100, 1_100);
    expect(capacities.find('u1', 1_200)?.until).to.equal(CONFIRMED_MS - 900);
    capacities.record(buildEarlier(1_000, CONFIRMED_MS), 1_200, 1_200);
    expect(capacities.find('u1', 1_200)?.capacity.cpuMilli).to.equal(4_000);
  });
});
