import { build } from 'hdr-histogram-js';

import type { PlannedJob } from './createPlan.js';
import type { JobOutcome } from './runPlan.js';
import type { IdealTimes } from './scheduleIdeal.js';

/** Summary of a distribution of ms or of ratios. */
export interface Distribution {
  readonly count: number;
  readonly mean: number;
  readonly p50: number;
  readonly p99: number;
  readonly worst: number;
}

/** Counters of the processes over a run. */
export interface ProcessCounts {
  /** Messages by type, in both directions. */
  readonly messages: Readonly<Record<string, number>>;
  readonly entryCpuMs: number;
  readonly agentCpuMs: number;
  readonly maxRssBytes: number;
}

/** Report of one load run. */
export interface LoadReport {
  readonly policy: string;
  readonly jobs: number;
  readonly tasks: number;
  readonly outcomes: Readonly<Record<string, number>>;
  readonly reasons: Readonly<Record<string, number>>;
  /** Share of the jobs that were complete before their deadline. */
  readonly inDeadline: number;
  readonly responseMs: Distribution;
  /** Mean response time of complete jobs, relative to that in the clairvoyant schedule with priorities. */
  readonly overClairvoyant: number;
  /** The same relative to the schedule by least work without priorities. */
  readonly overLeastWork: number;
  /** Response time of each complete job, relative to its own in the clairvoyant schedule. */
  readonly ratio: Distribution;
  readonly byPriority: Readonly<
    Record<
      string,
      { readonly responseMs: Distribution; readonly overClairvoyant: number; readonly p99OverIdeal: number }
    >
  >;
  readonly refusalMs: Distribution;
  /** Utilization of the slots from the event's start until the last task was started. */
  readonly slotUse: number;
  /** Work of the jobs answered before their deadline, relative to the slot time until the last task's end. */
  readonly goodput: number;
  readonly messagesPerTask: number;
  readonly wastedPerAnsweredTask: number;
  readonly messages: Readonly<Record<string, number>>;
  /** Number of tasks that were started more than once. */
  readonly doubleStarts: number;
}

/** Types of the messages that start a task and return its result. */
const TASK_MESSAGE_TYPES: ReadonlySet<string> = new Set(['start', 'result']);
/** Steps per unit in the histogram. */
const RATIO_SCALE = 1_000;

/** Input of a report. */
export interface ReportInput {
  readonly policy: string;
  readonly jobs: readonly PlannedJob[];
  readonly outcomes: readonly JobOutcome[];
  readonly ideal: IdealTimes;
  readonly leastWork: IdealTimes;
  readonly counts: ProcessCounts;
  readonly slots: number;
  /** Number of starts of each task. */
  readonly starts: ReadonlyMap<string, number>;
  /** Start and end of each time that a slot was busy, ms since the epoch. */
  readonly intervals: readonly (readonly [number, number])[];
  /** Start of the event, ms since the epoch. */
  readonly startAt: number;
}

/**
 * Builds the report of a run.
 *
 * @param input - plan, outcomes, ideal times and counters
 * @returns the report
 */
export function buildReport(input: ReportInput): LoadReport {
  const { jobs, outcomes, ideal, leastWork, counts } = input;
  const complete = jobs.map((_, index) => index).filter((index) => outcomes[index]?.outcome === 'complete');
  const response = (index: number): number => (outcomes[index] as JobOutcome).responseMs;
  const answeredTasks = complete.reduce((sum, index) => sum + (jobs[index] as PlannedJob).workMs.length, 0);
  const sent = Object.values(counts.messages).reduce((sum, count) => sum + count, 0);
  const useful = [...TASK_MESSAGE_TYPES].reduce((sum, type) => sum + (counts.messages[type] ?? 0), 0);
  const refused = outcomes.filter(({ outcome }) => outcome === 'refused');
  const inTime = complete.filter((index) => response(index) <= (jobs[index] as PlannedJob).deadlineMs);
  return {
    policy: input.policy,
    jobs: jobs.length,
    tasks: jobs.reduce((sum, job) => sum + job.workMs.length, 0),
    outcomes: countBy(outcomes.map(({ outcome }) => outcome)),
    reasons: countBy(outcomes.filter(({ reason }) => reason !== '').map(({ reason }) => reason)),
    inDeadline: inTime.length / jobs.length,
    responseMs: buildDistribution(complete.map(response)),
    overClairvoyant: computeMeanRatio(complete, response, ideal.clairvoyant),
    overLeastWork: computeMeanRatio(complete, response, leastWork.clairvoyant),
    ratio: buildDistribution(
      complete.map((index) => response(index) / Math.max(1, ideal.clairvoyant[index] as number)),
    ),
    byPriority: buildPriorityReports(jobs, complete, response, ideal),
    refusalMs: buildDistribution(refused.map(({ responseMs }) => responseMs)),
    slotUse: computeSlotUse(input),
    goodput: computeGoodput(input, inTime),
    messagesPerTask: sent / Math.max(1, answeredTasks),
    wastedPerAnsweredTask: countWasted(input, useful, answeredTasks) / Math.max(1, answeredTasks),
    messages: counts.messages,
    doubleStarts: [...input.starts.values()].filter((count) => count > 1).length,
  };
}

/**
 * Counts messages that did not contribute to an answer: starts and results beyond one of each per answered
 * task, claims of unanswered jobs, cancellations, sweeps and attachments. Credits, demands, acknowledgements
 * and heartbeats are not included.
 */
function countWasted(input: ReportInput, useful: number, answeredTasks: number): number {
  const { messages } = input.counts;
  const answeredJobs = input.outcomes.filter(({ outcome }) => outcome === 'complete').length;
  const claims = (messages['claim'] ?? 0) + (messages['claimed'] ?? 0) - 2 * answeredJobs;
  const others = ['cancel', 'sweep', 'swept', 'attach', 'attached'];
  const extra = others.reduce((sum, type) => sum + (messages[type] ?? 0), 0);
  return Math.max(0, useful - 2 * answeredTasks) + Math.max(0, claims) + extra;
}

function computeGoodput({ intervals, startAt, slots, jobs }: ReportInput, inTime: readonly number[]): number {
  const lastEnd = intervals.reduce((latest, [, end]) => Math.max(latest, end), startAt + 1);
  const done = inTime.reduce((sum, index) => sum + sumWork(jobs[index] as PlannedJob), 0);
  return done / (slots * (lastEnd - startAt));
}

function computeSlotUse({ intervals, startAt, slots }: ReportInput): number {
  const own = intervals.filter(([begin]) => begin >= startAt);
  const lastStart = own.reduce((latest, [begin]) => Math.max(latest, begin), startAt);
  const busy = own.reduce((sum, [begin, end]) => sum + Math.max(0, Math.min(end, lastStart) - begin), 0);
  return busy / (slots * Math.max(1, lastStart - startAt));
}

function buildPriorityReports(
  jobs: readonly PlannedJob[],
  complete: readonly number[],
  response: (index: number) => number,
  ideal: IdealTimes,
): LoadReport['byPriority'] {
  const priorities = [...new Set(jobs.map((job) => job.priority))].sort();
  return Object.fromEntries(
    priorities.map((priority) => {
      const own = complete.filter((index) => jobs[index]?.priority === priority);
      const responseMs = buildDistribution(own.map(response));
      const idealMs = buildDistribution(own.map((index) => ideal.clairvoyant[index] as number));
      const overClairvoyant = computeMeanRatio(own, response, ideal.clairvoyant);
      return [
        String(priority),
        { responseMs, overClairvoyant, p99OverIdeal: responseMs.p99 / Math.max(1, idealMs.p99) },
      ];
    }),
  );
}

function computeMeanRatio(
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
 * Counts the occurrences of each value.
 *
 * @param values - the values to count
 * @returns the number of occurrences by value
 * @example
 * countBy(['a', 'b', 'a']); // { a: 2, b: 1 }
 */
export function countBy(values: readonly string[]): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const value of values) counts[value] = (counts[value] ?? 0) + 1;
  return counts;
}

/**
 * Summarizes values with an HDR histogram of three significant digits.
 *
 * @param values - non-negative numbers
 * @returns count, mean, quantiles and maximum
 * @example
 * buildDistribution([1, 2, 3]).count; // 3
 */
export function buildDistribution(values: readonly number[]): Distribution {
  const histogram = build({ numberOfSignificantValueDigits: 3 });
  for (const value of values) histogram.recordValue(Math.max(0, Math.round(value * RATIO_SCALE)));
  const findPercentile = (percentile: number): number =>
    histogram.getValueAtPercentile(percentile) / RATIO_SCALE;
  const mean = values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);
  return {
    count: values.length,
    mean,
    p50: findPercentile(50),
    p99: findPercentile(99),
    worst: histogram.maxValue / RATIO_SCALE,
  };
}
