/** Measures the highest rate of task starts of one entry, with and without decision logs. */
import { setTimeout as sleep } from 'node:timers/promises';

import { ProcessCluster } from './ProcessCluster.js';
import { buildCallerJob, submitUntilAnswered } from './resubmittingCaller.js';

const SECONDS = 6;
const TASKS_PER_JOB = 20;
/** Number of jobs in flight; high enough that the entry is the bottleneck. */
const CONCURRENT_JOBS = 120;

/** Runs closed-loop callers against one entry, and prints starts per second and CPU use. */
export async function benchThroughput(agents: number): Promise<void> {
  for (const decisionLog of [true, false, true, false]) {
    const cluster = new ProcessCluster({
      entries: 1,
      agents,
      slots: 64,
      entrySettings: { decisionLog, logLevel: 'info' },
      agentSettings: { decisionLog, logLevel: 'info' },
    });
    try {
      await cluster.start();
      await cluster.runCommand(
        'declare event fast services s kinds k(service = s, deadline = 60s, expected = 5ms)',
      );
      await sleep(1_000);
      await runFor(cluster, 'warm', 3);
      const before = await cluster.readStats('entry-1');
      const agentBefore = await cluster.readStats('agent-1');
      const seconds = await runFor(cluster, 'run', SECONDS);
      const after = await cluster.readStats('entry-1');
      const agentAfter = await cluster.readStats('agent-1');
      const starts = ((after.sentMessages['start'] ?? 0) - (before.sentMessages['start'] ?? 0)) / seconds;
      const results =
        ((agentAfter.sentMessages['result'] ?? 0) - (agentBefore.sentMessages['result'] ?? 0)) / seconds;
      const entryCore = (after.cpuMs - before.cpuMs) / seconds / 1_000;
      const agentCore = (agentAfter.cpuMs - agentBefore.cpuMs) / seconds / 1_000;
      console.log(
        JSON.stringify({
          decisionLog,
          startsPerSecond: Math.round(starts),
          entryCore: Number(entryCore.toFixed(3)),
          startsPerEntryCore: Math.round(starts / entryCore),
          agentStartsPerSecond: Math.round(results),
          startsPerAgentCore: Math.round(results / agentCore),
          entryRssMiB: Math.round(after.rssBytes / 2 ** 20),
        }),
      );
    } finally {
      await cluster.stop();
    }
  }
}

async function runFor(cluster: ProcessCluster, run: string, seconds: number): Promise<number> {
  const begin = Date.now();
  const until = begin + seconds * 1_000;
  let next = 0;
  await Promise.all(
    Array.from({ length: CONCURRENT_JOBS }, async () => {
      while (Date.now() < until) {
        next += 1;
        const work = Array.from({ length: TASKS_PER_JOB }, () => 5);
        const job = buildCallerJob(`${run}-${next}`, 'fast', 'k', work, 60_000);
        const answer = await submitUntilAnswered(job, cluster.entryUrls, {
          first: 0,
          tries: 1,
          patienceMs: 60_000,
        });
        if (answer.outcome !== 'complete') throw new Error(JSON.stringify(answer));
      }
    }),
  );
  return (Date.now() - begin) / 1_000;
}
