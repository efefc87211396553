import type { ServerResponse } from 'node:http';

import type { JobAnswer } from '../../request/job.js';
import { writeJson } from './writeJson.js';

/** Reasons for which a refusal is 429, since the caller exceeds its own limits; other refusals are 503. */
const TOO_MANY_REQUESTS_REASONS: ReadonlySet<string> = new Set([
  'caller-share',
  'team-share',
  'too-many-jobs',
]);
/** Reasons for which a failure is 504, since an answer was not received in time; other failures are 502. */
const TIMEOUT_REASONS: ReadonlySet<string> = new Set(['deadline', 'claim-timeout', 'late']);

/**
 * Sends the outcome of a job to the caller.
 *
 * @param response - response to the caller
 * @param job - key of the job
 * @param answer - the outcome
 */
export function writeAnswer(response: ServerResponse, job: string, answer: JobAnswer): void {
  const key = JSON.stringify(job);
  if (answer.outcome === 'complete') {
    const answers = answer.answers.map(({ status, body }) => `{"status":${status},"body":${body}}`).join(',');
    return writeJson(response, 200, `{"job":${key},"outcome":"complete","answers":[${answers}]}`);
  }
  if (answer.outcome === 'conflict') {
    const { differs } = answer;
    return writeJson(response, 409, JSON.stringify({ job, outcome: 'conflict', differs }));
  }
  const { reason, retryAfterMs } = answer;
  const headers: Record<string, string> = {};
  if (retryAfterMs > 0) headers['retry-after'] = String(Math.ceil(retryAfterMs / 1_000));
  if (answer.outcome === 'refused') {
    const status = TOO_MANY_REQUESTS_REASONS.has(reason) ? 429 : 503;
    const body = { job, outcome: 'refused', ran: 'not-run', reason, retryAfterMs };
    return writeJson(response, status, JSON.stringify(body), headers);
  }
  const status = TIMEOUT_REASONS.has(reason) ? 504 : 502;
  const body = { job, outcome: 'failed', ran: answer.ran, reason, retryAfterMs };
  writeJson(response, status, JSON.stringify(body), headers);
}
