/** Ordinary jobs of one short task, sent to all dispatchers at a steady rate. */
import { randomBytes } from 'node:crypto';
import { setTimeout as sleep } from 'node:timers/promises';

import { PREFIX } from './Deployment.js';
import type { Deployment } from './Deployment.js';

const WORK_MS = 50;
const GAP_MS = 100;
/** How long the callers wait, ms. */
export const PATIENCE_MS = 1_500;

/** Body of such a job. */
export const ORDINARY_JOB = JSON.stringify({
  spec: String(WORK_MS),
  best_effort: true,
  steps: [{ count: 1, cpu: 1_000, mem_mb: 64, estimate_ms: WORK_MS }],
});

/** How many jobs were sent, and how many of them were answered with success. */
export interface Served {
  readonly sent: number;
  readonly served: number;
}

/** Sends jobs to all dispatchers for a time, and waits for the answers. */
export async function sendToAll(deployment: Deployment, forMs: number): Promise<Served> {
  const calls: Promise<boolean>[] = [];
  for (let sentMs = 0; sentMs < forMs; sentMs += GAP_MS) {
    for (const dispatcher of deployment.listDispatchers()) {
      const url = `${PREFIX}${randomBytes(8).toString('hex')}`;
      const call = deployment.call(dispatcher, 'POST', url, ORDINARY_JOB, PATIENCE_MS);
      calls.push(call.then(({ status }) => status === 200));
    }
    await sleep(GAP_MS);
  }
  const answers = await Promise.all(calls);
  return { sent: answers.length, served: answers.filter((isServed) => isServed).length };
}
