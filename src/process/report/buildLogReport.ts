/** Summarizes the logs of many processes over time: outcomes and waiting times of jobs, and failed attempts. */
import { build } from 'hdr-histogram-js';

import type { LogLine } from '../explain/explainJob.js';

/** The jobs of one queue that were answered within one time window. */
export interface WindowReport {
  /** Start of the window, s after the first log line. */
  readonly startS: number;
  readonly answered: number;
  /** Jobs completed later than their latency objective. */
  readonly late: number;
  readonly refused: number;
  readonly interrupted: number;
  readonly failed: number;
  /** Jobs with at least one start that was returned without being run. */
  readonly withReturns: number;
  /** Time from arrival to the first placement, ms. */
  readonly firstWaitMs: WaitReport;
  /** Time from arrival to the last placement, ms. */
  readonly lastWaitMs: WaitReport;
}

/** Waiting times of the jobs that were placed at least once, ms. */
export interface WaitReport {
  readonly median: number;
  readonly p90: number;
}

/** The windows of one queue, in chronological order. */
export interface QueueReport {
  readonly queue: string;
  readonly windows: readonly WindowReport[];
}

/** Number of attempts that did not complete, by end and reason. */
export interface AttemptReport {
  readonly end: string;
  readonly reason: string;
  readonly count: number;
}

/** Summary of the logs of one period. */
export interface LogReport {
  readonly queues: readonly QueueReport[];
  readonly attempts: readonly AttemptReport[];
}

/** State of a job, accumulated until its answer. */
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
 * Builds the report of the period that the log lines cover.
 *
 * @param lines - lines of any processes, in any order
 * @param windowS - length of a window, s
 * @returns the queues sorted by name, and the attempts that did not complete, most frequent first
 */
export function buildLogReport(lines: readonly LogLine[], windowS: number): LogReport {
  const sorted = [...lines].sort((left, right) => left.time - right.time);
  const startAt = sorted[0]?.time ?? 0;
  const traces = new Map<string, JobTrace>();
  const attempts = new Map<string, number>();
  const answers = new Map<string, Map<number, AnsweredJob[]>>();
  for (const line of sorted) {
    const trace = findOrCreateTrace(traces, line);
    if (line.event === 'place') recordPlacement(trace, line);
    if (line.event === 'attempt-over') recordAttempt(trace, attempts, line);
    if (line.event !== 'answer') continue;
    const window = Math.floor((line.time - startAt) / (windowS * MS_PER_S));
    const windows = findOrCreate(answers, String(line.fields['queue']), () => new Map());
    findOrCreate(windows, window, () => []).push({ line, trace });
  }
  const queues = [...answers].map(([queue, windows]) => ({
    queue,
    windows: [...windows].map(([window, jobs]) => buildWindowReport(window * windowS, jobs)),
  }));
  return { queues: queues.sort(compareQueues), attempts: listAttempts(attempts) };
}

/** Traces are per process, because a job may be submitted to another dispatcher under the same id. */
function findOrCreateTrace(traces: Map<string, JobTrace>, { process, fields }: LogLine): JobTrace {
  return findOrCreate(traces, `${process} ${String(fields['job'])}`, () => {
    return { firstWaitMs: undefined, lastWaitMs: 0, hasReturns: false };
  });
}

function recordPlacement(trace: JobTrace, { fields }: LogLine): void {
  const waitedMs = Number(fields['waitedMs']);
  trace.firstWaitMs ??= waitedMs;
  trace.lastWaitMs = Math.max(trace.lastWaitMs, waitedMs);
}

function recordAttempt(trace: JobTrace, attempts: Map<string, number>, { fields }: LogLine): void {
  const { end, reason } = fields;
  const key = `${String(end)} ${String(reason)}`;
  attempts.set(key, (attempts.get(key) ?? 0) + 1);
  if (end === 'not-run') trace.hasReturns = true;
}

function buildWindowReport(startS: number, jobs: readonly AnsweredJob[]): WindowReport {
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
    firstWaitMs: buildWaitReport(placed.map(({ firstWaitMs }) => firstWaitMs ?? 0)),
    lastWaitMs: buildWaitReport(placed.map(({ lastWaitMs }) => lastWaitMs)),
  };
}

function isLate({ fields }: LogLine): boolean {
  return fields['kind'] === 'completed' && Number(fields['tookMs']) > Number(fields['objectiveMs']);
}

function buildWaitReport(values: readonly number[]): WaitReport {
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

function findOrCreate<Key, Value>(map: Map<Key, Value>, key: Key, create: () => Value): Value {
  const existing = map.get(key);
  if (existing !== undefined) return existing;
  const value = create();
  map.set(key, value);
  return value;
}
