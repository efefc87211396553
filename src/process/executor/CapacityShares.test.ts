import { expect } from 'chai';

import { CapacityShares } from './CapacityShares.js';
import type { DispatcherUsage } from './CapacityShares.js';

const TASK = 1_000;
const DISPATCHERS: DispatcherUsage[] = ['a', 'b', 'c'].map((incarnation) => ({
  incarnation,
  used: 0,
  isPreferred: incarnation === 'a',
}));
/** Time at which the first starts have decayed. */
const LATER = 10_000;

describe('CapacityShares', () => {
  let shares: CapacityShares;

  function report(dispatcher: string, free: number, now = LATER, dispatchers = DISPATCHERS): number {
    return shares.reportShare(dispatcher, free, dispatchers, now).cpuMilli;
  }

  beforeEach(() => {
    shares = new CapacityShares();
    shares.recordStart('a', TASK, 0);
    for (const { incarnation } of DISPATCHERS) shares.recordDemand(incarnation, 0);
  });

  it('reports all free capacity if tasks wait at no dispatcher or at one', () => {
    expect(report('a', 8_000)).to.equal(8_000);
    shares.recordDemand('b', 5_000);
    expect(report('b', 8_000)).to.equal(8_000);
  });

  it('never reports more than the free capacity to waiting dispatchers', () => {
    for (const { incarnation } of DISPATCHERS) shares.recordDemand(incarnation, 50_000);
    for (const free of [1_000, 3_500, 7_000, 12_300]) {
      const now = LATER + free;
      const reported = DISPATCHERS.map(({ incarnation }) => report(incarnation, free, now));
      expect(reported.reduce((sum, share) => sum + share, 0)).to.be.at.most(free);
      expect(Math.max(...reported)).to.be.at.least(TASK);
    }
  });

  it('reports capacity for one task to one dispatcher', () => {
    shares.recordDemand('b', TASK);
    shares.recordDemand('c', TASK);
    expect([report('b', TASK), report('c', TASK)]).to.deep.equal([TASK, 0]);
  });

  it('reports a share that is unused for a round trip to another dispatcher', () => {
    shares.recordDemand('b', 5_000);
    shares.recordDemand('c', 5_000);
    expect(report('b', TASK)).to.equal(TASK);
    expect(report('c', TASK, LATER + 10)).to.equal(0);
    expect(report('c', TASK, LATER + 40)).to.equal(TASK);
  });

  it('frees the share of a dispatcher without a usable link at once', () => {
    shares.recordDemand('b', 5_000);
    shares.recordDemand('c', 5_000);
    expect(report('b', TASK)).to.equal(TASK);
    const others = DISPATCHERS.filter(({ incarnation }) => incarnation !== 'b');
    expect(report('c', TASK, LATER, others)).to.equal(TASK);
  });

  it('reserves capacity for a dispatcher with recent starts and no waiting tasks', () => {
    report('a', 4_000);
    for (let started = 0; started < 2; started += 1) shares.recordStart('a', TASK, LATER);
    shares.recordDemand('b', 50_000);
    expect(report('b', 3_000, LATER + 1)).to.equal(2_000);
  });

  it('reports all free capacity to a dispatcher that does not report its demand, and reserves nothing for it', () => {
    shares.recordDemand('a', undefined);
    shares.recordDemand('b', 5_000);
    shares.recordDemand('c', 5_000);
    expect(report('a', 4_000)).to.equal(4_000);
    expect(report('b', 4_000) + report('c', 4_000)).to.equal(4_000);
  });

  it('reports between pings if a waiting dispatcher can get more, not if its share is unchanged', () => {
    shares.recordDemand('b', 5_000);
    expect(shares.isDue('b', 3_000, DISPATCHERS, LATER)).to.equal(true);
    report('b', 3_000);
    expect(shares.isDue('b', 3_000, DISPATCHERS, LATER)).to.equal(false);
    expect(shares.reportShare('b', 3_000, DISPATCHERS, LATER).isUnchanged).to.equal(true);
  });

  it('corrects a reported share that is too large once tasks wait at others', () => {
    report('a', 4_000);
    expect(shares.isDue('a', 0, DISPATCHERS, LATER + 50)).to.equal(false);
    shares.recordDemand('b', 5_000);
    shares.recordDemand('c', 5_000);
    expect(shares.isDue('a', 0, DISPATCHERS, LATER + 50)).to.equal(true);
  });
});
