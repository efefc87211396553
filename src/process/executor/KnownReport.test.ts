import { expect } from 'chai';

import { buildUpstreamReport, UPSTREAM_CAPACITY } from '../../../test/fakes/upstreamFixtures.js';
import { KnownReport } from './KnownReport.js';
import type { UpstreamClock } from './KnownReport.js';

/** Clock of the upstream at steady time 0, ms. */
const CLOCK_MS = 500_000;
const FAR_MS = 3_000_000_000;

const CLOCK: UpstreamClock = { isClockKnown: true, estimateClock: (at) => CLOCK_MS + at };

describe('KnownReport', () => {
  it('tells late reports by the clock, and by the sequence number at the same time', () => {
    const known = new KnownReport(buildUpstreamReport({ clockMs: CLOCK_MS, sequence: 5 }), 'upstream', 1);
    const isLate = (clockMs: number, sequence: number): boolean =>
      known.supersedes(buildUpstreamReport({ clockMs, sequence }), 1_500, CLOCK);
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
      expect(known.supersedes(next, 300, CLOCK)).to.equal(false);
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

  // A heartbeat that was delayed while its executor restarted told a capacity that had shrunk since, and was believed.
  it('passes over a delayed report while the incarnation has sent none to this process', () => {
    const known = new KnownReport(buildUpstreamReport(), 'store', 0);
    const isPassedOver = (clockMs: number, receivedAt: number): boolean =>
      known.supersedes(buildUpstreamReport({ clockMs, sequence: 2 }), receivedAt, CLOCK);
    expect(isPassedOver(CLOCK_MS - 2_000, 0)).to.equal(true);
    expect(isPassedOver(CLOCK_MS - 2_000, 60)).to.equal(true);
    expect(isPassedOver(CLOCK_MS - 500, 1_100)).to.equal(true);
    expect(isPassedOver(CLOCK_MS + 1_000, 1_100)).to.equal(false);
  });

  it('takes the second of two reports that are always delayed by as much', () => {
    const known = new KnownReport(buildUpstreamReport(), 'store', 0);
    const isPassedOver = (clockMs: number, receivedAt: number): boolean =>
      known.supersedes(buildUpstreamReport({ clockMs, sequence: 2 }), receivedAt, CLOCK);
    expect(isPassedOver(CLOCK_MS - 9_000, 0)).to.equal(true);
    expect(isPassedOver(CLOCK_MS - 7_400, 1_500)).to.equal(false);
  });

  // Guards against a capacity that was confirmed, and then replaced by a delayed report before the first answer.
  it('passes over a report before an answer has shown the clock, but for the one that opens the session', () => {
    const recalled = new KnownReport(buildUpstreamReport(), 'store', 0);
    const report = buildUpstreamReport({ clockMs: CLOCK_MS });
    expect(recalled.supersedes(report, 0, { ...CLOCK, isClockKnown: false })).to.equal(true);

    const late = buildUpstreamReport({ clockMs: CLOCK_MS - 4_000 });
    const known = new KnownReport(late, 'upstream', 0);
    expect([known.isOwn, known.reviewDelay(CLOCK), known.isOwn]).to.deep.equal([true, true, false]);
    expect(known.isCapacityKnown(1)).to.equal(false);
    known.replace(buildUpstreamReport({ clockMs: CLOCK_MS + 10 }), 20);
    expect([known.isOwn, known.reviewDelay(CLOCK)]).to.deep.equal([true, false]);
  });
});
