/** Emptied failure domains with real dispatchers and executors. No assertion depends on speed. */
import { setTimeout as sleep } from 'node:timers/promises';

import { expect } from 'chai';

import { PlatformBench } from './fakes/PlatformBench.js';

/** High enough that a dispatcher on a slow VM refuses no job, ms. */
const TARGET_LATENCY_MS = 20_000;
/** Time after an evacuation from which no task may start in the domain, ms. */
const EVACUATE_MS = 5_000;
/** Tasks that fill both runners of a failure domain; each runner takes four. */
const WIDE = 8;

describe('dispatchers and executors with an emptied failure domain', function () {
  this.timeout(120_000);
  let bench: PlatformBench;

  beforeEach(async () => {
    bench = new PlatformBench(2, 4, TARGET_LATENCY_MS);
    bench.domains = { 'agent-1': 'north', 'agent-2': 'north', 'agent-3': 'south', 'agent-4': 'south' };
    await bench.start();
  });

  afterEach(async () => {
    await bench.stop();
    expect(bench.doubled).to.deep.equal([]);
  });

  /** Counts the starts in `north`. */
  function countNorth(): number {
    return (bench.startsByRunner.get('i-1') ?? 0) + (bench.startsByRunner.get('i-2') ?? 0);
  }

  /** Empties `north` and waits until every daemon has logged it. */
  async function emptyNorth(): Promise<void> {
    bench.store.putEvacuation('north');
    const ids = ['entry-1', 'entry-2', 'agent-1', 'agent-2', 'agent-3', 'agent-4'];
    for (const id of ids) {
      await bench.waitFor(
        () => bench.readOutput(id).includes('"emptied":["north"]'),
        `that ${id} has the emptied domain`,
      );
    }
  }

  it('start no task there five seconds after the evacuation', async () => {
    bench.store.putEvacuation('north');
    await sleep(EVACUATE_MS);
    const before = countNorth();
    const answers = await Promise.all(
      Array.from({ length: 12 }, (_, at) => bench.submit(`entry-${1 + (at % 2)}`, `job${at}`, 2, 30)),
    );
    for (const { status } of answers) expect(status).to.equal(200);
    expect(countNorth() - before).to.equal(0);
  });

  it('start no task there, and complete jobs in other domains', async () => {
    await emptyNorth();
    const answers = await Promise.all(
      Array.from({ length: 12 }, (_, at) => bench.submit(`entry-${1 + (at % 2)}`, `job${at}`, 2, 30)),
    );
    for (const { status } of answers) expect(status).to.equal(200);
    expect(countNorth()).to.equal(0);
  });

  it('let running tasks there finish, and complete the job', async () => {
    const open = bench.submit('entry-1', 'open', 2 * WIDE, 1_500);
    await bench.waitFor(() => bench.starts.size === 2 * WIDE);
    await emptyNorth();
    expect((await open).status).to.equal(200);
    expect([...bench.starts.values()].filter((count) => count !== 1)).to.deep.equal([]);
    expect(countNorth()).to.equal(WIDE);
  });

  it('start tasks there again once it is restored', async () => {
    await emptyNorth();
    bench.store.dropEvacuation('north');
    await bench.waitFor(() => bench.readOutput('entry-1').includes('"emptied":[]'));
    await bench.waitFor(() => bench.readOutput('agent-1').includes('"emptied":[]'));
    const answer = await bench.submit('entry-1', 'later', 2 * WIDE, 600);
    expect(answer.status).to.equal(200);
    expect(countNorth()).to.be.greaterThan(0);
  });

  it('start no task there after a restart of the processes', async () => {
    await emptyNorth();
    for (const id of ['entry-1', 'entry-2', 'agent-1', 'agent-2']) {
      bench.signal(id, 'SIGKILL');
      await bench.waitForExit(id);
      await bench.startDaemon(id);
    }
    for (const id of ['entry-1', 'entry-2']) await bench.waitUntilReady(id);
    const answer = await bench.submit('entry-2', 'later', 2 * WIDE, 200);
    expect(answer.status).to.equal(200);
    expect(countNorth()).to.equal(0);
  });

  it('receive it from executors while the store is unresponsive', async () => {
    await emptyNorth();
    bench.store.fault = 'silent';
    bench.signal('entry-1', 'SIGKILL');
    await bench.waitForExit('entry-1');
    await bench.startDaemon('entry-1');
    await bench.waitUntilReady('entry-1');
    expect((await bench.submit('entry-1', 'later', WIDE, 50)).status).to.equal(200);
    expect(countNorth()).to.equal(0);
  });
});
