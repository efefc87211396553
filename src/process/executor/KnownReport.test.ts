import { expect } from 'chai';

import { buildUpstreamReport, UPSTREAM_CAPACITY } from '../../../test/fakes/upstreamFixtures.js';
import { KnownReport } from './KnownReport.js';

/** Clock of the upstream at steady time 0, ms. */
const CLOCK_MS = 500_000;
const FAR_MS = 3_000_000_000;

function estimateClock(at: number): number {
  return CLOCK_MS + at;
}

describe('KnownReport', () => {
  it('tells late reports by the clock, and by the sequence number at the same time', () => {
    const known = new KnownReport(buildUpstreamReport({ clockMs: CLOCK_MS, sequence: 5 }), 'upstream', 1);
    const isLate = (clockMs: number, sequence: number): boolean =>
      known.isLaterThan(buildUpstreamReport({ clockMs, sequence }), estimateClock);
    expect(isLate(CLOCK_MS - 1_500, 4)).to.equal(true);
    expect(isLate(CLOCK_MS, 4)).to.equal(true);
    expect(isLate(CLOCK_MS, 5)).to.equal(false);
    expect(isLate(CLOCK_MS + 1_500, 6)).to.equal(false);
  });

  // Guards against reports that are skipped for good after one of another writer with a number or clock far ahead.
  for (const odd of [{ sequence: Number.MAX_SAFE_INTEGER }, { clockMs: FAR_MS }]) {
    it(`follows the next reports after one with ${JSON.stringify(odd)}`, () => {
      const known = new KnownReport(buildUpstreamReport({ clockMs: CLOCK_MS, ...odd }), 'upstream', 0);
      const next = buildUpstreamReport({ clockMs: CLOCK_MS + 300, sequence: 2 });
      expect(known.isLaterThan(next, estimateClock)).to.equal(false);
    });
  }

  it('relies on a capacity from the store only as far and as long as it is confirmed', () => {
    const known = new KnownReport(buildUpstreamReport(), 'store', 0);
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
    known.replace(buildUpstreamReport(), 10);
    expect([known.isCapacityKnown(50), known.isOwn]).to.deep.equal([true, true]);
  });

  it('leaves a capacity of another origin as it is', () => {
    for (const origin of ['upstream', 'predecessor'] as const) {
      const known = new KnownReport(buildUpstreamReport(), origin, 0);
      expect(known.confirm({ capacity: { cpuMilli: 1, memoryMb: 1, gpus: 0 }, until: 50 })).to.equal(false);
      expect(known.report.capacity).to.deep.equal(UPSTREAM_CAPACITY);
      expect(known.isCapacityKnown(0)).to.equal(origin === 'upstream');
    }
  });
});
