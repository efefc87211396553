/**
 * UNASKED: a job and its cancelling arrive while the dispatcher is frozen. When it wakes, it answers the
 * cancelling with 410, as if there were no such job, and runs the job after that.
 */
import path from 'node:path';
import process from 'node:process';
import { setTimeout as sleep } from 'node:timers/promises';

import { Deployment } from '../lib/Deployment.js';
import type { Job } from '../lib/Deployment.js';
import { Recorder } from '../lib/Recorder.js';

const IS_TROUBLED = process.env['TROUBLE'] !== '0';
const ROUNDS = 3;
const FREEZE_MS = 1_000;
/** Times of the job and of its cancelling, from the start of the freeze, ms. */
const SUBMIT_MS = 100;
const CANCEL_MS = 400;
/** Steps one after the other, so that tasks begin until 6 s after the first. */
const STEPS = 6;
const WORK_MS = 1_200;
const PATIENCE_MS = 12_000;
/** `cancel_ms` and `stop_ms` */
const CANCEL_BOUND_MS = 3_000;
const STOP_BOUND_MS = 50;
const RECORD = path.join('review', '2', 'record.txt');

const recorder = new Recorder();
const deployment = new Deployment(recorder);
let exitCode = 2;
let started = 0;
let running = 0;

try {
  await deployment.start(1, 2);
  for (let number = 1; number <= 2; number += 1)
    await deployment.startRunner(number, `i-${number}`, 64_000, ['a', 'r1']);
  await deployment.waitUntilReady();
  await sleep(4_000);
  for (let round = 1; round <= ROUNDS; round += 1) await runRound(round);
  exitCode = started > 0 ? 1 : 0;
} catch (error) {
  recorder.note(`the case could not run: ${String(error)}`);
}
recorder.write(RECORD, [
  `trouble ${IS_TROUBLED}, exit ${exitCode}`,
  `tasks that began later than cancel_ms after their job's cancelling was answered: ${started}`,
  `jobs with a task at work cancel_ms and stop_ms after that: ${running}, of ${ROUNDS}`,
]);
await deployment.stop();
process.exit(exitCode);

async function runRound(round: number): Promise<void> {
  const job: Job = {
    id: (0x3000_0000 + round).toString(16).padStart(16, '0'),
    patienceMs: PATIENCE_MS,
    spec: String(WORK_MS),
    steps: Array.from({ length: STEPS }, (_, at) => {
      return { count: 1, cpu: 1_000, mem_mb: 64, estimate_ms: WORK_MS, after: at === 0 ? [] : [at - 1] };
    }),
  };
  if (IS_TROUBLED) deployment.signal('edge-1', 'SIGSTOP');
  await sleep(SUBMIT_MS);
  const submitted = deployment.submit('edge-1', job, PATIENCE_MS);
  await sleep(CANCEL_MS - SUBMIT_MS);
  const cancelled = deployment.cancel('edge-1', job.id);
  await sleep(FREEZE_MS - CANCEL_MS);
  if (IS_TROUBLED) deployment.signal('edge-1', 'SIGCONT');
  const { status } = await cancelled;
  const boundAt = recorder.now + CANCEL_BOUND_MS;
  if (status !== 200 && status !== 410) throw new Error(`the cancelling was answered ${status}`);
  await sleep(CANCEL_BOUND_MS + STOP_BOUND_MS);
  if (recorder.countRunning(job.id) > 0) {
    running += 1;
    recorder.note(`job ${job.id} has a task at work`);
  }
  await submitted;
  for (const { task, at } of recorder.listStarts(job.id)) {
    if (at <= boundAt) continue;
    started += 1;
    recorder.note(`UNASKED task ${task} began ${(at - boundAt).toFixed(0)} ms after the bound`);
  }
  // Longer than `contact_ms`, so that each round begins calm.
  await sleep(4_000);
}
