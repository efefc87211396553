/** Compares response times through an entry and directly from an upstream: `npm run bench -- low`. */
import { performance } from 'node:perf_hooks';
import { setTimeout as sleep } from 'node:timers/promises';

import { Pool } from 'undici';

import { buildDistribution } from '../src/load/buildReport.js';
import { ProcessCluster } from './ProcessCluster.js';
import { buildCallerJob, submitUntilAnswered } from './resubmittingCaller.js';

/** Duration of each task, ms. */
const WORK_MS = 50;
/** Number of jobs of 10 tasks before the measurement. */
const WARM_UP_JOBS = 1_500;
/** Pause between pairs, ms. */
const GAP_MS = 5;

/** Sends pairs of a job and a direct call, and prints their distributions and differences. */
export async function benchLow(pairs: number): Promise<void> {
  const cluster = new ProcessCluster({ entries: 2, agents: 11 });
  try {
    await cluster.start();
    await cluster.runCommand('declare event low services s kinds k(service = s, expected = 50ms)');
    await sleep(1_000);
    await warmUp(cluster);
    const entry = new Pool(cluster.url('entry-1'), { connections: 1 });
    const upstream = new Pool(cluster.url('upstream-1'), { connections: 1 });
    const through: number[] = [];
    const direct: number[] = [];
    for (let number = -50; number < pairs; number += 1) {
      const task = { workMs: WORK_MS, echo: number };
      const job = {
        job: `low-${number}`,
        createdAt: Date.now(),
        event: 'low',
        tasks: [{ kind: 'k', body: task }],
      };
      const throughMs = await measureRequest(entry, '/v1/jobs', job);
      const directMs = await measureRequest(upstream, '/tasks/k', task);
      await sleep(GAP_MS);
      // The first pairs only warm up the processes.
      if (number < 0) continue;
      through.push(throughMs);
      direct.push(directMs);
    }
    const added = buildDistribution(through).p50 - buildDistribution(direct).p50;
    const addedP99 = buildDistribution(through).p99 - buildDistribution(direct).p99;
    const round = (value: number): number => Number(value.toFixed(2));
    console.log(
      JSON.stringify({
        pairs,
        through: buildDistribution(through),
        direct: buildDistribution(direct),
        addedP50Ms: round(added),
        addedP99Ms: round(addedP99),
      }),
    );
  } finally {
    await cluster.stop();
  }
}

/** Runs tasks first, so that the code of the processes is compiled before the measurement. */
async function warmUp(cluster: ProcessCluster): Promise<void> {
  const jobs = Array.from({ length: WARM_UP_JOBS }, (_, number) => {
    return buildCallerJob(
      `warm-${number}`,
      'low',
      'k',
      Array.from({ length: 10 }, () => 2),
      60_000,
    );
  });
  for (const [number, job] of jobs.entries()) {
    const options = { first: number, tries: 1, patienceMs: 10_000 };
    const answer = submitUntilAnswered(job, cluster.entryUrls, options);
    if (number % 10 === 0) await answer;
  }
  await sleep(1_000);
}

async function measureRequest(pool: Pool, path: string, body: unknown): Promise<number> {
  const begin = performance.now();
  const response = await pool.request({ method: 'POST', path, body: JSON.stringify(body) });
  await response.body.text();
  if (response.statusCode !== 200) throw new Error(`${path}: ${response.statusCode}`);
  return performance.now() - begin;
}
