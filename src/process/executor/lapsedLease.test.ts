import { expect } from 'chai';

import { SessionFixture } from '../../../test/fakes/SessionFixture.js';

/** Longer than a lease and a stop, ms. */
const OUTAGE_MS = 1_500;
/** More stops than are sent. */
const ALL = 10_000;
/** Time after which the start arrives, ms; less than a lease. */
const LATE_MS = 60;

// Guards against a task that is reported lost while its start, sent after the lapse, is still on its way.
describe('a start that is sent while the first renewal after a lapse waits for its answer', () => {
  it('does not count as lost because it is not listed, as it may still arrive', async () => {
    const fixture = new SessionFixture();
    await fixture.start();
    fixture.upstream.silent = true;
    await fixture.clock.advance(OUTAGE_MS);
    expect(fixture.session.isReachable).to.equal(false);
    fixture.upstream.silent = false;
    fixture.upstream.taskMs = 10_000;
    fixture.upstream.lostStops = ALL;
    fixture.upstream.lateMs = LATE_MS;
    fixture.upstream.fates.push('late', 'lost', 'lost', 'lost');
    while (fixture.session.state !== 'ready') await fixture.clock.advance(1);
    await fixture.clock.advance(1);
    fixture.offer(1, 1);
    await fixture.clock.advance(5);
    fixture.session.stop('job/0/1', 1, 'dispatcher', 'stopped-by-entry');
    const seen: string[] = [];
    for (let at = 0; at < 400; at += 1) {
      await fixture.clock.advance(1);
      const isRunning = fixture.upstream.running.size > 0;
      if (fixture.results.length > 0 && isRunning) seen.push(`${at} ms: runs after ${fixture.results[0]}`);
    }
    fixture.session.close('test');
    expect(seen.slice(0, 1)).to.deep.equal([]);
  });
});
