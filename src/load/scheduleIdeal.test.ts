import { expect } from 'chai';

import { scheduleIdeal } from './scheduleIdeal.js';

describe('scheduleIdeal', () => {
  const job = (number: number, priority: number, ...workMs: number[]) => {
    return { number, atMs: 0, kind: 'k', priority, deadlineMs: 1, workMs };
  };

  it('schedules by priority, then by least work, longest task first', () => {
    const { clairvoyant, alone } = scheduleIdeal([job(0, 1, 10), job(1, 0, 30, 10), job(2, 0, 5)], 1);
    expect(clairvoyant).to.deep.equal([55, 45, 5]);
    expect(alone).to.deep.equal([10, 40, 5]);
  });

  it('uses all slots in parallel', () => {
    expect(scheduleIdeal([job(0, 0, 10, 10, 10)], 3).clairvoyant).to.deep.equal([10]);
  });
});
