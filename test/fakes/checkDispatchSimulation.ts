/** Checks of the promises in the randomised runs of dispatchers and agents. */
import type { JobOutcome } from '../../src/request/dispatch/submission.js';
import { STEP } from './dispatchFixtures.js';
import type { SimExecutor, SimDispatcher, SimJob, SimUpstream } from './dispatchSimulationState.js';

/** Step of a run, after each of which it is checked, ms. */
export const SIMULATION_STEP_MS = 5;
/** Time that callers keep before they submit a job again elsewhere, ms. */
export const RESUBMIT_MS = 1_300;
/** Tasks that each upstream has room for at first. */
export const CAPACITY_TASKS = 4;
/** Room of each upstream at first. */
export const CAPACITY = {
  cpuMilli: CAPACITY_TASKS * STEP.resources.cpuMilli,
  memoryMb: 1_000,
  gpus: 0,
};

/** No task at work twice, nothing beyond room, nothing of a caller that left so long ago. */
export function checkRuns(executors: readonly SimExecutor[], jobs: readonly SimJob[], now: number): void {
  const atWork = new Set<string>();
  for (const { upstream } of executors) {
    const { fake } = upstream;
    fake.applyTime();
    if (fake.doubled > 0) throw new Error('a run began beside another of its task');
    // Room may shrink below what runs: only a start can go beyond it.
    const hasBegun = fake.starts > upstream.checkedStarts;
    upstream.checkedStarts = fake.starts;
    if (hasBegun && fake.running.size > findCapacityTasks(upstream, now)) throw new Error('beyond the room');
    for (const [key, { name }] of fake.running) {
      const job = jobs.find(({ id }) => id === name.job);
      if (!job) throw new Error(`${name.job} was never submitted`);
      job.started = true;
      if (now < upstream.uncertainUntil) continue;
      if (atWork.has(key)) throw new Error(`${key} runs twice at once`);
      atWork.add(key);
      const waits = job.callers.some(({ leftAt }) => leftAt === undefined || now < leftAt + RESUBMIT_MS);
      if (!waits) throw new Error(`${key} runs though its callers left long ago`);
    }
  }
}

/** Every process has learnt what the operators wrote last of the failure domains. */
export function checkEmptiedRevision(
  processes: readonly Pick<SimDispatcher | SimExecutor, 'exchange'>[],
  revision: number,
): void {
  for (const { exchange } of processes) {
    if (exchange.versions.emptiedRevision !== revision)
      throw new Error('a process does not know which domains are emptied');
  }
}

/** Every caller that waited has one answer, and nothing has run of a job that was refused; returns the answers. */
export function checkAnswers(job: SimJob): readonly JobOutcome[] {
  const answers: JobOutcome[] = [];
  for (const { caller, leftAt } of job.callers) {
    if (caller.answers.length > 1) throw new Error(`${job.id} was answered twice`);
    if (caller.answers.length === 0 && leftAt === undefined) throw new Error(`${job.id} has no answer`);
    answers.push(...caller.answers);
  }
  const refusedOnly =
    answers.length === job.callers.length && answers.every(({ kind }) => kind === 'refused');
  if (refusedOnly && job.started) throw new Error(`${job.id} has run though every submission was refused`);
  return answers;
}

/** Room that starts of the last step could go by: one that was on its way when the word came could not know it. */
function findCapacityTasks({ reportedTasks, reportedAt, previousTasks }: SimUpstream, now: number): number {
  return now - reportedAt < SIMULATION_STEP_MS ? Math.max(reportedTasks, previousTasks) : reportedTasks;
}
