/** Summarises a run of `ScarceCapacityModel` from the view of its callers. */
import { evaluateJob } from './ScarceCapacityModel.js';
import type { ScarceCapacityJob } from './ScarceCapacityModel.js';

/** Worth of a late answer relative to one in time. */
const LATE_WORTH = 0.2;
/** Share of a job's worth that does not depend on its work. */
const FIXED_WORTH = 0.3;
const MAX_WORTH = 4;
/** Time within which a refusal counts as immediate, ms. */
const IMMEDIATE_MS = 20;

/** Summary of some jobs; values are shares from 0 to 1. */
export interface ServiceSummary {
  readonly queues: Readonly<Record<string, number>>;
  /** Earned share of the worth: mean of the queues, worst queue and worst size class. */
  readonly total: number;
  readonly worstQueue: number;
  readonly worstSize: number;
  /** Weighted worth: 0.4 of the total and 0.3 of the worst queue or size class, divided by 0.7. */
  readonly worth: number;
  /** Lowest ratio of a size class's answered jobs to those of its queue. */
  readonly leastShare: number;
  /** In-time share of each queue's largest tenth of jobs, and of the fifth below it, over all queues. */
  readonly tenth: number;
  readonly fifth: number;
  readonly refusedAtOnce: number;
  readonly refusedLater: number;
  readonly late: number;
  readonly useless: number;
  readonly interrupted: number;
}

/** Summarises the jobs of a run. */
export function countService(jobs: readonly ScarceCapacityJob[]): ServiceSummary {
  const byQueue = new Map<string, ScarceCapacityJob[]>();
  for (const job of jobs) byQueue.set(job.queue, [...(byQueue.get(job.queue) ?? []), job]);
  const queues: Record<string, number> = {};
  const earned: number[] = [];
  const sizes: number[] = [];
  const tenths: ScarceCapacityJob[] = [];
  const fifths: ScarceCapacityJob[] = [];
  let leastShare = 1;
  for (const [queue, own] of byQueue) {
    const bySize = [...own].sort((left, right) => right.work - left.work);
    const tenth = bySize.slice(0, Math.ceil(own.length / 10));
    const fifth = bySize.slice(tenth.length, tenth.length + Math.ceil(own.length / 5));
    tenths.push(...tenth);
    fifths.push(...fifth);
    queues[queue] = computeWorth(own);
    earned.push(queues[queue]);
    sizes.push(computeWorth(tenth, own), computeWorth(fifth, own));
    for (const part of [tenth, fifth])
      leastShare = Math.min(leastShare, computeAnsweredShare(part) / computeAnsweredShare(own));
  }
  const total = earned.reduce((sum, worth) => sum + worth, 0) / earned.length;
  const [worstQueue, worstSize] = [Math.min(...earned), Math.min(...sizes)];
  const countShare = (isOne: (job: ScarceCapacityJob) => boolean): number =>
    jobs.filter(isOne).length / jobs.length;
  const isSoon = ({ answeredAt, arrivedAt }: ScarceCapacityJob): boolean =>
    answeredAt - arrivedAt <= IMMEDIATE_MS;
  return {
    queues,
    total,
    worstQueue,
    worstSize,
    worth: (0.4 * total + 0.3 * Math.min(worstQueue, worstSize)) / 0.7,
    leastShare,
    tenth: tenths.filter((job) => evaluateJob(job) === 'in-time').length / tenths.length,
    fifth: fifths.filter((job) => evaluateJob(job) === 'in-time').length / fifths.length,
    refusedAtOnce: countShare((job) => evaluateJob(job) === 'refused' && isSoon(job)),
    refusedLater: countShare((job) => evaluateJob(job) === 'refused' && !isSoon(job)),
    late: countShare((job) => evaluateJob(job) === 'late'),
    useless: countShare((job) => evaluateJob(job) === 'useless'),
    interrupted: countShare((job) => evaluateJob(job) === 'interrupted'),
  };
}

/** Computes the earned share of the worth; a job's worth rises with its work relative to its queue's mean. */
function computeWorth(jobs: readonly ScarceCapacityJob[], queue = jobs): number {
  const meanWork = queue.reduce((sum, { work }) => sum + work, 0) / queue.length;
  let owed = 0;
  let earned = 0;
  for (const job of jobs) {
    const worth = Math.min(MAX_WORTH, FIXED_WORTH + ((1 - FIXED_WORTH) * job.work) / meanWork);
    const verdict = evaluateJob(job);
    owed += worth;
    if (verdict === 'in-time') earned += worth;
    if (verdict === 'late') earned += worth * LATE_WORTH;
  }
  return earned / owed;
}

function computeAnsweredShare(jobs: readonly ScarceCapacityJob[]): number {
  const answered = jobs.filter((job) => ['in-time', 'late'].includes(evaluateJob(job)));
  return answered.length / jobs.length;
}
