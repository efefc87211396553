/** An upstream whose room shrinks and grows, with real processes. */
import { expect } from 'chai';

import { PlatformBench } from './fakes/PlatformBench.js';

/** As long as callers wait here: a busy machine must not make a refusal rightful. */
const TARGET_LATENCY_MS = 20_000;
/** Room of one task in thousandths of a core. */
const TASK_CPU = 1_000;
/** More tasks than the upstream has room for at any time. */
const WIDE = 6;
const TASK_MS = 150;

describe('an upstream whose room changes', function () {
  this.timeout(120_000);
  let bench: PlatformBench;

  beforeEach(async () => {
    bench = new PlatformBench(1, 1, TARGET_LATENCY_MS);
    await bench.start();
  });

  afterEach(async () => {
    await bench.stop();
    expect(bench.doubled).to.deep.equal([]);
    expect(bench.beyondRoom).to.deep.equal([]);
  });

  /** Has the upstream say that it has room for so many tasks, and waits until its executor has taken note. */
  async function tellRoom(tasks: number): Promise<void> {
    const [runner] = bench.runners;
    if (!runner) throw new Error('there is no upstream');
    const isNoted = (): boolean => bench.readOutput('agent-1').includes(describeRoom(tasks));
    runner.reportedCpu = tasks * TASK_CPU;
    await bench.waitFor(isNoted, 'that the executor knows the room');
  }

  function describeRoom(tasks: number): string {
    return `"capacity":{"cpuMilli":${tasks * TASK_CPU},`;
  }

  /** Submits a wide job and counts the tasks that were at work at once. */
  async function countAtOnce(job: string): Promise<number> {
    bench.mostAtOnce = 0;
    expect((await bench.submit('entry-1', job, WIDE, TASK_MS)).status).to.equal(200);
    return bench.mostAtOnce;
  }

  it('gets no more than it has room for, and all that fits once it has grown again', async () => {
    await tellRoom(1);
    expect(await countAtOnce('shrunk')).to.equal(1);
    await tellRoom(3);
    expect(await countAtOnce('grown')).to.be.within(2, 3);
  });

  // The kept report of the upstream told of the room that it had at first, and none comes before the start.
  it('gets no more after its executor has started again', async () => {
    await tellRoom(1);
    await bench.waitFor(() => bench.store.keptValues.some((value) => value.includes(describeRoom(1))));
    for (const runner of bench.runners) runner.skipsHeartbeats = true;
    bench.signal('agent-1', 'SIGKILL');
    await bench.waitForExit('agent-1');
    await bench.startDaemon('agent-1');
    await bench.waitFor(() => bench.readOutput('agent-1').includes('upstream-joined'), 'that it is back');
    expect(await countAtOnce('restarted')).to.equal(1);
  });
});
