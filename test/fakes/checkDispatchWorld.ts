/** Checks of the promises in the randomised runs of dispatchers and agents. */
import type { JobOutcome } from '../../src/request/dispatch/submission.js';
import { STEP } from './dispatchFixtures.js';
import type { WorldAgent, WorldEntry, WorldJob } from './dispatchWorldState.js';

/** Time that callers keep before they submit a job again elsewhere, ms. */
export const RESUBMIT_MS = 1_300;
/** Room of each upstream. */
export const CAPACITY = { cpuMilli: 4_000, memoryMb: 1_000, gpus: 0 };

/** No task at work twice, nothing beyond room, nothing of a caller that left so long ago. */
export function checkRuns(agents: readonly WorldAgent[], jobs: readonly WorldJob[], now: number): void {
  const atWork = new Set<string>();
  for (const { upstream } of agents) {
    const { fake } = upstream;
    fake.applyTime();
    if (fake.doubled > 0) throw new Error('a run began beside another of its task');
    if (fake.running.size * STEP.resources.cpuMilli > CAPACITY.cpuMilli) throw new Error('beyond the room');
    if (now < upstream.doubtfulUntil) continue;
    for (const [key, { name }] of fake.running) {
      if (atWork.has(key)) throw new Error(`${key} runs twice at once`);
      atWork.add(key);
      const job = jobs.find(({ id }) => id === name.job);
      if (!job) throw new Error(`${name.job} was never submitted`);
      job.started = true;
      const waits = job.callers.some(({ leftAt }) => leftAt === undefined || now < leftAt + RESUBMIT_MS);
      if (!waits) throw new Error(`${key} runs though its callers left long ago`);
    }
  }
}

/** Every process has learnt what the operators wrote last of the failure domains. */
export function checkKnowledge(
  processes: readonly Pick<WorldEntry | WorldAgent, 'exchange'>[],
  revision: number,
): void {
  for (const { exchange } of processes) {
    if (exchange.versions.emptiedRevision !== revision)
      throw new Error('a process does not know which domains are emptied');
  }
}

/** Every caller that waited has one answer, and nothing has run of a job that was refused; returns the answers. */
export function checkAnswers(job: WorldJob): readonly JobOutcome[] {
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
