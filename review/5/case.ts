/**
 * The capacity of a runner shrinks while the platform's store is down, and stays so. Seconds after the store is back, the
 * process of the executor beside it is stopped with SIGTERM and started again, as planned work does.
 */
import { randomBytes } from 'node:crypto';
import { setTimeout as sleep } from 'node:timers/promises';

import { Caller } from '../lib-2/Caller.js';
import { Deployment } from '../lib-2/Deployment.js';
import { runCase } from '../lib-2/runCase.js';

const CPU = 16_000;
const SMALL_CPU = 4_800;
const TASK_CPU = 1_600;
/** Bounds `contact_ms` and `heartbeat_ms` of the settings, ms: a room that has shrunk counts that much later. */
const SHRINK_COUNTS_AFTER_MS = 3_000 + 1_500;
/** A kind of job of the sheet, at all dispatchers together. */
const JOB = { tasks: 8, workMs: 286, clients: 48, jobsPerS: 20 };
const DEADLINE_MS = 1_500;
const STORE_DOWN_MS = 4_500;
const SHRINK_AFTER_MS = 300;
const CALM_MS = 5_000;
const RESTART_AFTER_MS = 500;
const ROUNDS = 4;

await runCase(({ recorder, hasTrouble }) => {
  /** Since when the smaller capacity of each machine counts, ms of the record. */
  const smallSince = new Map<string, number>();
  let breaks = 0;
  const deployment = new Deployment(
    { dispatchers: 3, runners: Array.from({ length: 7 }, () => ['a', 'r1-0']), cpu: CPU },
    recorder,
    {
      start: ({ task, run, machine, atWork }) => {
        const since = smallSince.get(machine);
        const limit = since !== undefined && recorder.now >= since ? SMALL_CPU : CPU;
        const isBeyond = atWork * TASK_CPU > limit;
        recorder.write(isBeyond ? 'START-BEYOND-CAPACITY' : 'start', { task, run, machine, atWork, limit });
        if (isBeyond) breaks += 1;
      },
      end: (task, run, runner, how) => recorder.write('end', { task, run, runner, how }),
      note: (event, fields) => recorder.write(event, fields),
    },
  );

  let isSending = true;
  const sendJobs = async (caller: Caller): Promise<void> => {
    const step = { count: JOB.tasks, cpu: TASK_CPU, mem_mb: 64, estimate_ms: JOB.workMs };
    while (isSending) {
      await sleep((JOB.clients / JOB.jobsPerS) * 1_000 * (0.5 + Math.random()));
      const id = randomBytes(8).toString('hex');
      recorder.write('submit', { id });
      const { status, body } = await caller.submit(id, JOB.workMs, [step], DEADLINE_MS);
      recorder.write('answer', { id, status, body });
    }
  };

  /** One shrinking runner, and a restart of the process beside it. */
  const shrinkOnce = async (round: number): Promise<void> => {
    const machine = `side-${round + 1}`;
    if (hasTrouble) deployment.store.fault = 'busy';
    recorder.write('store', { fault: deployment.store.fault });
    await sleep(SHRINK_AFTER_MS);
    deployment.runners[round]?.setCapacity(SMALL_CPU);
    smallSince.set(machine, recorder.now + SHRINK_COUNTS_AFTER_MS);
    await sleep(STORE_DOWN_MS - SHRINK_AFTER_MS);
    deployment.store.fault = 'none';
    recorder.write('store', { fault: 'none' });
    await sleep(CALM_MS);
    deployment.signal(machine, 'SIGTERM');
    await deployment.waitForEnd(machine);
    await sleep(RESTART_AFTER_MS);
    await deployment.startProcess(machine);
    await sleep(4_000);
  };

  const run = async (): Promise<number> => {
    const callers = Array.from({ length: JOB.clients }, (_, at) => {
      return new Caller(deployment.findFront(`edge-${(at % 3) + 1}`));
    });
    const sending = callers.map((caller) => sendJobs(caller));
    await sleep(5_000);
    for (let round = 0; round < ROUNDS; round += 1) await shrinkOnce(round);
    isSending = false;
    await Promise.all(sending);
    for (const caller of callers) caller.close();
    recorder.write('summary', { startsBeyondCapacity: breaks });
    return breaks;
  };
  return { deployment, run };
});
