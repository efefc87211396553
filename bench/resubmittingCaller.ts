/** Caller that resubmits its job through the next entry until it has a final answer. */
import { setTimeout as sleep } from 'node:timers/promises';

import { Agent, request } from 'undici';

/** Job as sent by a caller. */
export interface CallerJob {
  readonly job: string;
  readonly createdAt: number;
  readonly event: string;
  readonly deadlineMs: number;
  readonly tasks: readonly {
    readonly kind: string;
    readonly body: { readonly workMs: number; readonly echo: string };
  }[];
}

/** Last answer to a job, with the number of submissions. */
export interface CallerAnswer {
  readonly outcome: 'complete' | 'failed' | 'refused' | 'none' | 'broken';
  readonly reason: string;
  readonly submissions: number;
}

/** Reasons of failure that are temporary. */
const RETRYABLE_REASONS: ReadonlySet<string> = new Set([
  'claim-timeout',
  'leaving',
  'not-ready',
  'entry-full',
  'too-many-callers',
]);

const agent = new Agent({ connections: null, headersTimeout: 0, bodyTimeout: 0 });

/** Builds a job with a distinct echo for each task, so that mixed-up answers are detected. */
export function buildCallerJob(
  job: string,
  event: string,
  kind: string,
  workMs: readonly number[],
  deadlineMs: number,
): CallerJob {
  const tasks = workMs.map((work, index) => ({ kind, body: { workMs: work, echo: `${job}/${index}` } }));
  return { job, createdAt: Date.now(), event, deadlineMs, tasks };
}

/**
 * Submits a job until the answer is final or the tries are used up.
 *
 * @param options - index of the first entry, largest number of submissions, and timeout of each, ms
 */
export async function submitUntilAnswered(
  job: CallerJob,
  entries: readonly string[],
  options: { readonly first: number; readonly tries: number; readonly patienceMs: number },
): Promise<CallerAnswer> {
  let last: CallerAnswer = { outcome: 'none', reason: 'no answer', submissions: 0 };
  for (let attempt = 0; attempt < options.tries; attempt += 1) {
    const url = entries[(options.first + attempt) % entries.length] as string;
    last = { ...(await submitOnce(job, url, options.patienceMs)), submissions: attempt + 1 };
    if (last.outcome === 'complete' || last.outcome === 'broken') return last;
    if (last.outcome === 'failed' && !RETRYABLE_REASONS.has(last.reason)) return last;
    await sleep(100);
  }
  return last;
}

async function submitOnce(
  job: CallerJob,
  url: string,
  patienceMs: number,
): Promise<Omit<CallerAnswer, 'submissions'>> {
  try {
    const signal = AbortSignal.timeout(patienceMs);
    const body = JSON.stringify(job);
    const response = await request(`${url}/v1/jobs`, { method: 'POST', body, signal, dispatcher: agent });
    const answer = (await response.body.json()) as {
      outcome?: CallerAnswer['outcome'];
      reason?: string;
      answers?: { status: number; body: { echo?: string } }[];
    };
    if (answer.outcome !== 'complete')
      return { outcome: answer.outcome ?? 'broken', reason: answer.reason ?? '' };
    const isComplete = answer.answers?.length === job.tasks.length;
    const isMatching = answer.answers?.every((one, index) => one.body.echo === job.tasks[index]?.body.echo);
    return isComplete && isMatching
      ? { outcome: 'complete', reason: '' }
      : { outcome: 'broken', reason: 'echoes differ' };
  } catch (error) {
    return { outcome: 'none', reason: String(error) };
  }
}
