/** Sends the jobs of a plan to the entries (open loop) and checks every answer. */
import { performance } from 'node:perf_hooks';
import { setTimeout as sleep } from 'node:timers/promises';

import { Pool } from 'undici';

import type { PlannedJob } from './createPlan.js';

/** Outcome of one job. `broken`: no valid answer, or one that does not match the job. */
export interface JobOutcome {
  readonly outcome: 'complete' | 'refused' | 'failed' | 'broken';
  readonly reason: string;
  /** Time until the answer, ms; counted from the planned send time to avoid coordinated omission. */
  readonly responseMs: number;
  /** HTTP status; 0 without an answer. */
  readonly status: number;
}

/** Target and identification of a run. */
export interface RunOptions {
  /** URLs of the entries. */
  readonly entries: readonly string[];
  readonly event: string;
  /** Start of the event, ms since the epoch. */
  readonly startAt: number;
  /** Prefix of the job keys; unique per run. */
  readonly runId: string;
}

interface AnswerBody {
  readonly outcome?: string;
  readonly reason?: string;
  readonly answers?: readonly { readonly status: number; readonly body: { readonly echo?: unknown } }[];
}

/**
 * Sends every job at its planned time, whether or not earlier ones were answered.
 *
 * @param jobs - the plan
 * @param options - target and identification of the run
 * @returns the outcomes, in the order of the jobs
 */
export async function runPlan(jobs: readonly PlannedJob[], options: RunOptions): Promise<JobOutcome[]> {
  const pools = options.entries.map(
    (url) => new Pool(url, { connections: null, headersTimeout: 0, bodyTimeout: 0 }),
  );
  const bodies = jobs.map((job) => buildBody(job, options));
  const clockOffsetMs = performance.now() - Date.now();
  const monotonicStartMs = options.startAt + clockOffsetMs;
  const responses: Promise<JobOutcome>[] = [];
  for (const [index, job] of jobs.entries()) {
    const waitMs = monotonicStartMs + job.atMs - performance.now();
    if (waitMs > 1) await sleep(waitMs);
    const pool = pools[index % pools.length] as Pool;
    responses.push(sendJob(pool, job, bodies[index] as string, monotonicStartMs + job.atMs, options));
  }
  const outcomes = await Promise.all(responses);
  await Promise.all(pools.map((pool) => pool.destroy()));
  return outcomes;
}

/** Builds the idempotency key of a job. */
export function buildJobKey(runId: string, number: number): string {
  return `${runId}-${number}`;
}

function buildBody(job: PlannedJob, options: RunOptions): string {
  const { event, runId, startAt } = options;
  const key = buildJobKey(runId, job.number);
  const tasks = job.workMs.map((workMs, index) => ({
    kind: job.kind,
    body: { workMs, echo: `${key}/${index}` },
  }));
  const createdAt = Math.round(Math.min(Date.now(), startAt + job.atMs));
  return JSON.stringify({ job: key, createdAt, event, deadlineMs: job.deadlineMs, tasks });
}

async function sendJob(
  pool: Pool,
  job: PlannedJob,
  body: string,
  dueAt: number,
  options: RunOptions,
): Promise<JobOutcome> {
  try {
    const response = await pool.request({ method: 'POST', path: '/v1/jobs', body });
    const answer = (await response.body.json()) as AnswerBody;
    const responseMs = performance.now() - dueAt;
    return { ...checkAnswer(answer, job, options), responseMs, status: response.statusCode };
  } catch (error) {
    const responseMs = performance.now() - dueAt;
    return { outcome: 'broken', reason: String(error), responseMs, status: 0 };
  }
}

function checkAnswer(
  answer: AnswerBody,
  job: PlannedJob,
  options: RunOptions,
): Pick<JobOutcome, 'outcome' | 'reason'> {
  const { outcome, reason = '' } = answer;
  if (outcome === 'refused' || outcome === 'failed') return { outcome, reason };
  if (outcome !== 'complete') return { outcome: 'broken', reason: JSON.stringify(answer).slice(0, 200) };
  const key = buildJobKey(options.runId, job.number);
  const isComplete = answer.answers?.length === job.workMs.length;
  const isCorrect = answer.answers?.every(
    (taskAnswer, index) => taskAnswer.status === 200 && taskAnswer.body.echo === `${key}/${index}`,
  );
  if (!isComplete || !isCorrect) return { outcome: 'broken', reason: 'the answers do not match the tasks' };
  return { outcome: 'complete', reason: '' };
}
