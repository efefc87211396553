/** Counts duplicate starts while processes are killed and callers resubmit: `npm run bench -- kills`. */
import { setTimeout as sleep } from 'node:timers/promises';

import { createRandom } from '../src/_lib/createRandom.js';
import { countBy } from '../src/load/buildReport.js';
import { ProcessCluster } from './ProcessCluster.js';
import { buildCallerJob, submitUntilAnswered } from './resubmittingCaller.js';
import type { CallerAnswer } from './resubmittingCaller.js';

export interface KillOptions {
  readonly tasks: number;
  readonly seed: number;
  /** Interval between kills, ms. */
  readonly killEveryMs: number;
  readonly victims: 'entries' | 'agents' | 'both';
}

const ENTRIES = 3;
const AGENTS = 11;
const SLOTS = 32;
const TASKS_PER_JOB = 20;
const RESTART_MS = 1_500;
/** Number of jobs in flight. */
const CONCURRENT_JOBS = 60;

/** Runs jobs under kills and prints the counts of starts, duplicate starts, outcomes and resubmissions. */
export async function benchKills(options: KillOptions): Promise<void> {
  const random = createRandom(options.seed);
  const cluster = new ProcessCluster({
    entries: ENTRIES,
    agents: AGENTS,
    slots: SLOTS,
    entrySettings: { decisionLog: false },
    agentSettings: { decisionLog: false },
  });
  await cluster.start();
  try {
    const declared = await cluster.runCommand(
      'declare event kills services s kinds k(service = s, deadline = 60s, expected = 20ms)',
    );
    if (declared.status !== 200) throw new Error(JSON.stringify(declared.body));
    await sleep(500);
    const answers: CallerAnswer[] = [];
    const jobs = Math.ceil(options.tasks / TASKS_PER_JOB);
    let next = 0;
    let kills = 0;
    let done = false;
    const killer = (async () => {
      while (!done) {
        await sleep(options.killEveryMs);
        if (done) return;
        const victim = selectVictim(cluster, options.victims, random);
        cluster.signal(victim, 'SIGKILL');
        kills += 1;
        await sleep(RESTART_MS);
        cluster.restart(victim);
      }
    })();
    const callers = Array.from({ length: CONCURRENT_JOBS }, async () => {
      while (next < jobs) {
        const number = next;
        next += 1;
        const workMs = Array.from({ length: TASKS_PER_JOB }, () => 5 + Math.floor(random() * 40));
        const job = buildCallerJob(`k-${options.seed}-${number}`, 'kills', 'k', workMs, 60_000);
        answers.push(
          await submitUntilAnswered(job, cluster.entryUrls, { first: number, tries: 12, patienceMs: 15_000 }),
        );
      }
    });
    await Promise.all(callers);
    done = true;
    await killer;
    const starts = await cluster.readStarts();
    const startedTwice = [...starts.values()].filter((count) => count > 1).length;
    const resubmitted = answers.filter(({ submissions }) => submissions > 1);
    console.log(
      JSON.stringify({
        victims: options.victims,
        kills,
        jobs,
        tasksStarted: starts.size,
        startedTwice: startedTwice,
        outcomes: countBy(answers.map(({ outcome }) => outcome)),
        reasons: countBy(answers.filter(({ outcome }) => outcome !== 'complete').map(({ reason }) => reason)),
        resubmittedJobs: resubmitted.length,
        resubmittedComplete: resubmitted.filter(({ outcome }) => outcome === 'complete').length,
      }),
    );
  } finally {
    await cluster.stop();
  }
}

function selectVictim(
  cluster: ProcessCluster,
  victims: KillOptions['victims'],
  random: () => number,
): string {
  const ids = [
    ...(victims === 'agents' ? [] : cluster.listIds('entry')),
    ...(victims === 'entries' ? [] : cluster.listIds('agent')),
  ];
  return ids[Math.floor(random() * ids.length)] as string;
}
