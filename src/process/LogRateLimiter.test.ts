import { expect } from 'chai';

import { LogRateLimiter } from './LogRateLimiter.js';

describe('LogRateLimiter', () => {
  it('limits the lines written each second and counts the skipped ones', () => {
    const limiter = new LogRateLimiter(2);
    const written = [0, 1, 2, 3].map((now) => limiter.take(now).write);
    expect(written).to.deep.equal([true, true, false, false]);
    expect(limiter.take(1_000)).to.deep.equal({ write: true, skipped: 2 });
    expect(limiter.take(1_001)).to.deep.equal({ write: true, skipped: 0 });
  });
});
