/**
 * No task of a cancelled job runs on: not one that its upstream begins only after the job was cancelled, and not one
 * whose dispatcher or executor has been removed for good. Tasks would work for longer than the tests wait.
 */
import { setTimeout as sleep } from 'node:timers/promises';

import { expect } from 'chai';

import { PlatformBench } from './fakes/PlatformBench.js';

const TASK_MS = 100_000;
/**
 * Many times a task, so that no job is given up: a task's progress is told in whole percents, a second each here, and until
 * then an upstream passes for one that works at a fifth of its speed.
 */
const PATIENCE_MS = 2_000_000;
const TARGET_LATENCY_MS = 2_000_000;
/** Longer than any call is waited for and repeated, so that a late start is expected by nobody any more. */
const LATE_MS = 2_500;
/** More than a start is sent. */
const LATE_STARTS = 8;
/** Longer than anything of a cancelled job may take to stop. */
const SETTLE_MS = 1_500;

describe('tasks of a cancelled job', function () {
  this.timeout(120_000);
  let bench: PlatformBench;

  beforeEach(async () => {
    bench = new PlatformBench(2, 3, TARGET_LATENCY_MS);
    await bench.start();
  });

  afterEach(async () => {
    await bench.stop();
    expect(bench.doubled).to.deep.equal([]);
  });

  /** Cancels a job whose start an upstream has taken, and will carry out later. */
  async function cancelBeforeStart(): Promise<void> {
    for (const runner of bench.runners) {
      runner.lateStarts = LATE_STARTS;
      runner.lateMs = LATE_MS;
    }
    const open = bench.submit('entry-1', 'late', 1, TASK_MS, PATIENCE_MS);
    await bench.waitFor(() => bench.runners.some(({ lateStarts }) => lateStarts < LATE_STARTS));
    expect((await bench.cancel('entry-1', 'late')).status).to.equal(200);
    expect((await open).status).to.equal(504);
  }

  /** Nothing is at work, and nothing begins any more. */
  async function assertStopped(): Promise<void> {
    await bench.waitUntilIdle();
    const starts = bench.starts.size;
    await sleep(SETTLE_MS);
    await bench.waitUntilIdle();
    expect(bench.starts.size).to.equal(starts);
  }

  it('are not started late, once their upstream has heard that they are stopped', async () => {
    await cancelBeforeStart();
    await sleep(LATE_MS);
    await assertStopped();
    expect(bench.starts.size).to.equal(0);
  });

  it('are stopped when their upstream starts them late and has heard of no stop', async () => {
    for (const runner of bench.runners) runner.lostStops = Infinity;
    await cancelBeforeStart();
    await bench.waitFor(() => bench.starts.size > 0);
    for (const runner of bench.runners) runner.lostStops = 0;
    await assertStopped();
  });

  for (const starter of ['entry-1', 'agent-1']) {
    it(`are stopped when ${starter} is removed that had them started`, async () => {
      const open = bench.submit('entry-1', 'removed', 12, TASK_MS, PATIENCE_MS);
      await bench.waitFor(() => bench.starts.size === 12);
      bench.signal(starter, 'SIGKILL');
      await bench.cancel('entry-1', 'removed');
      await open;
      await assertStopped();
    });
  }
});
