/** Runs 1,000 concurrent jobs during a planned stop of an agent and an entry: `npm run bench -- planned`. */
import { setTimeout as sleep } from 'node:timers/promises';

import { createRandom } from '../src/_lib/createRandom.js';
import { countBy } from '../src/load/buildReport.js';
import { ProcessCluster } from './ProcessCluster.js';
import { buildCallerJob, submitUntilAnswered } from './resubmittingCaller.js';

const JOBS = 1_000;
const MAX_TASKS = 50;
const MAX_WORK_MS = 120;

/** Sends the jobs, stops a process of each role with SIGTERM, and prints outcomes, starts and exit codes. */
export async function benchPlanned(seed: number): Promise<void> {
  const random = createRandom(seed);
  const cluster = new ProcessCluster({ entries: 2, agents: 11 });
  try {
    await cluster.start();
    await cluster.runCommand(
      'declare event planned services s kinds k(service = s, deadline = 300s, expected = 60ms)',
    );
    await sleep(1_000);
    let tasks = 0;
    const answers = Array.from({ length: JOBS }, (_, number) => {
      const count = 1 + Math.floor(random() * MAX_TASKS);
      tasks += count;
      const work = Array.from({ length: count }, () => 10 + Math.floor(random() * MAX_WORK_MS));
      const job = buildCallerJob(`planned-${number}`, 'planned', 'k', work, 300_000);
      return submitUntilAnswered(job, cluster.entryUrls, { first: number, tries: 1, patienceMs: 300_000 });
    });
    await sleep(2_000);
    cluster.signal('agent-3', 'SIGTERM');
    cluster.signal('entry-2', 'SIGTERM');
    const outcomes = await Promise.all(answers);
    const exits = [await cluster.waitForExit('agent-3'), await cluster.waitForExit('entry-2')];
    const starts = await cluster.readStarts();
    const startedTwice = [...starts.values()].filter((count) => count > 1).length;
    const results = countBy(outcomes.map(({ outcome }) => outcome));
    console.log(
      JSON.stringify({ jobs: JOBS, tasks, started: starts.size, startedTwice, outcomes: results, exits }),
    );
  } finally {
    await cluster.stop();
  }
}
