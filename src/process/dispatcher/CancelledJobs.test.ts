import { expect } from 'chai';

import { CancelledJobs } from './CancelledJobs.js';

const RETENTION_MS = 1_000;

describe('CancelledJobs', () => {
  it('remembers a job for its time and no longer', () => {
    const cancelled = new CancelledJobs(() => undefined, RETENTION_MS);
    expect(cancelled.record('a', 10)).to.equal(true);
    cancelled.tick(RETENTION_MS + 9);
    expect(cancelled.has('a')).to.equal(true);
    cancelled.tick(RETENTION_MS + 10);
    expect(cancelled.has('a')).to.equal(false);
  });

  it('keeps the time of the first cancelling of a job', () => {
    const cancelled = new CancelledJobs(() => undefined, RETENTION_MS);
    cancelled.record('a', 0);
    expect(cancelled.record('a', 900)).to.equal(false);
    cancelled.tick(RETENTION_MS);
    expect(cancelled.size).to.equal(0);
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
    expect(forgotten).to.deep.equal([1, 1, 2]);
  });
});
