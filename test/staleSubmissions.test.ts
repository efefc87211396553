import { setTimeout as sleep } from 'node:timers/promises';

import { expect } from 'chai';

import { PlatformBench } from './fakes/PlatformBench.js';

const FREEZE_MS = 3_000;
/** Longer than the test, ms. */
const LONG_MS = 100_000;
const PATIENCE_MS = 2_000_000;
/** Time after which a caller submits its job again, ms. */
const RESUBMIT_MS = 1_300;
const JOBS = 6;
/** Connections without a request that wait before theirs. */
const IDLE_CONNECTIONS = 150;
const RESUBMITTED = Array.from({ length: JOBS }, (_, at) => at);

describe('a dispatcher that was frozen while callers connected, left and came again elsewhere', function () {
  this.timeout(60_000);
  const bench = new PlatformBench(2, 3, PATIENCE_MS);

  before(() => bench.start());
  after(() => bench.stop());

  // Guards against starts for callers that had left before their job was read.
  it('starts no task of theirs', async () => {
    bench.signal('entry-1', 'SIGSTOP');
    const idle = Array.from({ length: IDLE_CONNECTIONS }, () => bench.openCaller('entry-1', ''));
    for (const socket of idle) socket.on('error', () => undefined);
    await sleep(100);
    const leave = new AbortController();
    const first: Promise<unknown>[] = [];
    for (let at = 0; at < JOBS; at += 1)
      first.push(
        bench.submit('entry-1', `job${at}`, 1, LONG_MS, PATIENCE_MS, leave.signal).catch(() => undefined),
      );
    await sleep(600);
    leave.abort();
    await sleep(RESUBMIT_MS);
    const again = new AbortController();
    const second = RESUBMITTED.map((at) =>
      bench.submit('entry-2', `job${at}`, 1, LONG_MS, PATIENCE_MS, again.signal).catch(() => undefined),
    );
    await bench.waitFor(() => bench.starts.size === RESUBMITTED.length);
    await sleep(FREEZE_MS - 600 - RESUBMIT_MS);
    const before = bench.starts.size;
    bench.signal('entry-1', 'SIGCONT');
    await sleep(1_500);
    again.abort();
    for (const socket of idle) socket.destroy();
    await Promise.allSettled([...first, ...second]);
    expect([bench.doubled, bench.starts.size]).to.deep.equal([[], before]);
  });
});
