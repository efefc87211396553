/**
 * Guards against tasks of a cancelled job that keep running, because their upstream started them late or because their
 * dispatcher or executor was killed. Tasks take longer than the tests wait.
 */
import { setTimeout as sleep } from 'node:timers/promises';

import { expect } from 'chai';

import { PlatformBench } from './fakes/PlatformBench.js';

const TASK_MS = 100_000;
/**
 * Many times a task, so that slow progress reports do not make the dispatcher give up a job: progress is
 * reported in whole percent, a second each here, and until the first report an upstream seems to work at a
 * fifth of its speed.
 */
const PATIENCE_MS = 2_000_000;
const TARGET_LATENCY_MS = 2_000_000;
/** Longer than the timeout of a call and all its retries. */
const LATE_MS = 2_500;
/** Shorter than the lease of a start, after which the executor has earlier starts refused. */
const LATE_WITHIN_LEASE_MS = 300;
/** More than the attempts to send a start. */
const LATE_STARTS = 8;
/** Longer than stopping a cancelled job may take. */
const SETTLE_MS = 1_500;
/** Time after a cancelling from which no task of its job may start or run, ms. */
const CANCEL_MS = 3_000;
/** Time after a restart from which a process is bound by that, ms. */
const CONTACT_MS = 3_000;

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

  /** Cancels a job whose start an upstream has accepted but not applied yet. */
  async function cancelBeforeStart(lateMs = LATE_MS): Promise<void> {
    for (const runner of bench.runners) {
      runner.lateStarts = LATE_STARTS;
      runner.lateMs = lateMs;
    }
    const open = bench.submit('entry-1', 'late', 1, TASK_MS, PATIENCE_MS);
    await bench.waitFor(() => bench.runners.some(({ lateStarts }) => lateStarts < LATE_STARTS));
    expect((await bench.cancel('entry-1', 'late')).status).to.equal(200);
    expect((await open).status).to.equal(504);
  }

  /** Asserts that no task runs and none is started any more. */
  async function assertStopped(): Promise<void> {
    await bench.waitUntilIdle();
    const starts = bench.starts.size;
    await sleep(SETTLE_MS);
    await bench.waitUntilIdle();
    expect(bench.starts.size).to.equal(starts);
  }

  it('are not started late after their upstream has received the stop', async () => {
    await cancelBeforeStart();
    await sleep(LATE_MS);
    await assertStopped();
    expect(bench.starts.size).to.equal(0);
  });

  it('are stopped when their upstream starts them late and has received no stop', async () => {
    for (const runner of bench.runners) runner.lostStops = Infinity;
    await cancelBeforeStart(LATE_WITHIN_LEASE_MS);
    await bench.waitFor(() => bench.starts.size > 0);
    for (const runner of bench.runners) runner.lostStops = 0;
    await assertStopped();
  });

  it('are not started late after their lease has lapsed, though their upstream has received no stop', async () => {
    for (const runner of bench.runners) runner.lostStops = Infinity;
    await cancelBeforeStart();
    await sleep(LATE_MS);
    await assertStopped();
    expect(bench.starts.size).to.equal(0);
  });

  for (const starter of ['entry-1', 'agent-1']) {
    it(`are stopped when ${starter}, which had started them, is killed`, async () => {
      const open = bench.submit('entry-1', 'removed', 12, TASK_MS, PATIENCE_MS);
      await bench.waitFor(() => bench.starts.size === 12);
      bench.signal(starter, 'SIGKILL');
      await bench.cancel('entry-1', 'removed');
      await open;
      await assertStopped();
    });
  }
});

describe('a job that is cancelled before its submission is handled', function () {
  this.timeout(60_000);
  const FREEZE_MS = 1_000;
  const bench = new PlatformBench(2, 3, TARGET_LATENCY_MS);

  before(() => bench.start());
  after(() => bench.stop());

  // Guards against a cancelling that overtakes a submission which is held after a pause of the dispatcher.
  it('is not run when both arrive during a pause of their dispatcher', async () => {
    bench.signal('entry-1', 'SIGSTOP');
    await sleep(100);
    const open = bench.submit('entry-1', 'paused', 2, TASK_MS, PATIENCE_MS);
    await sleep(200);
    const cancelled = bench.cancel('entry-1', 'paused');
    await sleep(FREEZE_MS);
    bench.signal('entry-1', 'SIGCONT');
    expect([200, 410]).to.include((await cancelled).status);
    await sleep(SETTLE_MS);
    expect(bench.starts.size).to.equal(0);
    expect(await open).to.include({ status: 503, retryAfter: undefined });
  });

  // Guards against a cancelling that has no effect, as its submission is taken from the listen queue after it.
  it('is not run when its submission waits in the listen queue during a pause', async () => {
    const before = bench.starts.size;
    const open = bench.openCaller('entry-1', '');
    await sleep(100);
    bench.signal('entry-1', 'SIGSTOP');
    const idle = Array.from({ length: 150 }, () => bench.openCaller('entry-1', ''));
    await sleep(100);
    const submitted = bench.submit('entry-1', 'queued', 2, TASK_MS, PATIENCE_MS);
    await sleep(200);
    open.write('DELETE /q/queued HTTP/1.1\r\nhost: a.example\r\n\r\n');
    const answer = new Promise<string>((resolve) => open.once('data', (data) => resolve(String(data))));
    await sleep(FREEZE_MS);
    bench.signal('entry-1', 'SIGCONT');
    expect(await answer).to.match(/^HTTP\/1.1 (200|410) /);
    await sleep(SETTLE_MS);
    expect(bench.starts.size).to.equal(before);
    expect((await submitted).status).to.equal(503);
    for (const socket of [open, ...idle]) socket.destroy();
  });

  // Guards against a cancelling that has no effect, as it is read before the submission on another connection.
  it('is not run when its submission is read after its cancelling', async () => {
    expect([200, 410]).to.include((await bench.cancel('entry-1', 'late')).status);
    const open = bench.submit('entry-1', 'late', 2, TASK_MS, PATIENCE_MS);
    await sleep(SETTLE_MS);
    expect(bench.starts.size).to.equal(0);
    expect(await open).to.include({ status: 503, retryAfter: undefined });
  });
});

describe('a job that is cancelled at another dispatcher than its own', function () {
  this.timeout(60_000);
  const PAUSE_MS = 450;
  const bench = new PlatformBench(2, 3, TARGET_LATENCY_MS);

  before(() => bench.start());
  after(() => bench.stop());

  // Guards against a job that runs to its end, as the dispatcher that its cancelling reached did not have it.
  it('is stopped at its own', async () => {
    const open = bench.submit('entry-1', 'elsewhere', 2, TASK_MS, PATIENCE_MS);
    await bench.waitFor(() => bench.starts.size === 2);
    expect((await bench.cancel('entry-2', 'elsewhere')).status).to.equal(200);
    await sleep(CANCEL_MS);
    expect([...bench.atWork.values()]).to.deep.equal([0, 0]);
    expect((await open).status).to.equal(504);
  });

  // Guards against a cancelling that is lost, as the job's dispatcher stands still.
  it('is stopped once its own has woken up', async () => {
    const open = bench.submit('entry-1', 'frozen', 2, TASK_MS, PATIENCE_MS);
    await bench.waitFor(() => bench.starts.size === 4);
    bench.signal('entry-1', 'SIGSTOP');
    expect((await bench.cancel('entry-2', 'frozen')).status).to.equal(200);
    await sleep(PAUSE_MS);
    bench.signal('entry-1', 'SIGCONT');
    await sleep(CANCEL_MS);
    expect([...bench.atWork.values()]).to.deep.equal([0, 0, 0, 0]);
    expect((await open).status).to.equal(504);
  });

  // Guards against a cancelled job that runs anew, as its caller submits it again at another dispatcher.
  it('is not run by another later, nor by one that was restarted', async () => {
    await bench.cancel('entry-1', 'refused');
    await sleep(CANCEL_MS);
    const before = bench.starts.size;
    expect((await bench.submit('entry-2', 'refused', 2, TASK_MS, PATIENCE_MS)).status).to.equal(503);
    bench.signal('entry-2', 'SIGKILL');
    await bench.waitForExit('entry-2');
    await bench.startDaemon('entry-2');
    await bench.waitUntilReady('entry-2');
    await sleep(CONTACT_MS);
    expect((await bench.submit('entry-2', 'refused', 2, TASK_MS, PATIENCE_MS)).status).to.equal(503);
    expect(bench.starts.size).to.equal(before);
  });
});

describe('a job that is cancelled before all dispatchers restart at once', function () {
  this.timeout(60_000);
  const bench = new PlatformBench(2, 3, TARGET_LATENCY_MS);
  const dispatchers = ['entry-1', 'entry-2'];

  before(() => bench.start());
  after(() => bench.stop());

  // Guards against a cancelled job that runs anew, as no dispatcher remembers its cancelling.
  it('is not run when its caller submits it again', async () => {
    const first = bench.submit('entry-1', 'again', 2, TASK_MS, PATIENCE_MS);
    await bench.waitFor(() => bench.starts.size === 2);
    expect((await bench.cancel('entry-1', 'again')).status).to.equal(200);
    for (const id of dispatchers) bench.signal(id, 'SIGKILL');
    for (const id of dispatchers) await bench.waitForExit(id);
    await first;
    for (const id of dispatchers) await bench.startDaemon(id);
    for (const id of dispatchers) await bench.waitUntilReady(id);
    await sleep(CONTACT_MS);
    expect((await bench.submit('entry-2', 'again', 2, TASK_MS, PATIENCE_MS)).status).to.equal(503);
    expect([...bench.starts.values()]).to.deep.equal([1, 1]);
  });
});

describe('a job whose queue the operators have dropped', function () {
  this.timeout(60_000);
  const bench = new PlatformBench(2, 3, TARGET_LATENCY_MS);

  before(() => bench.start());
  after(() => bench.stop());

  // Guards against a cancelling that is answered 404 without effect, as its queue is gone while the job runs.
  it('is cancelled, also at another dispatcher', async () => {
    const open = ['one', 'two'].map((job) => bench.submit('entry-1', job, 2, TASK_MS, PATIENCE_MS));
    await bench.waitFor(() => bench.starts.size === 4);
    bench.putConfiguration(['/other/']);
    for (const id of ['entry-1', 'entry-2'])
      await bench.waitFor(async () => (await bench.get(id, '/q/')).status === 404);
    expect((await bench.cancel('entry-1', 'one')).status).to.equal(410);
    expect((await bench.cancel('entry-2', 'two')).status).to.equal(410);
    await sleep(CANCEL_MS);
    expect([...bench.atWork.values()]).to.deep.equal([0, 0, 0, 0]);
    expect((await Promise.all(open)).map(({ status }) => status)).to.deep.equal([504, 504]);
  });
});
