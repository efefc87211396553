/** Sums up the logs of many processes over time: where jobs were late or not served, and what their tasks waited for. */
import { build } from 'hdr-histogram-js';

import type { LogLine } from '../explain/explainJob.js';

/** The jobs of one queue that were answered within one window of time. */
export interface WindowReport {
  /** Start of the window after the first line, s. */
  readonly startS: number;
  readonly answered: number;
  /** Completed after the objective that the dispatcher worked with. */
  readonly late: number;
  readonly refused: number;
  readonly interrupted: number;
  readonly failed: number;
  /** Jobs of which a start came back as not run. */
  readonly withReturns: number;
  /** Time from arrival to the first placement, ms. */
  readonly firstWaitMs: WaitReport;
  /** Time from arrival to the last placement, ms. */
  readonly lastWaitMs: WaitReport;
}

/** Waits of the jobs that were placed at all, ms. */
export interface WaitReport {
  readonly median: number;
  readonly p90: number;
}

/** One queue. */
export interface QueueReport {
  readonly queue: string;
  readonly windows: readonly WindowReport[];
}

/** Attempts that did not end done, by end and reason. */
export interface AttemptReport {
  readonly end: string;
  readonly reason: string;
  readonly count: number;
}

/** What logs show of a span of time. */
export interface DayReport {
  readonly queues: readonly QueueReport[];
  readonly attempts: readonly AttemptReport[];
}

/** What is gathered of a job until its answer. */
interface JobTrace {
  firstWaitMs: number | undefined;
  lastWaitMs: number;
  hasReturns: boolean;
}

interface AnsweredJob {
  readonly line: LogLine;
  readonly trace: JobTrace;
}

const MS_PER_S = 1_000;

/**
 * Builds the report of a day, or of any other span that logs cover.
 *
 * @param lines - lines of any processes, in any order
 * @param windowS - length of a window, s
 * @returns the queues by name with their windows in order, and the attempts that did not end done, most first
 */
export function buildDayReport(lines: readonly LogLine[], windowS: number): DayReport {
  const sorted = [...lines].sort((left, right) => left.time - right.time);
  const startAt = sorted[0]?.time ?? 0;
  const traces = new Map<string, JobTrace>();
  const attempts = new Map<string, number>();
  const answers = new Map<string, Map<number, AnsweredJob[]>>();
  for (const line of sorted) {
    const trace = findTrace(traces, line);
    if (line.event === 'place') notePlacement(trace, line);
    if (line.event === 'attempt-over') noteAttempt(trace, attempts, line);
    if (line.event !== 'answer') continue;
    const window = Math.floor((line.time - startAt) / (windowS * MS_PER_S));
    const windows = findOrAdd(answers, String(line.fields['queue']), () => new Map());
    findOrAdd(windows, window, () => []).push({ line, trace });
  }
  const queues = [...answers].map(([queue, windows]) => ({
    queue,
    windows: [...windows].map(([window, jobs]) => buildWindow(window * windowS, jobs)),
  }));
  return { queues: queues.sort(compareQueues), attempts: listAttempts(attempts) };
}

/** A job belongs to one dispatcher; its id may come again at another. */
function findTrace(traces: Map<string, JobTrace>, { process, fields }: LogLine): JobTrace {
  return findOrAdd(traces, `${process} ${String(fields['job'])}`, () => {
    return { firstWaitMs: undefined, lastWaitMs: 0, hasReturns: false };
  });
}

function notePlacement(trace: JobTrace, { fields }: LogLine): void {
  const waitedMs = Number(fields['waitedMs']);
  trace.firstWaitMs ??= waitedMs;
  trace.lastWaitMs = Math.max(trace.lastWaitMs, waitedMs);
}

function noteAttempt(trace: JobTrace, attempts: Map<string, number>, { fields }: LogLine): void {
  const { end, reason } = fields;
  const key = `${String(end)} ${String(reason)}`;
  attempts.set(key, (attempts.get(key) ?? 0) + 1);
  if (end === 'not-run') trace.hasReturns = true;
}

function buildWindow(startS: number, jobs: readonly AnsweredJob[]): WindowReport {
  const countKind = (kind: string): number => jobs.filter(({ line }) => line.fields['kind'] === kind).length;
  const placed = jobs.map(({ trace }) => trace).filter(({ firstWaitMs }) => firstWaitMs !== undefined);
  return {
    startS,
    answered: jobs.length,
    late: jobs.filter(({ line }) => isLate(line)).length,
    refused: countKind('refused'),
    interrupted: countKind('interrupted'),
    failed: countKind('failed'),
    withReturns: jobs.filter(({ trace }) => trace.hasReturns).length,
    firstWaitMs: buildWait(placed.map(({ firstWaitMs }) => firstWaitMs ?? 0)),
    lastWaitMs: buildWait(placed.map(({ lastWaitMs }) => lastWaitMs)),
  };
}

function isLate({ fields }: LogLine): boolean {
  return fields['kind'] === 'completed' && Number(fields['tookMs']) > Number(fields['objectiveMs']);
}

function buildWait(values: readonly number[]): WaitReport {
  const histogram = build();
  for (const value of values) histogram.recordValue(Math.max(0, Math.round(value)));
  return { median: histogram.getValueAtPercentile(50), p90: histogram.getValueAtPercentile(90) };
}

function listAttempts(attempts: ReadonlyMap<string, number>): AttemptReport[] {
  const rows = [...attempts].map(([key, count]) => {
    const [end = '', reason = ''] = key.split(' ');
    return { end, reason, count };
  });
  return rows.sort((left, right) => right.count - left.count);
}

function compareQueues(left: QueueReport, right: QueueReport): number {
  return left.queue < right.queue ? -1 : 1;
}

function findOrAdd<Key, Value>(map: Map<Key, Value>, key: Key, create: () => Value): Value {
  const known = map.get(key);
  if (known !== undefined) return known;
  const value = create();
  map.set(key, value);
  return value;
}
