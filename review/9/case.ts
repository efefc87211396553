/** A task that requires a label is started on a runner that came back from a crash as another kind. */
import { randomBytes } from 'node:crypto';
import { setTimeout as sleep } from 'node:timers/promises';

import { PREFIX } from '../lib-3/Deployment.js';
import type { Deployment } from '../lib-3/Deployment.js';
import { runCase } from '../lib-3/runCase.js';

const CPU = 16_000;
const CRASHING = 'side-1';
const KIND_A = ['side-1', 'side-2', 'side-3'];
const ROUNDS = 44;
const ROUND_MS = 1_500;
const DOWN_MS = 60;
const JOB_GAP_MS = 200;
const WORK_MS = 12;
const PATIENCE_MS = 1_500;

const body = JSON.stringify({
  spec: String(WORK_MS),
  best_effort: true,
  steps: [{ count: 12, cpu: 1_600, mem_mb: 64, estimate_ms: WORK_MS, requirements: 'a' }],
});

/** Sends a job after the other to one dispatcher. */
async function sendJobs(deployment: Deployment, dispatcher: string, isOver: () => boolean): Promise<void> {
  const calls: Promise<unknown>[] = [];
  while (!isOver()) {
    const id = randomBytes(8).toString('hex');
    calls.push(deployment.call(dispatcher, 'POST', `${PREFIX}${id}`, body, PATIENCE_MS));
    await sleep(JOB_GAP_MS * (0.5 + Math.random()));
  }
  await Promise.all(calls);
}

void runCase({
  number: 9,
  dispatchers: 3,
  executors: 7,
  findKind: (number) => ({
    labels: [KIND_A.includes(`side-${number}`) ? 'a' : 'b', `r-${number}`],
    cpu: CPU,
  }),
  play: async (deployment, hasTrouble) => {
    let isOver = false;
    const jobs = deployment.listDispatchers().map((id) => sendJobs(deployment, id, () => isOver));
    const runner = deployment.runners.get(CRASHING);
    for (let round = 0; round < ROUNDS; round += 1) {
      await sleep(ROUND_MS * (0.8 + 0.4 * Math.random()));
      if (!hasTrouble || !runner) continue;
      const label = runner.labels[0] === 'a' ? 'b' : 'a';
      await runner.crash();
      await sleep(DOWN_MS);
      await runner.begin({ labels: [label, 'r-1'], cpu: CPU });
    }
    isOver = true;
    await Promise.all(jobs);
    return deployment.record.starts
      .filter(({ labels }) => !labels.includes('a'))
      .map(({ task, runner: id, labels }) => `${task} requires a, started on ${id} with ${labels.join(' ')}`);
  },
});
