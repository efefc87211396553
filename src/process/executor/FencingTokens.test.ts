import { expect } from 'chai';

import { FakeClock } from '../../../test/fakes/FakeClock.js';
import { FencingTokens } from './FencingTokens.js';

const UNIX_MS = 1_700_000_000_000;

describe('FencingTokens', () => {
  let clock: FakeClock;

  beforeEach(() => {
    clock = new FakeClock();
  });

  it('increase within a millisecond, and with the time of day', async () => {
    const tokens = new FencingTokens(UNIX_MS, clock);
    expect([tokens.take(), tokens.take(), tokens.take()]).to.deep.equal([UNIX_MS, UNIX_MS + 1, UNIX_MS + 2]);
    await clock.advance(500);
    expect(tokens.take()).to.equal(UNIX_MS + 500);
  });

  it('exceed those of an earlier process after some attempts, even if the time of day was set back', () => {
    const before = new FencingTokens(UNIX_MS, clock).take();
    const tokens = new FencingTokens(UNIX_MS - 3_600_000, clock);
    let token = tokens.take();
    let tries = 0;
    for (; token <= before; tries += 1) token = tokens.takeAbove(token);
    expect(tries).to.be.at.most(23);
  });

  it('exceed a refused token of any process', () => {
    const tokens = new FencingTokens(UNIX_MS, clock);
    const first = tokens.take();
    const second = tokens.take();
    expect(tokens.takeAbove(first)).to.be.greaterThan(second);
  });

  it('remain safe integers with the largest steps', () => {
    const tokens = new FencingTokens(UNIX_MS, clock);
    let token = tokens.take();
    for (let tries = 0; tries < 10_000; tries += 1) {
      const next = tokens.takeAbove(token);
      expect(next - token).to.be.greaterThan(0);
      token = next;
    }
    expect(Number.isSafeInteger(token)).to.equal(true);
  });
});
