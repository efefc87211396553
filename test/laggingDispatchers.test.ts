import { setTimeout as sleep } from 'node:timers/promises';

import { expect } from 'chai';

import { PlatformBench } from './fakes/PlatformBench.js';

/** Time after which a caller whose connection broke submits its job again, ms. */
const RESUBMIT_MS = 1_300;
/** Shorter than the pause after which a dispatcher gives up its jobs (520 ms), ms. */
const PAUSE_MS = 450;
/** Longer than the test, ms. */
const LONG_MS = 100_000;
const PATIENCE_MS = 2_000_000;
const TASKS = 2;

describe('a dispatcher that is paused for less than its orphan timeout', function () {
  this.timeout(60_000);
  const bench = new PlatformBench(2, 3, PATIENCE_MS);

  before(() => bench.start());
  after(() => bench.stop());

  // Guards against a stop that counts from pongs sent after the pause, though the caller left before them.
  it('has the tasks of a caller that left meanwhile over before that comes again elsewhere', async () => {
    const leave = new AbortController();
    const first = bench.submit('entry-1', 'job', TASKS, LONG_MS, PATIENCE_MS, leave.signal);
    await bench.waitFor(() => bench.starts.size === TASKS);
    for (const runner of bench.runners) runner.lostStops = Infinity;
    bench.signal('entry-1', 'SIGSTOP');
    const leftAt = performance.now();
    leave.abort();
    await sleep(PAUSE_MS);
    bench.signal('entry-1', 'SIGCONT');
    await sleep(RESUBMIT_MS - (performance.now() - leftAt));
    const second = bench.submit('entry-2', 'job', TASKS, LONG_MS, PATIENCE_MS);
    await bench.waitFor(() => [...bench.starts.values()].every((starts) => starts === 2));
    expect(bench.doubled).to.deep.equal([]);
    expect((await first).status).to.equal(0);
    for (const runner of bench.runners) runner.lostStops = 0;
    void second.catch(() => undefined);
  });
});
