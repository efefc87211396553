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

/** Interval of jobs for a GPU that nobody has, and how long their callers wait, ms. */
const GPU_INTERVAL_MS = 100;
const GPU_PATIENCE_MS = 3_000;
/** Time after which a dispatcher knows all upstreams, ms. */
const SETTLE_MS = 6_000;

const GPU_JOB = { spec: '1', best_effort: true, steps: [{ count: 1, cpu: 1_000, gpu: 1, estimate_ms: 100 }] };
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
  it('take no service from others while they come again and again', async () => {
    const answers: Promise<CallerAnswer>[] = [];
    const timer = setInterval(() => {
      for (const id of DISPATCHERS) {
        const job = `gpu-${id}-${answers.length}`;
        answers.push(bench.post(id, `/q/${job}`, GPU_JOB, GPU_PATIENCE_MS));
      }
    }, GPU_INTERVAL_MS);
    await sleep(1_000);
    for (const round of ['first', 'second', 'third', 'fourth'])
      expect(await submitOrdinary(round), round).to.deep.equal({ 200: DISPATCHERS.length * ORDINARY_JOBS });
    clearInterval(timer);
    for (const { status, body } of await Promise.all(answers)) expect([503, 504], body).to.include(status);
  });

  it('are refused with the reason and a time to return, once all upstreams are known', async () => {
    await sleep(SETTLE_MS);
    for (const id of DISPATCHERS) {
      const { status, body, retryAfter } = await bench.post(id, `/q/gpu-${id}`, GPU_JOB, PATIENCE_MS);
      expect([status, retryAfter]).to.deep.equal([503, '10']);
      expect(JSON.parse(body)).to.deep.equal({
        error: 'no-upstream-fits',
        findings: [
          { pointer: '/steps/0', message: 'no upstream of the service has had 1 cores, 0 MB and 1 GPUs' },
        ],
      });
    }
  });
});
