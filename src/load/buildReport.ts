import { build } from 'hdr-histogram-js';

import type { PlannedJob } from './createPlan.js';
import type { JobOutcome } from './runPlan.js';
import type { IdealTimes } from './scheduleIdeal.js';

/** A distribution, in ms or as a ratio. */
export interface Distribution {
  readonly count: number;
  readonly mean: number;
  readonly p50: number;
  readonly p99: number;
  readonly worst: number;
}

/** Counters of the processes over a run. */
export interface ProcessCounts {
  /** Messages by type, both directions. */
  readonly messages: Readonly<Record<string, number>>;
  readonly entryCpuMs: number;
  readonly agentCpuMs: number;
  readonly maxRssBytes: number;
}

/** Report of one run. */
export interface LoadReport {
  readonly policy: string;
  readonly jobs: number;
  readonly tasks: number;
  readonly outcomes: Readonly<Record<string, number>>;
  readonly reasons: Readonly<Record<string, number>>;
  readonly inDeadline: number;
  readonly responseMs: Distribution;
  /** Mean response over the mean of the clairvoyant schedule with priorities, of complete jobs. */
  readonly overClairvoyant: number;
  /** The same over the schedule by least work without priorities. */
  readonly overLeastWork: number;
  /** Response over the job's own ideal in the clairvoyant schedule. */
  readonly ratio: Distribution;
  readonly byPriority: Readonly<
    Record<
      string,
      { readonly responseMs: Distribution; readonly overClairvoyant: number; readonly p99OverIdeal: number }
    >
  >;
  readonly refusalMs: Distribution;
  /** Share of slot time in use from the start until the last task was started, so while work waited. */
  readonly slotUse: number;
  /** True work of jobs answered in their deadline over what the slots can do from the start to the last task's end. */
  readonly goodput: number;
  readonly messagesPerTask: number;
  readonly wastedPerAnsweredTask: number;
  readonly messages: Readonly<Record<string, number>>;
  readonly doubleStarts: number;
}

/** Message types that carry a task out and its answer back. */
const USEFUL_TYPES: ReadonlySet<string> = new Set(['start', 'result']);
/** Ratios are kept with this resolution in the histogram. */
const RATIO_SCALE = 1_000;

/** What a report is built from. */
export interface ReportInput {
  readonly policy: string;
  readonly jobs: readonly PlannedJob[];
  readonly outcomes: readonly JobOutcome[];
  readonly ideal: IdealTimes;
  readonly leastWork: IdealTimes;
  readonly counts: ProcessCounts;
  readonly slots: number;
  readonly starts: ReadonlyMap<string, number>;
  /** Begin and end of every use of a slot, ms since the epoch. */
  readonly intervals: readonly (readonly [number, number])[];
  /** Start of the event, ms since the epoch. */
  readonly startAt: number;
}

/**
 * Builds the report of a run.
 *
 * @param input - plan, outcomes, ideals and counters
 * @returns the report
 */
export function buildReport(input: ReportInput): LoadReport {
  const { jobs, outcomes, ideal, leastWork, counts } = input;
  const complete = jobs.map((_, index) => index).filter((index) => outcomes[index]?.outcome === 'complete');
  const response = (index: number): number => (outcomes[index] as JobOutcome).responseMs;
  const answeredTasks = complete.reduce((sum, index) => sum + (jobs[index] as PlannedJob).workMs.length, 0);
  const sent = Object.values(counts.messages).reduce((sum, count) => sum + count, 0);
  const useful = [...USEFUL_TYPES].reduce((sum, type) => sum + (counts.messages[type] ?? 0), 0);
  const refused = outcomes.filter(({ outcome }) => outcome === 'refused');
  const inTime = complete.filter((index) => response(index) <= (jobs[index] as PlannedJob).deadlineMs);
  return {
    policy: input.policy,
    jobs: jobs.length,
    tasks: jobs.reduce((sum, job) => sum + job.workMs.length, 0),
    outcomes: countBy(outcomes.map(({ outcome }) => outcome)),
    reasons: countBy(outcomes.filter(({ reason }) => reason !== '').map(({ reason }) => reason)),
    inDeadline: inTime.length / jobs.length,
    responseMs: describe(complete.map(response)),
    overClairvoyant: divideMeans(complete, response, ideal.clairvoyant),
    overLeastWork: divideMeans(complete, response, leastWork.clairvoyant),
    ratio: describe(
      complete.map((index) => response(index) / Math.max(1, ideal.clairvoyant[index] as number)),
    ),
    byPriority: describePriorities(jobs, complete, response, ideal),
    refusalMs: describe(refused.map(({ responseMs }) => responseMs)),
    slotUse: findSlotUse(input),
    goodput: findGoodput(input, inTime),
    messagesPerTask: sent / Math.max(1, answeredTasks),
    wastedPerAnsweredTask: countWasted(input, useful, answeredTasks) / Math.max(1, answeredTasks),
    messages: counts.messages,
    doubleStarts: [...input.starts.values()].filter((count) => count > 1).length,
  };
}

/**
 * Counts traffic that led to no answer: starts and results beyond one of each for an answered task, claims
 * and lookups of jobs that were not answered, cancellations, sweeps and attachments. Credits, demands,
 * acknowledgements and heartbeats are counted in the messages of a task, not here.
 */
function countWasted(input: ReportInput, useful: number, answeredTasks: number): number {
  const { messages } = input.counts;
  const answeredJobs = input.outcomes.filter(({ outcome }) => outcome === 'complete').length;
  const claims = (messages['claim'] ?? 0) + (messages['claimed'] ?? 0) - 2 * answeredJobs;
  const others = ['cancel', 'sweep', 'swept', 'attach', 'attached'];
  const extra = others.reduce((sum, type) => sum + (messages[type] ?? 0), 0);
  return Math.max(0, useful - 2 * answeredTasks) + Math.max(0, claims) + extra;
}

function findGoodput({ intervals, startAt, slots, jobs }: ReportInput, inTime: readonly number[]): number {
  const lastEnd = intervals.reduce((latest, [, end]) => Math.max(latest, end), startAt + 1);
  const done = inTime.reduce((sum, index) => sum + sumWork(jobs[index] as PlannedJob), 0);
  return done / (slots * (lastEnd - startAt));
}

function findSlotUse({ intervals, startAt, slots }: ReportInput): number {
  const own = intervals.filter(([begin]) => begin >= startAt);
  const lastStart = own.reduce((latest, [begin]) => Math.max(latest, begin), startAt);
  const busy = own.reduce((sum, [begin, end]) => sum + Math.max(0, Math.min(end, lastStart) - begin), 0);
  return busy / (slots * Math.max(1, lastStart - startAt));
}

function describePriorities(
  jobs: readonly PlannedJob[],
  complete: readonly number[],
  response: (index: number) => number,
  ideal: IdealTimes,
): LoadReport['byPriority'] {
  const priorities = [...new Set(jobs.map((job) => job.priority))].sort();
  return Object.fromEntries(
    priorities.map((priority) => {
      const own = complete.filter((index) => jobs[index]?.priority === priority);
      const responseMs = describe(own.map(response));
      const idealMs = describe(own.map((index) => ideal.clairvoyant[index] as number));
      const overClairvoyant = divideMeans(own, response, ideal.clairvoyant);
      return [
        String(priority),
        { responseMs, overClairvoyant, p99OverIdeal: responseMs.p99 / Math.max(1, idealMs.p99) },
      ];
    }),
  );
}

function divideMeans(
  indexes: readonly number[],
  response: (index: number) => number,
  ideal: readonly number[],
): number {
  const sum = indexes.reduce((total, index) => total + response(index), 0);
  const best = indexes.reduce((total, index) => total + (ideal[index] as number), 0);
  return sum / Math.max(1, best);
}

function sumWork(job: PlannedJob): number {
  return job.workMs.reduce((sum, work) => sum + work, 0);
}

/**
 * Counts equal values.
 *
 * @param values - what to count
 * @returns the count of each
 * @example
 * countBy(['a', 'b', 'a']); // { a: 2, b: 1 }
 */
export function countBy(values: readonly string[]): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const value of values) counts[value] = (counts[value] ?? 0) + 1;
  return counts;
}

/**
 * Describes a set of values by an HDR histogram of three digits.
 *
 * @param values - not negative
 * @returns mean, quantiles and the largest
 * @example
 * describe([1, 2, 3]).count; // 3
 */
export function describe(values: readonly number[]): Distribution {
  const histogram = build({ numberOfSignificantValueDigits: 3 });
  for (const value of values) histogram.recordValue(Math.max(0, Math.round(value * RATIO_SCALE)));
  const at = (percentile: number): number => histogram.getValueAtPercentile(percentile) / RATIO_SCALE;
  const mean = values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);
  return { count: values.length, mean, p50: at(50), p99: at(99), worst: histogram.maxValue / RATIO_SCALE };
}
