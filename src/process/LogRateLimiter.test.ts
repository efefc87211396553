import { expect } from 'chai';

import { LogRateLimiter } from './LogRateLimiter.js';

describe('LogBudget', () => {
  it('lets so many lines pass each second and tells how many were left out', () => {
    const budget = new LogRateLimiter(2);
    const taken = [0, 1, 2, 3].map((now) => budget.take(now).write);
    expect(taken).to.deep.equal([true, true, false, false]);
    expect(budget.take(1_000)).to.deep.equal({ write: true, skipped: 2 });
    expect(budget.take(1_001)).to.deep.equal({ write: true, skipped: 0 });
  });
});
