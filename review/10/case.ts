/** A write that the store carries out late brings an earlier capacity back; after a restart the runner is overfilled. */
import { randomBytes } from 'node:crypto';
import { setTimeout as sleep } from 'node:timers/promises';

import { PREFIX } from '../lib-3/Deployment.js';
import type { Deployment } from '../lib-3/Deployment.js';
import { runCase } from '../lib-3/runCase.js';

/** Bounds of the pages, ms: a capacity that has shrunk counts `contact_ms` and one beat later. */
const CONTACT_MS = 3_000;
const BEAT_MS = 1_500;
const LARGE_CPU = 16_000;
const SMALL_CPU = 4_800;
const TASK_CPU = 1_600;
const WORK_MS = 250;
const TASKS = 10;
const CLIENTS = 22;
const PATIENCE_MS = 1_500;
/** The store's trouble: share of the writes, and how long it lasts, ms. */
const LATE_SHARE = 0.35;
const TROUBLE_MS = 4_500;
/** Time from the end of that trouble until the executors are restarted, and between two of them, ms. */
const QUIET_MS = 8_000;
const GAP_MS = 1_000;
const DOWN_MS = 500;
const ROUNDS = 3;

const body = JSON.stringify({
  spec: String(WORK_MS),
  best_effort: true,
  steps: [{ count: TASKS, cpu: TASK_CPU, mem_mb: 64, estimate_ms: WORK_MS }],
});

/** Sends a job after the other. */
async function sendJobs(deployment: Deployment, client: number, isOver: () => boolean): Promise<void> {
  const dispatchers = deployment.listDispatchers();
  while (!isOver()) {
    const id = randomBytes(8).toString('hex');
    const dispatcher = dispatchers[client % dispatchers.length] ?? '';
    await deployment.call(dispatcher, 'POST', `${PREFIX}${id}`, body, PATIENCE_MS);
    await sleep(50);
  }
}

/** All runners grow, and shrink again a beat later, while the store may leave writes unanswered. */
async function changeCapacities(deployment: Deployment, hasTrouble: boolean): Promise<void> {
  const runners = [...deployment.runners.values()];
  deployment.store.lateShare = hasTrouble ? LATE_SHARE : 0;
  for (const cpu of [LARGE_CPU, SMALL_CPU]) {
    for (const runner of runners) runner.setCapacity(cpu);
    await sleep(BEAT_MS);
  }
  await sleep(TROUBLE_MS - 2 * BEAT_MS);
  deployment.store.lateShare = 0;
}

async function restartExecutors(deployment: Deployment): Promise<void> {
  for (const id of deployment.runners.keys()) {
    deployment.signal(id, 'SIGTERM');
    await deployment.waitForEnd(id);
    await sleep(DOWN_MS);
    deployment.startProcess(id);
    await sleep(GAP_MS);
  }
}

void runCase({
  number: 10,
  dispatchers: 2,
  executors: 8,
  findKind: (number) => ({ labels: ['a', `r-${number}`], cpu: SMALL_CPU }),
  play: async (deployment, hasTrouble) => {
    deployment.store.reportWrite = (text, lateMs) =>
      deployment.record.note('write', { lateMs, text: text.slice(-300) });
    let isOver = false;
    const jobs = Array.from({ length: CLIENTS }, (_, at) => sendJobs(deployment, at, () => isOver));
    await sleep(2_000);
    for (let round = 0; round < ROUNDS; round += 1) {
      await changeCapacities(deployment, hasTrouble);
      await sleep(QUIET_MS);
      await restartExecutors(deployment);
    }
    isOver = true;
    await Promise.all(jobs);
    return deployment.record.starts
      .filter(({ at, shrunkAt }) => at > shrunkAt + CONTACT_MS + BEAT_MS)
      .filter(({ running, cpu }) => running * TASK_CPU > cpu)
      .map(
        ({ task, runner, running, cpu }) =>
          `${task} is the ${running}. run on ${runner}, whose capacity is ${cpu}`,
      );
  },
});
