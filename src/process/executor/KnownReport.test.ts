import { expect } from 'chai';

import { buildUpstreamReport, UPSTREAM_CAPACITY } from '../../../test/fakes/upstreamFixtures.js';
import { KnownReport } from './KnownReport.js';

describe('KnownReport', () => {
  it('relies on a capacity from the store only as far and as long as it is confirmed', () => {
    const known = new KnownReport(buildUpstreamReport(), 'store');
    expect(known.isCapacityKnown(0)).to.equal(false);
    const capacity = { cpuMilli: 1_000, memoryMb: 99_999, gpus: 0 };
    expect(known.confirm({ capacity, until: 50 })).to.equal(true);
    expect(known.report.capacity).to.deep.equal({ ...UPSTREAM_CAPACITY, cpuMilli: 1_000 });
    expect(known.description.capacity.cpuMilli).to.equal(1_000);
    expect([known.isCapacityKnown(49), known.isCapacityKnown(50), known.isOwn]).to.deep.equal([
      true,
      false,
      false,
    ]);
    known.replace(buildUpstreamReport());
    expect([known.isCapacityKnown(50), known.isOwn]).to.deep.equal([true, true]);
  });

  it('leaves a capacity of another origin as it is', () => {
    for (const origin of ['upstream', 'predecessor'] as const) {
      const known = new KnownReport(buildUpstreamReport(), origin);
      expect(known.confirm({ capacity: { cpuMilli: 1, memoryMb: 1, gpus: 0 }, until: 50 })).to.equal(false);
      expect(known.report.capacity).to.deep.equal(UPSTREAM_CAPACITY);
      expect(known.isCapacityKnown(0)).to.equal(origin === 'upstream');
    }
  });
});
