import { expect } from 'chai';

import { CapacityShares } from './CapacityShares.js';
import type { DispatcherUsage } from './CapacityShares.js';

const TASK = 1_000;
const ENTRIES: DispatcherUsage[] = ['a', 'b', 'c'].map((life) => ({
  life,
  used: 0,
  isPreferred: life === 'a',
}));
/** Long after the first starts, so that they weigh nothing any more. */
const LATER = 10_000;

describe('RoomShares', () => {
  let shares: CapacityShares;

  function tell(life: string, free: number, now = LATER, entries = ENTRIES): number {
    return shares.reportShare(life, free, entries, now).cpuMilli;
  }

  beforeEach(() => {
    shares = new CapacityShares();
    shares.recordStart('a', TASK, 0);
    for (const { life } of ENTRIES) shares.recordDemand(life, 0);
  });

  it('tells all of the room where nobody waits, and where one entry does', () => {
    expect(tell('a', 8_000)).to.equal(8_000);
    shares.recordDemand('b', 5_000);
    expect(tell('b', 8_000)).to.equal(8_000);
  });

  it('never tells more than there is to entries that wait', () => {
    for (const { life } of ENTRIES) shares.recordDemand(life, 50_000);
    for (const free of [1_000, 3_500, 7_000, 12_300]) {
      const now = LATER + free;
      const told = ENTRIES.map(({ life }) => tell(life, free, now));
      expect(told.reduce((sum, part) => sum + part, 0)).to.be.at.most(free);
      expect(Math.max(...told)).to.be.at.least(TASK);
    }
  });

  it('tells room for one task to one entry', () => {
    shares.recordDemand('b', TASK);
    shares.recordDemand('c', TASK);
    expect([tell('b', TASK), tell('c', TASK)]).to.deep.equal([TASK, 0]);
  });

  it('gives a part that is not used for a round trip to another', () => {
    shares.recordDemand('b', 5_000);
    shares.recordDemand('c', 5_000);
    expect(tell('b', TASK)).to.equal(TASK);
    expect(tell('c', TASK, LATER + 10)).to.equal(0);
    expect(tell('c', TASK, LATER + 40)).to.equal(TASK);
  });

  it('takes back at once what an entry held whose link is gone or is not to be used', () => {
    shares.recordDemand('b', 5_000);
    shares.recordDemand('c', 5_000);
    expect(tell('b', TASK)).to.equal(TASK);
    const others = ENTRIES.filter(({ life }) => life !== 'b');
    expect(tell('c', TASK, LATER, others)).to.equal(TASK);
  });

  it('keeps room for an entry that has started tasks of late and does not wait', () => {
    tell('a', 4_000);
    for (let started = 0; started < 2; started += 1) shares.recordStart('a', TASK, LATER);
    shares.recordDemand('b', 50_000);
    expect(tell('b', 3_000, LATER + 1)).to.equal(2_000);
  });

  it('tells all of the room to an entry that does not tell its demand, and counts no part for it', () => {
    shares.recordDemand('a', undefined);
    shares.recordDemand('b', 5_000);
    shares.recordDemand('c', 5_000);
    expect(tell('a', 4_000)).to.equal(4_000);
    expect(tell('b', 4_000) + tell('c', 4_000)).to.equal(4_000);
  });

  it('tells an entry between pings that waits and may have more, not one that knows its part', () => {
    shares.recordDemand('b', 5_000);
    expect(shares.isDue('b', 3_000, ENTRIES, LATER)).to.equal(true);
    tell('b', 3_000);
    expect(shares.isDue('b', 3_000, ENTRIES, LATER)).to.equal(false);
    expect(shares.reportShare('b', 3_000, ENTRIES, LATER).isKnown).to.equal(true);
  });

  it('corrects an entry that was told more than there is, once others wait', () => {
    tell('a', 4_000);
    expect(shares.isDue('a', 0, ENTRIES, LATER + 50)).to.equal(false);
    shares.recordDemand('b', 5_000);
    shares.recordDemand('c', 5_000);
    expect(shares.isDue('a', 0, ENTRIES, LATER + 50)).to.equal(true);
  });
});
