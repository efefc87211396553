/** Capacity changes of an upstream, with real processes. */
import { expect } from 'chai';

import { setTimeout as sleep } from 'node:timers/promises';

import { PlatformBench } from './fakes/PlatformBench.js';
import { CONFIRMED_MS } from '../src/process/executor/EarlierCapacities.js';

/** High enough that a dispatcher on a slow VM refuses no job, ms. */
const TARGET_LATENCY_MS = 20_000;
/** Thousandths of a core that a task needs. */
const TASK_CPU = 1_000;
/** More tasks than fit the upstream at any time. */
const WIDE = 6;
const TASK_MS = 150;

/** Delay of a report, ms; longer than any that is not passed over. */
const DELAY_MS = 2_500;

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

  /** Restarts the executor beside an upstream that sends it no reports. */
  async function restartBesideSilentUpstream(signal: NodeJS.Signals): Promise<void> {
    for (const runner of bench.runners) runner.skipsHeartbeats = true;
    bench.signal('agent-1', signal);
    await bench.waitForExit('agent-1');
    await bench.startDaemon('agent-1');
  }

  async function waitForJoin(): Promise<void> {
    await bench.waitFor(() => bench.readOutput('agent-1').includes('upstream-joined'), 'that it is back');
  }

  for (const signal of ['SIGTERM', 'SIGKILL'] as const) {
    for (const fault of ['busy', 'silent', 'reset'] as const) {
      // Guards against a capacity from the store that was taken for the present one, as its report was given up.
      it(`gets no more tasks than fit after ${signal} of its executor, if the store was ${fault} as it shrank`, async () => {
        bench.store.fault = fault;
        await reportCapacity(1);
        await restartBesideSilentUpstream(signal);
        bench.store.fault = 'none';
        await waitForJoin();
        expect(bench.store.keptValues.join()).to.include(buildCapacityText(4));
        expect(await countConcurrent('restarted')).to.equal(1);
      });
    }
  }

  // Guards against a report that was never written, as the store was out for longer than its write was repeated.
  it('is stored as it is once the store is back after a long outage', async () => {
    bench.store.fault = 'busy';
    await reportCapacity(1);
    await sleep(4_500);
    bench.store.fault = 'none';
    const isStored = (): boolean => bench.store.keptValues.join().includes(buildCapacityText(1));
    await bench.waitFor(isStored, 'that the smaller capacity is stored');
    const { writes } = bench.store;
    await sleep(1_000);
    expect(bench.store.writes).to.equal(writes);
  });

  // Guards against a late write that puts an earlier report over a later one.
  it('gets no more tasks than fit after a restart, if the store has carried out an earlier write late', async () => {
    bench.store.lateMs = 1_500;
    bench.store.lateWrites = 1;
    await reportCapacity(3);
    await reportCapacity(1);
    const isReplaced = (): boolean => bench.store.keptValues.join().includes(buildCapacityText(3));
    const isStored = (): boolean => bench.store.keptValues.join().includes(buildCapacityText(1));
    await bench.waitFor(isStored, 'that the smaller capacity is stored');
    await bench.waitFor(isReplaced, 'that the late write has replaced it');
    await restartBesideSilentUpstream('SIGTERM');
    await waitForJoin();
    expect(await countConcurrent('restarted')).to.equal(1);
  });

  it('gets no task on an old report, and is used again once it reports', async () => {
    await restartBesideSilentUpstream('SIGTERM');
    await waitForJoin();
    await sleep(CONFIRMED_MS);
    const { starts } = bench;
    const before = starts.size;
    expect((await bench.submit('entry-1', 'too-late', 1, TASK_MS, 1_000)).status).to.not.equal(200);
    expect(starts.size).to.equal(before);
    for (const runner of bench.runners) runner.skipsHeartbeats = false;
    await bench.waitFor(
      async () => (await bench.submit('entry-1', `again${Date.now()}`, 1, TASK_MS)).status === 200,
    );
  });

  it('gets no task before its report if no dispatcher remembers the executor', async () => {
    await reportCapacity(1);
    for (const runner of bench.runners) runner.skipsHeartbeats = true;
    for (const id of ['agent-1', 'entry-1']) bench.signal(id, 'SIGKILL');
    for (const id of ['agent-1', 'entry-1']) await bench.waitForExit(id);
    for (const id of ['agent-1', 'entry-1']) await bench.startDaemon(id);
    await waitForJoin();
    await bench.submit('entry-1', 'too-early', 1, TASK_MS, 1_000);
    expect(bench.starts.size).to.equal(0);
    for (const runner of bench.runners) runner.skipsHeartbeats = false;
    await bench.waitUntilReady('entry-1');
    expect(await countConcurrent('reported')).to.equal(1);
  });

  // Guards against a capacity of an earlier incarnation that is used for the next one under the same id.
  it('gets no task on the report of its earlier incarnation', async () => {
    const [runner] = bench.runners;
    await restartBesideSilentUpstream('SIGTERM');
    await runner?.restart(0);
    await bench.submit('entry-1', 'too-early', WIDE, TASK_MS, 1_500);
    expect(bench.starts.size).to.equal(0);
  });

  // Guards against a report of an earlier capacity that was delayed while the executor restarted.
  it('gets no task on a delayed report, if that is the first one after a restart', async () => {
    const [runner] = bench.runners;
    if (!runner) throw new Error('no upstream was started');
    const delayed = runner.buildHeartbeat();
    await reportCapacity(1);
    await sleep(DELAY_MS);
    await restartBesideSilentUpstream('SIGTERM');
    const job = countConcurrent('restarted');
    for (let sent = 0; sent < 20; sent += 1) {
      await bench.sendHeartbeat('agent-1', 'i-1', delayed).catch(() => undefined);
      await sleep(50);
    }
    expect(bench.readOutput('agent-1')).to.include('report-passed-over');
    runner.skipsHeartbeats = false;
    expect(await job).to.equal(1);
  });

  // Guards against a capacity that dispatchers confirm, though the upstream has told the executor none for long.
  it('gets no task after a restart, if it had not reported for long before', async () => {
    for (const runner of bench.runners) runner.skipsHeartbeats = true;
    await sleep(CONFIRMED_MS);
    await restartBesideSilentUpstream('SIGTERM');
    await waitForJoin();
    await bench.submit('entry-1', 'too-early', 1, TASK_MS, 1_000);
    expect(bench.starts.size).to.equal(0);
  });
});
