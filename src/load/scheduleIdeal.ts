import TinyQueue from 'tinyqueue';

import type { PlannedJob } from './createPlan.js';

/** Best finishing times of a run, ms after each job's arrival, in the order of the jobs. */
export interface IdealTimes {
  /** The job alone on all slots. */
  readonly alone: readonly number[];
  /** A list schedule of the whole run that knows every duration. */
  readonly clairvoyant: readonly number[];
}

/** Computes the order in which a schedule serves waiting jobs; lower first. */
export type IdealRank = (job: PlannedJob, workMs: number) => number;

/** The product's own order with true durations: priority, then least work. */
export const rankByPriority: IdealRank = (job, workMs) => job.priority * 1e9 + workMs;

/** Least work first, without priorities: near the least mean response that any order can reach. */
export const rankByWork: IdealRank = (_job, workMs) => workMs;

interface FreeSlot {
  readonly at: number;
}

interface WaitingJob {
  readonly index: number;
  readonly rank: number;
  /** Works not started, shortest first, so that the longest is popped. */
  readonly works: number[];
}

/**
 * Computes the ideal of a run: no messages, no delays, every duration known. Free slots go to the waiting
 * job of the lowest rank, its longest task first.
 *
 * @param jobs - the plan, in order of arrival
 * @param slots - of all upstreams
 * @param rank - order of the waiting jobs
 * @returns the ideal response times
 */
export function scheduleIdeal(
  jobs: readonly PlannedJob[],
  slots: number,
  rank: IdealRank = rankByPriority,
): IdealTimes {
  const alone = jobs.map((job) => scheduleAlone(job.workMs, slots));
  return { alone, clairvoyant: scheduleAll(jobs, slots, rank) };
}

function scheduleAlone(workMs: readonly number[], slots: number): number {
  const free = new TinyQueue<number>(Array.from({ length: Math.min(slots, workMs.length) }, () => 0));
  let end = 0;
  for (const work of [...workMs].sort((left, right) => right - left)) {
    const finish = (free.pop() ?? 0) + work;
    end = Math.max(end, finish);
    free.push(finish);
  }
  return end;
}

function scheduleAll(jobs: readonly PlannedJob[], slots: number, rank: IdealRank): number[] {
  const free = new TinyQueue<FreeSlot>(
    Array.from({ length: slots }, () => ({ at: 0 })),
    (a, b) => a.at - b.at,
  );
  const waiting = new TinyQueue<WaitingJob>([], (left, right) => left.rank - right.rank);
  const finish = jobs.map(() => 0);
  let next = 0;
  const admit = (until: number): void => {
    for (let job = jobs[next]; job && job.atMs <= until; job = jobs[next]) {
      const works = [...job.workMs].sort((left, right) => left - right);
      waiting.push({
        index: next,
        rank: rank(
          job,
          works.reduce((sum, work) => sum + work, 0),
        ),
        works,
      });
      next += 1;
    }
  };
  while (next < jobs.length || waiting.length > 0) {
    const slot = free.pop() as FreeSlot;
    admit(slot.at);
    const head = waiting.peek();
    if (!head) {
      // Nothing waits: the slot is free again when the next job arrives.
      free.push({ at: Math.max(slot.at, (jobs[next] as PlannedJob).atMs) });
      continue;
    }
    const end = slot.at + (head.works.pop() as number);
    finish[head.index] = Math.max(finish[head.index] as number, end);
    if (head.works.length === 0) waiting.pop();
    free.push({ at: end });
  }
  return finish.map((end, index) => end - (jobs[index] as PlannedJob).atMs);
}
