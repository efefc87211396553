/**
 * Guards against an executor that treats a restarted upstream with the same id as its earlier incarnation: it ignored the
 * reports and task ends of the new one as outdated, started tasks at a draining upstream and repeated ended tasks.
 */
import { setTimeout as sleep } from 'node:timers/promises';

import { expect } from 'chai';

import { PlatformBench } from './fakes/PlatformBench.js';

/** High enough that a dispatcher on a slow VM refuses no job, ms. */
const TARGET_LATENCY_MS = 20_000;
/** Reports of the earlier incarnation, so that its sequence is ahead of the new one. */
const EARLIER_REPORTS = 12;
/** Time for an acknowledged report to reach the dispatchers, ms. */
const PROPAGATION_MS = 600;
/** More tasks than fit the other upstream. */
const WIDE = 6;

describe('an upstream that restarts under the same id', function () {
  this.timeout(120_000);
  let bench: PlatformBench;

  beforeEach(async () => {
    bench = new PlatformBench(1, 2, TARGET_LATENCY_MS);
    await bench.start();
  });

  afterEach(async () => {
    await bench.stop();
    expect(bench.doubled).to.deep.equal([]);
    expect(bench.beyondCapacity).to.deep.equal([]);
  });

  /** Restarts the first upstream and waits until both upstreams accept tasks. */
  async function restartFirst(): Promise<void> {
    await bench.runners[0]?.restart(200);
    const before = bench.startsByRunner.get('i-1') ?? 0;
    for (let round = 0; (bench.startsByRunner.get('i-1') ?? 0) === before; round += 1) {
      const { status } = await bench.submit('entry-1', `again${round}`, WIDE, 20);
      expect(status).to.equal(200);
    }
  }

  it('gets no task after it has reported that it drains', async () => {
    await bench.waitFor(() => (bench.runners[0]?.beats ?? 0) >= EARLIER_REPORTS);
    await restartFirst();
    const [runner] = bench.runners;
    if (!runner) throw new Error('no upstream was started');
    runner.state = 'draining';
    const reports = runner.beats;
    await bench.waitFor(() => runner.beats > reports);
    await sleep(PROPAGATION_MS);
    const before = bench.startsByRunner.get('i-1');
    expect((await bench.submit('entry-1', 'later', WIDE, 100)).status).to.equal(200);
    expect(bench.startsByRunner.get('i-1')).to.equal(before);
  });

  it('has the ends of its tasks accepted', async () => {
    for (let round = 0; round < 5; round += 1) await bench.submit('entry-1', `earlier${round}`, WIDE, 20);
    await restartFirst();
    bench.starts.clear();
    expect((await bench.submit('entry-1', 'later', WIDE, 200)).status).to.equal(200);
    expect([...bench.starts.values()]).to.deep.equal(Array<number>(WIDE).fill(1));
  });
});
