import TinyQueue from 'tinyqueue';

import type { PlannedJob } from './createPlan.js';

/** Ideal response times, ms after each job's arrival, in the order of the jobs. */
export interface IdealTimes {
  /** Each job alone on all slots. */
  readonly alone: readonly number[];
  /** List schedule of all jobs with known durations. */
  readonly clairvoyant: readonly number[];
}

/** Computes the rank of a waiting job; the lowest rank is served first. */
export type IdealRank = (job: PlannedJob, workMs: number) => number;

/** Ranks by priority, then by least work, as the default ordering does. */
export const rankByPriority: IdealRank = (job, workMs) => job.priority * 1e9 + workMs;

/** Ranks by least work regardless of priority, which is close to the minimum mean response time. */
export const rankByWork: IdealRank = (_job, workMs) => workMs;

interface FreeSlot {
  readonly freeAt: number;
}

interface WaitingJob {
  readonly index: number;
  readonly rank: number;
  /** Durations of the tasks not started, ascending, so that `pop` returns the longest. */
  readonly remainingMs: number[];
}

/**
 * Computes ideal response times, without communication delays and with known durations. A free slot is given
 * to the waiting job of the lowest rank, longest task first.
 *
 * @param jobs - the plan, in order of arrival
 * @param slots - number of slots of all upstreams
 * @param rank - rank of the waiting jobs
 * @returns the ideal response times
 */
export function scheduleIdeal(
  jobs: readonly PlannedJob[],
  slots: number,
  rank: IdealRank = rankByPriority,
): IdealTimes {
  const alone = jobs.map((job) => computeAloneMs(job.workMs, slots));
  return { alone, clairvoyant: computeClairvoyant(jobs, slots, rank) };
}

function computeAloneMs(workMs: readonly number[], slots: number): number {
  const free = new TinyQueue<number>(Array.from({ length: Math.min(slots, workMs.length) }, () => 0));
  let end = 0;
  for (const work of [...workMs].sort((left, right) => right - left)) {
    const finish = (free.pop() ?? 0) + work;
    end = Math.max(end, finish);
    free.push(finish);
  }
  return end;
}

function computeClairvoyant(jobs: readonly PlannedJob[], slots: number, rank: IdealRank): number[] {
  const free = new TinyQueue<FreeSlot>(
    Array.from({ length: slots }, () => ({ freeAt: 0 })),
    (a, b) => a.freeAt - b.freeAt,
  );
  const waiting = new TinyQueue<WaitingJob>([], (left, right) => left.rank - right.rank);
  const finish = jobs.map(() => 0);
  let next = 0;
  const admit = (until: number): void => {
    for (let job = jobs[next]; job && job.atMs <= until; job = jobs[next]) {
      const durationsMs = [...job.workMs].sort((left, right) => left - right);
      waiting.push({
        index: next,
        rank: rank(
          job,
          durationsMs.reduce((sum, work) => sum + work, 0),
        ),
        remainingMs: durationsMs,
      });
      next += 1;
    }
  };
  while (next < jobs.length || waiting.length > 0) {
    const slot = free.pop() as FreeSlot;
    admit(slot.freeAt);
    const head = waiting.peek();
    if (!head) {
      // The queue is empty, so the slot is idle until the next arrival.
      free.push({ freeAt: Math.max(slot.freeAt, (jobs[next] as PlannedJob).atMs) });
      continue;
    }
    const end = slot.freeAt + (head.remainingMs.pop() as number);
    finish[head.index] = Math.max(finish[head.index] as number, end);
    if (head.remainingMs.length === 0) waiting.pop();
    free.push({ freeAt: end });
  }
  return finish.map((end, index) => end - (jobs[index] as PlannedJob).atMs);
}
