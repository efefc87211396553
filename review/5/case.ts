/**
 * A dispatcher is cut off from the other machines. Meanwhile a runner crashes and comes back as one of another kind. All
 * jobs ask for a runner of the first kind.
 */
import { randomBytes } from 'node:crypto';
import { setTimeout as sleep } from 'node:timers/promises';

import { Caller } from '../lib-2/Caller.js';
import { Deployment } from '../lib-2/Deployment.js';
import type { RunnerStart } from '../lib-2/Runner.js';
import { runCase } from '../lib-2/runCase.js';

const REQUIRED = 'a';
const OTHER = 'b';
/** Runners: six of the required kind, one of the other. */
const KINDS = [REQUIRED, REQUIRED, REQUIRED, REQUIRED, REQUIRED, REQUIRED, OTHER];
const CPU = 16_000;
/** Two kinds of jobs of the sheet, and the rate of each at the dispatcher. */
const SHORT = { tasks: 8, workMs: 86, clients: 30, jobsPerS: 16 };
const LONG = { tasks: 2, workMs: 286, clients: 66, jobsPerS: 24 };
type JobKind = typeof SHORT | typeof LONG;
const DEADLINE_MS = 1_500;
const CUT_MS = 10_300;
const CRASH_AFTER_MS = 2_000;
const DOWN_MS = 4_000;
const CALM_MS = 6_000;
const ROUNDS = 3;
const CUT_MACHINE = 'edge-1';

await runCase(({ recorder, hasTrouble }) => {
  const wrong: RunnerStart[] = [];
  const sent = new Set<string>();
  const deployment = new Deployment(
    { dispatchers: 3, runners: KINDS.map((kind, at) => [kind, `r1-${Math.floor(at / 3)}`]), cpu: CPU },
    recorder,
    {
      start: (start) => {
        const { task, run, runner, machine, labels } = start;
        const isWrong = sent.has(start.job) && !labels.includes(REQUIRED);
        recorder.write(isWrong ? 'START-WITHOUT-LABEL' : 'start', { task, run, runner, machine, labels });
        if (isWrong) wrong.push(start);
      },
      end: (task, run, runner, how) => recorder.write('end', { task, run, runner, how }),
      note: (event, fields) => recorder.write(event, fields),
    },
  );

  let isSending = true;
  let jobs = 0;
  const sendJobs = async (caller: Caller, { tasks, workMs, clients, jobsPerS }: JobKind): Promise<void> => {
    const step = { count: tasks, cpu: 1_600, mem_mb: 64, estimate_ms: workMs, requirements: REQUIRED };
    while (isSending) {
      await sleep((clients / jobsPerS) * 1_000 * (0.5 + Math.random()));
      jobs += 1;
      const id = randomBytes(8).toString('hex');
      sent.add(id);
      recorder.write('submit', { id, machine: CUT_MACHINE, requirements: REQUIRED });
      const { status, body } = await caller.submit(id, workMs, [step], DEADLINE_MS);
      recorder.write('answer', { id, status, body });
    }
  };

  /** One cut; during it the runner of a machine crashes and comes back as one of another kind. */
  const cutOnce = async (round: number): Promise<void> => {
    recorder.write('cut', { machine: CUT_MACHINE });
    if (hasTrouble) deployment.network.cut(CUT_MACHINE);
    await sleep(CRASH_AFTER_MS);
    const runner = deployment.runners[round];
    if (hasTrouble) await runner?.crash();
    await sleep(DOWN_MS);
    if (hasTrouble) await runner?.start({ id: `i-${round + 1}1`, labels: [OTHER, 'r1-0'], cpu: CPU });
    await sleep(CUT_MS - CRASH_AFTER_MS - DOWN_MS);
    if (hasTrouble) deployment.network.heal(CUT_MACHINE);
    recorder.write('healed', { machine: CUT_MACHINE });
    await sleep(CALM_MS);
  };

  const run = async (): Promise<number> => {
    const callers: Caller[] = [];
    const sending: Promise<void>[] = [];
    for (const kind of [SHORT, LONG]) {
      for (let client = 0; client < kind.clients; client += 1) {
        const caller = new Caller(deployment.findFront(CUT_MACHINE));
        await caller.countPending();
        callers.push(caller);
        sending.push(sendJobs(caller, kind));
      }
    }
    await sleep(4_000);
    for (let round = 0; round < ROUNDS; round += 1) await cutOnce(round);
    isSending = false;
    await Promise.all(sending);
    for (const caller of callers) caller.close();
    recorder.write('summary', { jobs, startsWithoutLabel: wrong.length });
    return wrong.length;
  };
  return { deployment, run };
});
