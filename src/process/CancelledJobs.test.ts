import { expect } from 'chai';

import { CancelledJobs } from './CancelledJobs.js';

const RETENTION_MS = 1_000;

describe('CancelledJobs', () => {
  it('remembers a job for its time, and a second more at most', () => {
    const cancelled = new CancelledJobs(() => undefined, RETENTION_MS);
    expect(cancelled.record('a', 10)).to.equal(true);
    cancelled.tick(RETENTION_MS + 9);
    expect(cancelled.has('a')).to.equal(true);
    cancelled.tick(RETENTION_MS + 1_009);
    expect(cancelled.has('a')).to.equal(false);
  });

  // Guards against a job that is kept twice as long, as one that was cancelled later elsewhere came first.
  it('forgets a job in time that was recorded after a later one', () => {
    const cancelled = new CancelledJobs(() => undefined, RETENTION_MS);
    cancelled.record('later', 900);
    cancelled.record('earlier', 900, 900);
    cancelled.tick(RETENTION_MS);
    expect([cancelled.has('later'), cancelled.has('earlier')]).to.deep.equal([true, false]);
  });

  it('keeps the time of the first cancelling of a job', () => {
    const cancelled = new CancelledJobs(() => undefined, RETENTION_MS);
    cancelled.record('a', 0);
    expect(cancelled.record('a', 900)).to.equal(false);
    cancelled.tick(RETENTION_MS);
    expect(cancelled.size).to.equal(0);
  });

  it('does not take in a job whose time is over', () => {
    const cancelled = new CancelledJobs(() => undefined, RETENTION_MS);
    expect(cancelled.record('a', 5_000, RETENTION_MS)).to.equal(false);
    expect(cancelled.record('a', 5_000, RETENTION_MS - 1)).to.equal(true);
  });

  // Guards against memory that grows with what hostile callers cancel.
  it('forgets the oldest jobs beyond its limits, and logs their number', () => {
    const forgotten: unknown[] = [];
    const limits = { maxJobs: 3, maxCharacters: 100 };
    const cancelled = new CancelledJobs((_, { jobs }) => forgotten.push(jobs), RETENTION_MS, limits);
    for (let number = 0; number < 5; number += 1) cancelled.record(`job${number}`, number);
    expect([cancelled.size, cancelled.has('job1'), cancelled.has('job2')]).to.deep.equal([3, false, true]);
    cancelled.record('x'.repeat(95), 6);
    expect(cancelled.size).to.equal(2);
    cancelled.tick(7);
    cancelled.tick(8);
    expect(forgotten).to.deep.equal([4]);
  });
});
