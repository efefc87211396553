/**
 * An upstream that had crashed and started again under its id said that it leaves; its executor acknowledged that and
 * went on starting tasks there for seconds. Tasks that had ended there were run again elsewhere.
 *
 * The executor took the newer life for the earlier one, as both had one id: the reports of the newer one, whose numbers
 * begin anew, passed for late ones, and its ends for ends that had been noted. The log of the day showed one session
 * for both lives and no change of its state, and a line for reports that are passed over named the numbers.
 */
import { setTimeout as sleep } from 'node:timers/promises';

import { expect } from 'chai';

import { PlatformBench } from './fakes/PlatformBench.js';

/** As long as callers wait here: a busy machine must not make a refusal rightful. */
const TARGET_LATENCY_MS = 20_000;
/** Reports of the earlier life: so many of the newer one would have to come before its numbers are higher. */
const EARLIER_REPORTS = 12;
/** Time after a report has been acknowledged in which dispatchers hear of it; many times what it takes, ms. */
const HEARD_MS = 600;
/** Tasks that fill the other upstream, and more. */
const WIDE = 6;

describe('an upstream that starts again under its id', function () {
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

  /** Ends the first upstream and starts it again, and waits until both upstreams take work. */
  async function restartFirst(): Promise<void> {
    await bench.runners[0]?.restart(200);
    const before = bench.startsByRunner.get('i-1') ?? 0;
    for (let round = 0; (bench.startsByRunner.get('i-1') ?? 0) === before; round += 1) {
      const { status } = await bench.submit('entry-1', `again${round}`, WIDE, 20);
      expect(status).to.equal(200);
    }
  }

  it('gets nothing more once it has said that it leaves', async () => {
    await bench.waitFor(() => (bench.runners[0]?.beats ?? 0) >= EARLIER_REPORTS);
    await restartFirst();
    const [runner] = bench.runners;
    if (!runner) throw new Error('there is no upstream');
    runner.state = 'draining';
    const reports = runner.beats;
    await bench.waitFor(() => runner.beats > reports);
    await sleep(HEARD_MS);
    const before = bench.startsByRunner.get('i-1');
    expect((await bench.submit('entry-1', 'later', WIDE, 100)).status).to.equal(200);
    expect(bench.startsByRunner.get('i-1')).to.equal(before);
  });

  it('has what ends there taken for ended', async () => {
    for (let round = 0; round < 5; round += 1) await bench.submit('entry-1', `earlier${round}`, WIDE, 20);
    await restartFirst();
    bench.starts.clear();
    expect((await bench.submit('entry-1', 'later', WIDE, 200)).status).to.equal(200);
    expect([...bench.starts.values()]).to.deep.equal(Array<number>(WIDE).fill(1));
  });
});
