/** Real dispatchers and executors with stand-ins of the platform's protocol. No assertion depends on speed. */
import { setTimeout as sleep } from 'node:timers/promises';

import { expect } from 'chai';

import { PlatformBench } from './fakes/PlatformBench.js';

/** Delay before a caller submits a job again elsewhere, ms. */
const RESUBMIT_MS = 1_300;
/** High enough that a dispatcher on a slow VM refuses no job, ms. */
const TARGET_LATENCY_MS = 20_000;

describe('dispatchers and executors as processes', function () {
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

  it('complete jobs, each task started once', async () => {
    const answers = await Promise.all(
      Array.from({ length: 20 }, (_, at) =>
        bench.submit(`entry-${1 + (at % 2)}`, `job${at}`, 1 + (at % 4), 30),
      ),
    );
    for (const { status, body } of answers)
      expect([status, body]).to.deep.equal([200, '{"state":"completed"}']);
    expect([...bench.starts.values()].filter((count) => count !== 1)).to.deep.equal([]);
  });

  it('refuse unsupported jobs, and answer 404 where there is no queue', async () => {
    const kept = await bench.post('entry-1', '/q/kept', { spec: '', steps: [{ count: 1, cpu: 1 }] });
    expect([kept.status, kept.retryAfter]).to.deep.equal([503, '1']);
    expect((await bench.get('entry-1', '/none/')).status).to.equal(404);
    expect((await bench.get('entry-1', '/q/never')).status).to.equal(410);
    expect((await bench.get('entry-1', '/q/')).body).to.equal('{"pending":0}');
    expect(bench.starts.size).to.equal(0);
  });

  it('answer every open job before a dispatcher stops, and survive SIGHUP', async () => {
    const open = bench.submit('entry-1', 'open', 4, 800);
    await bench.waitFor(() => bench.atWork.size > 0);
    bench.signal('entry-1', 'SIGHUP');
    bench.signal('entry-1', 'SIGTERM');
    bench.signal('entry-2', 'SIGHUP');
    expect((await open).body).to.equal('{"state":"completed"}');
    expect(await bench.waitForExit('entry-1')).to.equal(0);
    expect(bench.isRunning('entry-2')).to.equal(true);
  });

  it('finish running tasks before an executor stops, and place new ones elsewhere', async () => {
    const open = bench.submit('entry-1', 'open', 12, 300);
    await bench.waitFor(() => bench.starts.size === 12);
    bench.signal('agent-1', 'SIGTERM');
    expect((await open).status).to.equal(200);
    expect(await bench.waitForExit('agent-1')).to.equal(0);
    expect((await bench.submit('entry-1', 'later', 4, 30)).status).to.equal(200);
    expect([...bench.starts.values()].filter((count) => count !== 1)).to.deep.equal([]);
  });

  it('run the tasks of a killed executor again, never two runs at the same time', async () => {
    const open = bench.submit('entry-1', 'open', 12, 1_500);
    await bench.waitFor(() => bench.starts.size === 12);
    bench.signal('agent-1', 'SIGKILL');
    expect((await open).body).to.equal('{"state":"completed"}');
    expect([...bench.starts.values()].filter((count) => count > 1).length).to.be.greaterThan(0);
  });

  it('stop tasks of a frozen dispatcher whose caller has left, also after it resumes', async () => {
    const caller = new AbortController();
    void bench.submit('entry-1', 'moved', 6, 4_000, 20_000, caller.signal);
    await bench.waitFor(() => bench.starts.size === 6);
    bench.signal('entry-1', 'SIGSTOP');
    caller.abort();
    await sleep(RESUBMIT_MS);
    await bench.waitUntilIdle();
    const again = bench.submit('entry-2', 'moved', 6, 300);
    bench.signal('entry-1', 'SIGCONT');
    expect((await again).body).to.equal('{"state":"completed"}');
  });

  it('interrupt the jobs of a dispatcher that was frozen for longer than the orphan timeout', async () => {
    const open = bench.submit('entry-1', 'open', 6, 4_000);
    await bench.waitFor(() => bench.starts.size === 6);
    bench.signal('entry-1', 'SIGSTOP');
    await sleep(RESUBMIT_MS);
    bench.signal('entry-1', 'SIGCONT');
    expect((await open).status).to.equal(504);
  });

  it('start no task twice when a runner does not answer orders', async () => {
    for (const runner of bench.runners) runner.unansweredStarts = 3;
    expect((await bench.submit('entry-1', 'muted', 8, 300)).body).to.equal('{"state":"completed"}');
    expect([...bench.starts.values()].filter((count) => count !== 1)).to.deep.equal([]);
  });

  it('stop abandoned tasks also after their estimated end', async () => {
    const step = { count: 4, cpu: 1_000, mem_mb: 10, estimate_ms: 10 };
    const body = { spec: '60000', steps: [step], best_effort: true };
    const left = bench.post('entry-1', '/q/left', body, 3_000);
    await bench.waitFor(() => bench.starts.size === 4);
    expect((await left).status).to.equal(504);
    await bench.waitUntilIdle();
  });

  it('refuse at once, and never start, a job that takes longer than its caller waits', async () => {
    const refused = await bench.submit('entry-1', 'too-long', 4, 60_000, 3_000);
    expect([refused.status, refused.retryAfter]).to.deep.equal([503, '1']);
    expect(bench.starts.size).to.equal(0);
  });

  it('send the configuration to a restarted dispatcher while the store is unavailable', async () => {
    bench.store.fault = 'busy';
    bench.signal('entry-1', 'SIGKILL');
    await bench.waitForExit('entry-1');
    await bench.startDaemon('entry-1');
    await bench.waitUntilReady('entry-1');
    expect((await bench.submit('entry-1', 'after', 4, 30)).status).to.equal(200);
  });

  it('send a large configuration to all dispatchers that restart while the store is unavailable', async () => {
    const prefixes = Array.from({ length: 1_500 }, (_, at) => `/many/${at}/`);
    bench.putConfiguration(['/q/', ...prefixes]);
    const executors = ['agent-1', 'agent-2', 'agent-3'];
    const isKept = (executor: string): boolean =>
      bench
        .readOutput(executor)
        .split('\n')
        .some((line) => line.includes('"configuration-kept"') && line.includes(`"version":${bench.version}`));
    await bench.waitFor(() => executors.every(isKept), 'that every executor has kept the configuration');
    bench.store.fault = 'busy';
    for (const dispatcher of ['entry-1', 'entry-2']) bench.signal(dispatcher, 'SIGKILL');
    for (const dispatcher of ['entry-1', 'entry-2']) {
      await bench.waitForExit(dispatcher);
      await bench.startDaemon(dispatcher);
    }
    for (const dispatcher of ['entry-1', 'entry-2']) {
      await bench.waitUntilReady(dispatcher);
      expect((await bench.get(dispatcher, '/many/1499/')).body).to.equal('{"pending":0}');
    }
    expect((await bench.submit('entry-1', 'after', 4, 30)).status).to.equal(200);
  });

  it('use the upstream of a restarted executor before its next report', async () => {
    await bench.waitFor(() => bench.store.countKeys() === 3);
    for (const runner of bench.runners) runner.skipsHeartbeats = true;
    for (const executor of ['agent-1', 'agent-2', 'agent-3']) {
      bench.signal(executor, 'SIGKILL');
      await bench.waitForExit(executor);
      await bench.startDaemon(executor);
    }
    let tries = 0;
    await bench.waitFor(
      async () => (await bench.submit('entry-1', `try${(tries += 1)}`, 4, 30)).status === 200,
    );
  });

  it('follow the configuration after resets, an unresponsive store and a dropped history', async () => {
    for (const [fault, prefix] of [
      ['reset', '/r/'],
      ['silent', '/s/'],
    ] as const) {
      bench.store.fault = fault;
      bench.putConfiguration(['/q/', prefix]);
      bench.store.compact();
      bench.store.fault = 'none';
      for (const dispatcher of ['entry-1', 'entry-2']) {
        await bench.waitFor(async () => (await bench.get(dispatcher, prefix)).status === 200);
      }
    }
  });
});
