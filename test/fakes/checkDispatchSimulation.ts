/** Invariants of the randomised simulation of dispatchers and executors. */
import type { JobOutcome } from '../../src/request/dispatch/submission.js';
import type { AcknowledgedPings } from './AcknowledgedPings.js';
import { STEP } from './dispatchFixtures.js';
import type { SimExecutor, SimDispatcher, SimJob, SimUpstream } from './dispatchSimulationState.js';

/** Interval between checks, ms. */
export const SIMULATION_STEP_MS = 5;
/** Delay before a caller submits a job again at another dispatcher, ms. */
export const RESUBMIT_MS = 1_300;
/** Time after the newest acknowledged ping of a dispatcher by which its runs are over, ms. */
const ORPHAN_MS = 1_244;
/** Initial capacity of each upstream, in tasks. */
export const CAPACITY_TASKS = 4;
/** Initial capacity of each upstream. */
export const CAPACITY = {
  cpuMilli: CAPACITY_TASKS * STEP.resources.cpuMilli,
  memoryMb: 1_000,
  gpus: 0,
};

/** Checks that no task runs twice, beyond capacity, or longer than the resubmit delay after its callers left. */
export function checkRuns(executors: readonly SimExecutor[], jobs: readonly SimJob[], now: number): void {
  const running = new Set<string>();
  for (const { upstream } of executors) {
    const { fake } = upstream;
    fake.applyTime();
    if (fake.doubled > 0) throw new Error('a task was started while another run of it was active');
    // Capacity may shrink below the running tasks, so only new starts are checked.
    const hasBegun = fake.starts > upstream.checkedStarts;
    upstream.checkedStarts = fake.starts;
    if (hasBegun && fake.running.size > findCapacityTasks(upstream, now))
      throw new Error('a task was started beyond the capacity');
    for (const [key, { name }] of fake.running) {
      const job = jobs.find(({ id }) => id === name.job);
      if (!job) throw new Error(`${name.job} was never submitted`);
      job.started = true;
      if (now < upstream.uncertainUntil) continue;
      if (running.has(key)) throw new Error(`${key} runs twice at the same time`);
      running.add(key);
      const waits = job.callers.some(({ leftAt }) => leftAt === undefined || now < leftAt + RESUBMIT_MS);
      if (!waits) throw new Error(`${key} runs though its callers left long ago`);
    }
  }
}

/**
 * Checks that each run whose caller is gone is over before that caller comes again, and if its dispatcher was killed, before
 * other dispatchers may start its task.
 */
export function checkOrphans(
  executors: readonly SimExecutor[],
  jobs: readonly SimJob[],
  pings: AcknowledgedPings,
  now: number,
): void {
  for (const { upstream, index } of executors) {
    for (const [key, { name, spec }] of upstream.fake.running) {
      const one = jobs.find(({ id }) => id === name.job)?.callers[Number(spec)];
      if (!one) throw new Error(`${key} runs for an unknown caller`);
      const { goneAt, entryLife } = one;
      if (goneAt === undefined) continue;
      if (now >= goneAt + RESUBMIT_MS)
        throw new Error(`${key} runs ${now - goneAt} ms after its caller was gone`);
      const pingAt = pings.findNewest(entryLife, index, goneAt);
      if (pingAt !== undefined && now > pingAt + ORPHAN_MS)
        throw new Error(`${key} runs ${now - pingAt} ms after the newest acknowledged ping of ${entryLife}`);
    }
  }
}

/** Checks that every process has the newest list of emptied failure domains. */
export function checkEmptiedRevision(
  processes: readonly Pick<SimDispatcher | SimExecutor, 'exchange'>[],
  revision: number,
): void {
  for (const { exchange } of processes) {
    if (exchange.versions.emptiedRevision !== revision)
      throw new Error('a process lacks the newest list of emptied domains');
  }
}

/** Checks that every waiting caller has one answer and that no refused job has run; returns the answers. */
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

/** Returns the capacity that starts of the last step may use: a start in flight may predate the newest report. */
function findCapacityTasks({ reportedTasks, reportedAt, previousTasks }: SimUpstream, now: number): number {
  return now - reportedAt < SIMULATION_STEP_MS ? Math.max(reportedTasks, previousTasks) : reportedTasks;
}
