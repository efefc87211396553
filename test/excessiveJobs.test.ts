/** Jobs that no upstream can serve, beside ordinary ones, on real processes. */
import { expect } from 'chai';
import { setTimeout as sleep } from 'node:timers/promises';

import { PlatformBench } from './fakes/PlatformBench.js';
import type { CallerAnswer } from './fakes/PlatformBench.js';

const TARGET_LATENCY_MS = 20_000;
const DISPATCHERS = ['entry-1', 'entry-2'];
/** Largest amount of a resource in a job. */
const LARGEST = 1_000_000_000;
const ORDINARY_JOBS = 12;
const TASK_MS = 30;
const PATIENCE_MS = 60_000;

/** Interval of jobs that no upstream can serve, and how long their callers wait, ms. */
const INTERVAL_MS = 100;
const SHORT_PATIENCE_MS = 3_000;
/** Time after which a dispatcher knows all upstreams, ms. */
const SETTLE_MS = 6_000;

/** Steps that no upstream can serve, by what it lacks: each has 4 cores, 4,096 MB, no GPU and other labels. */
const UNSERVABLE_STEPS: Readonly<Record<string, object>> = {
  cpu: { count: 1, cpu: 4_001, estimate_ms: 100 },
  memory: { count: 1, cpu: 1, mem_mb: 4_097, estimate_ms: 100 },
  gpu: { count: 1, cpu: 1, gpu: 1, estimate_ms: 100 },
  label: { count: 1, cpu: 1, requirements: 'nowhere', estimate_ms: 100 },
};

function buildUnservable(kind: string): object {
  return { spec: '1', best_effort: true, steps: [UNSERVABLE_STEPS[kind]] };
}

const EXCESSIVE = { spec: '1', best_effort: true, steps: [{ count: 1, cpu: LARGEST, estimate_ms: 5_000 }] };

describe('jobs that no upstream can serve', function () {
  this.timeout(120_000);
  let bench: PlatformBench;

  beforeEach(async () => {
    bench = new PlatformBench(2, 2, TARGET_LATENCY_MS);
    await bench.start();
  });

  afterEach(async () => bench.stop());

  /** Submits ordinary jobs at both dispatchers, and counts the answers by status. */
  async function submitOrdinary(round: string): Promise<Record<string, number>> {
    const answers: Promise<CallerAnswer>[] = [];
    for (let number = 0; number < ORDINARY_JOBS; number += 1)
      for (const id of DISPATCHERS) answers.push(bench.submit(id, `${round}-${id}-${number}`, 1, TASK_MS));
    const counts: Record<string, number> = {};
    for (const { status } of await Promise.all(answers)) counts[status] = (counts[status] ?? 0) + 1;
    return counts;
  }

  function countLines(event: string): number {
    const daemons = [...DISPATCHERS, 'agent-1', 'agent-2'];
    return daemons.reduce((sum, id) => sum + bench.readOutput(id).split(event).length - 1, 0);
  }

  // Their sum exceeded what executors accept: all links were closed by each pong, and no job was served.
  it('take no service from others, though they need more CPU together than a message may name', async () => {
    const controller = new AbortController();
    for (const id of DISPATCHERS) {
      for (const number of [1, 2, 3]) {
        const job = `excessive-${id}-${number}`;
        bench.post(id, `/q/${job}`, EXCESSIVE, PATIENCE_MS, controller.signal).catch(() => undefined);
      }
    }
    await sleep(1_000);
    expect(await submitOrdinary('first')).to.deep.equal({ 200: DISPATCHERS.length * ORDINARY_JOBS });
    await sleep(2_000);
    expect(await submitOrdinary('later')).to.deep.equal({ 200: DISPATCHERS.length * ORDINARY_JOBS });
    expect(countLines('agent-unlinked')).to.equal(0);
    controller.abort();
  });

  // Each task that needed as much CPU waited behind one for a GPU that nobody has, until that one's caller had left.
  for (const kind of Object.keys(UNSERVABLE_STEPS)) {
    it(`take no service from others while they come again and again, for want of ${kind}`, async () => {
      const answers: Promise<CallerAnswer>[] = [];
      const timer = setInterval(() => {
        for (const id of DISPATCHERS) {
          const job = `${kind}-${id}-${answers.length}`;
          answers.push(bench.post(id, `/q/${job}`, buildUnservable(kind), SHORT_PATIENCE_MS));
        }
      }, INTERVAL_MS);
      await sleep(1_000);
      for (const round of ['first', 'second', 'third', 'fourth'])
        expect(await submitOrdinary(round), round).to.deep.equal({ 200: DISPATCHERS.length * ORDINARY_JOBS });
      clearInterval(timer);
      for (const { status, body } of await Promise.all(answers)) expect([503, 504], body).to.include(status);
    });
  }

  it('are refused with the reason and a time to return, once all upstreams are known', async () => {
    await sleep(SETTLE_MS);
    const names = [...bench.starts.keys()];
    for (const id of DISPATCHERS) {
      for (const kind of Object.keys(UNSERVABLE_STEPS)) {
        const job = buildUnservable(kind);
        const { status, body, retryAfter } = await bench.post(id, `/q/${kind}-${id}`, job, PATIENCE_MS);
        expect([status, retryAfter], kind).to.deep.equal([503, '10']);
        const { error, findings } = JSON.parse(body) as { error: string; findings: { pointer: string }[] };
        expect([error, findings.map(({ pointer }) => pointer)]).to.deep.equal([
          'no-upstream-fits',
          ['/steps/0'],
        ]);
      }
    }
    expect([...bench.starts.keys()]).to.deep.equal(names);
    expect(await submitOrdinary('after')).to.deep.equal({ 200: DISPATCHERS.length * ORDINARY_JOBS });
  });

  it('are served once an upstream has come that can', async () => {
    await sleep(SETTLE_MS);
    const job = buildUnservable('cpu');
    expect((await bench.post('entry-1', '/q/before', job, PATIENCE_MS)).status).to.equal(503);
    for (const runner of bench.runners) runner.reportedCpu = 5_000;
    await bench.waitFor(async () => {
      const { status } = await bench.post('entry-1', `/q/after-${Date.now()}`, job, PATIENCE_MS);
      return status === 200;
    }, 'that the larger capacity is known');
  });
});
