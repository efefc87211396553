import { expect } from 'chai';

import { RedialBackoff } from './RedialBackoff.js';

/** Random number with which the jitter is 1. */
const NO_JITTER = 0.5;

describe('RedialBackoff', () => {
  let backoff: RedialBackoff;
  let now: number;

  beforeEach(() => {
    backoff = new RedialBackoff();
    now = 0;
  });

  /** Opens a link that closes after a time, and returns the pause. */
  function closeAfter(openMs: number, reason: string): number {
    backoff.recordOpened(now);
    now += openMs;
    backoff.recordClosed(reason, now);
    return backoff.computePauseMs(NO_JITTER);
  }

  function fail(): number {
    backoff.recordFailed();
    return backoff.computePauseMs(NO_JITTER);
  }

  it('doubles the pause with each failed attempt, up to a limit', () => {
    const pauses = [fail(), fail(), fail(), fail(), fail(), fail()];
    expect(pauses).to.deep.equal([50, 100, 200, 400, 800, 800]);
  });

  // A link that was closed by its first ping was opened again some 50 ms later, for good.
  it('grows while links close early for one reason, whatever its details', () => {
    const pauses = ['a', 'b', 'c', 'd', 'e', 'f', 'g'].map((detail) =>
      closeAfter(40, `not valid: ${detail}`),
    );
    expect(pauses).to.deep.equal([50, 50, 100, 200, 400, 800, 800]);
  });

  it('begins anew with another reason, or after a link that was sound', () => {
    for (let close = 0; close < 5; close += 1) closeAfter(40, 'ECONNRESET');
    expect(closeAfter(40, 'ended')).to.equal(50);
    for (let close = 0; close < 5; close += 1) closeAfter(40, 'ended');
    expect(closeAfter(6_000, 'ended')).to.equal(50);
  });

  it('keeps growing when attempts fail in between', () => {
    for (let close = 0; close < 3; close += 1) closeAfter(40, 'ended');
    expect([fail(), closeAfter(40, 'ended')]).to.deep.equal([200, 400]);
  });

  it('varies the pause', () => {
    fail();
    expect([backoff.computePauseMs(0), backoff.computePauseMs(1)]).to.deep.equal([37.5, 62.5]);
  });
});
