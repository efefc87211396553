/** Capacity changes of an upstream, with real processes. */
import { expect } from 'chai';

import { PlatformBench } from './fakes/PlatformBench.js';

/** High enough that a dispatcher on a slow VM refuses no job, ms. */
const TARGET_LATENCY_MS = 20_000;
/** Thousandths of a core that a task needs. */
const TASK_CPU = 1_000;
/** More tasks than fit the upstream at any time. */
const WIDE = 6;
const TASK_MS = 150;

describe('an upstream whose capacity changes', function () {
  this.timeout(120_000);
  let bench: PlatformBench;

  beforeEach(async () => {
    bench = new PlatformBench(1, 1, TARGET_LATENCY_MS);
    await bench.start();
  });

  afterEach(async () => {
    await bench.stop();
    expect(bench.doubled).to.deep.equal([]);
    expect(bench.beyondCapacity).to.deep.equal([]);
  });

  /** Makes the upstream report a capacity, in tasks, and waits until its executor has logged it. */
  async function reportCapacity(tasks: number): Promise<void> {
    const [runner] = bench.runners;
    if (!runner) throw new Error('no upstream was started');
    const isLogged = (): boolean => bench.readOutput('agent-1').includes(buildCapacityText(tasks));
    runner.reportedCpu = tasks * TASK_CPU;
    await bench.waitFor(isLogged, 'that the executor has the new capacity');
  }

  function buildCapacityText(tasks: number): string {
    return `"capacity":{"cpuMilli":${tasks * TASK_CPU},`;
  }

  /** Submits a wide job and returns the most tasks that ran at the same time. */
  async function countConcurrent(job: string): Promise<number> {
    bench.maxRunning = 0;
    expect((await bench.submit('entry-1', job, WIDE, TASK_MS)).status).to.equal(200);
    return bench.maxRunning;
  }

  it('gets no more tasks than fit, and more after the capacity has grown again', async () => {
    await reportCapacity(1);
    expect(await countConcurrent('shrunk')).to.equal(1);
    await reportCapacity(3);
    expect(await countConcurrent('grown')).to.be.within(2, 3);
  });

  // Guards against use of the initial capacity: the restarted executor has only the stored report.
  it('gets no more tasks than fit after its executor has restarted', async () => {
    await reportCapacity(1);
    await bench.waitFor(() => bench.store.keptValues.some((value) => value.includes(buildCapacityText(1))));
    for (const runner of bench.runners) runner.skipsHeartbeats = true;
    bench.signal('agent-1', 'SIGKILL');
    await bench.waitForExit('agent-1');
    await bench.startDaemon('agent-1');
    await bench.waitFor(() => bench.readOutput('agent-1').includes('upstream-joined'), 'that it is back');
    expect(await countConcurrent('restarted')).to.equal(1);
  });
});
