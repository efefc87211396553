/** Real dispatchers and executors against stand-ins that speak the platform's protocol. Nothing depends on speed. */
import { setTimeout as sleep } from 'node:timers/promises';

import { expect } from 'chai';

import { PlatformBench } from './fakes/PlatformBench.js';

/** Time that a caller keeps before it submits a job again elsewhere, ms. */
const RESUBMIT_MS = 1_300;
/**
 * Time that queues allow beyond the work, ms: as long as callers wait here. With less, an entry rightly refuses 30 ms
 * of work that a busy machine cannot begin within 300 ms, and a test of it would depend on speed.
 */
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

  it('refuse what they do not serve, and say where there is no queue', async () => {
    const kept = await bench.post('entry-1', '/q/kept', { spec: '', steps: [{ count: 1, cpu: 1 }] });
    expect([kept.status, kept.retryAfter]).to.deep.equal([503, '1']);
    expect((await bench.get('entry-1', '/none/')).status).to.equal(404);
    expect((await bench.get('entry-1', '/q/never')).status).to.equal(410);
    expect((await bench.get('entry-1', '/q/')).body).to.equal('{"pending":0}');
    expect(bench.starts.size).to.equal(0);
  });

  it('answer every open job before an entry stops, and outlive SIGHUP', async () => {
    const open = bench.submit('entry-1', 'open', 4, 800);
    await bench.waitFor(() => bench.atWork.size > 0);
    bench.signal('entry-1', 'SIGHUP');
    bench.signal('entry-1', 'SIGTERM');
    bench.signal('entry-2', 'SIGHUP');
    expect((await open).body).to.equal('{"state":"completed"}');
    expect(await bench.waitForExit('entry-1')).to.equal(0);
    expect(bench.isRunning('entry-2')).to.equal(true);
  });

  it('finish what runs before an agent stops, and place elsewhere meanwhile', async () => {
    const open = bench.submit('entry-1', 'open', 12, 300);
    await bench.waitFor(() => bench.starts.size === 12);
    bench.signal('agent-1', 'SIGTERM');
    expect((await open).status).to.equal(200);
    expect(await bench.waitForExit('agent-1')).to.equal(0);
    expect((await bench.submit('entry-1', 'later', 4, 30)).status).to.equal(200);
    expect([...bench.starts.values()].filter((count) => count !== 1)).to.deep.equal([]);
  });

  it('run the tasks of a killed agent again, never two runs at once', async () => {
    const open = bench.submit('entry-1', 'open', 12, 1_500);
    await bench.waitFor(() => bench.starts.size === 12);
    bench.signal('agent-1', 'SIGKILL');
    expect((await open).body).to.equal('{"state":"completed"}');
    expect([...bench.starts.values()].filter((count) => count > 1).length).to.be.greaterThan(0);
  });

  it('run nothing on for a frozen entry whose caller goes elsewhere, also when it wakes up', async () => {
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

  it('give up the jobs of an entry that stood still for longer than its agents wait', async () => {
    const open = bench.submit('entry-1', 'open', 6, 4_000);
    await bench.waitFor(() => bench.starts.size === 6);
    bench.signal('entry-1', 'SIGSTOP');
    await sleep(RESUBMIT_MS);
    bench.signal('entry-1', 'SIGCONT');
    expect((await open).status).to.equal(504);
  });

  it('start no task twice when a runner does not answer its orders', async () => {
    for (const runner of bench.runners) runner.unansweredStarts = 3;
    expect((await bench.submit('entry-1', 'muted', 8, 300)).body).to.equal('{"state":"completed"}');
    expect([...bench.starts.values()].filter((count) => count !== 1)).to.deep.equal([]);
  });

  it('stop what a caller has left, though its work was expected to be done by then', async () => {
    const step = { count: 4, cpu: 1_000, mem_mb: 10, estimate_ms: 10 };
    const body = { spec: '60000', steps: [step], best_effort: true };
    const left = bench.post('entry-1', '/q/left', body, 3_000);
    await bench.waitFor(() => bench.starts.size === 4);
    expect((await left).status).to.equal(504);
    await bench.waitUntilIdle();
  });

  it('refuse at once, and never start, what takes longer than its caller waits', async () => {
    const refused = await bench.submit('entry-1', 'too-long', 4, 60_000, 3_000);
    expect([refused.status, refused.retryAfter]).to.deep.equal([503, '1']);
    expect(bench.starts.size).to.equal(0);
  });

  it('give a restarted entry the configuration while the store is out', async () => {
    bench.store.fault = 'busy';
    bench.signal('entry-1', 'SIGKILL');
    await bench.waitForExit('entry-1');
    await bench.startDaemon('entry-1');
    await bench.waitUntilReady('entry-1');
    expect((await bench.submit('entry-1', 'after', 4, 30)).status).to.equal(200);
  });

  it('give all entries, restarted at once while the store is out, a large configuration', async () => {
    const prefixes = Array.from({ length: 1_500 }, (_, at) => `/many/${at}/`);
    bench.putConfiguration(['/q/', ...prefixes]);
    const agents = ['agent-1', 'agent-2', 'agent-3'];
    const isKept = (agent: string): boolean =>
      bench
        .readOutput(agent)
        .split('\n')
        .some((line) => line.includes('"configuration-kept"') && line.includes(`"version":${bench.version}`));
    await bench.waitFor(() => agents.every(isKept), 'a kept text');
    bench.store.fault = 'busy';
    for (const entry of ['entry-1', 'entry-2']) bench.signal(entry, 'SIGKILL');
    for (const entry of ['entry-1', 'entry-2']) {
      await bench.waitForExit(entry);
      await bench.startDaemon(entry);
    }
    for (const entry of ['entry-1', 'entry-2']) {
      await bench.waitUntilReady(entry);
      expect((await bench.get(entry, '/many/1499/')).body).to.equal('{"pending":0}');
    }
    expect((await bench.submit('entry-1', 'after', 4, 30)).status).to.equal(200);
  });

  it('use the upstream of a restarted agent before it reports itself again', async () => {
    await bench.waitFor(() => bench.store.countKeys() === 3);
    for (const runner of bench.runners) runner.skipsHeartbeats = true;
    for (const agent of ['agent-1', 'agent-2', 'agent-3']) {
      bench.signal(agent, 'SIGKILL');
      await bench.waitForExit(agent);
      await bench.startDaemon(agent);
    }
    let tries = 0;
    await bench.waitFor(
      async () => (await bench.submit('entry-1', `try${(tries += 1)}`, 4, 30)).status === 200,
    );
  });

  it('follow the configuration over resets, silence and a forgotten history', async () => {
    for (const [fault, prefix] of [
      ['reset', '/r/'],
      ['silent', '/s/'],
    ] as const) {
      bench.store.fault = fault;
      bench.putConfiguration(['/q/', prefix]);
      bench.store.compact();
      bench.store.fault = 'none';
      for (const entry of ['entry-1', 'entry-2']) {
        await bench.waitFor(async () => (await bench.get(entry, prefix)).status === 200);
      }
    }
  });
});
