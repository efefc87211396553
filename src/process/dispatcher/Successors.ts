/**
 * Submissions of jobs of which an earlier submission has been answered while its tasks may still run. Each waits until
 * these are over; of several submissions of a job the latest waits.
 */
import type { Caller } from '../../ports/CallerGateway.js';
import type { JobOutcome, JobSubmission } from '../../request/dispatch/submission.js';
import { RETRY_AFTER_MS } from './Admission.js';
import { ANSWER_MARGIN_MS } from './findGiveUpReason.js';

/** A submission that waits to be admitted. */
export interface Submission {
  readonly submission: JobSubmission;
  readonly caller: Caller;
  /** When its caller stops waiting, ms. */
  readonly deadlineAt: number;
}

/** Answer to a submission that a later one of the same job replaces. */
export const SUPERSEDED: JobOutcome = { kind: 'interrupted', reason: 'submitted-again' };

/** Waiting submissions of one dispatcher, by job id. */
export class Successors {
  private readonly submissions = new Map<string, Submission>();

  get size(): number {
    return this.submissions.size;
  }

  has(jobId: string): boolean {
    return this.submissions.has(jobId);
  }

  /** Counts the waiting submissions of a queue. */
  countPending(routeName: string): number {
    let count = 0;
    for (const { submission } of this.submissions.values())
      if (submission.route.name === routeName) count += 1;
    return count;
  }

  /** Adds a submission, and answers the one of the same job that it replaces. */
  add(successor: Submission): void {
    const { id } = successor.submission;
    this.submissions.get(id)?.caller.answer(SUPERSEDED);
    this.submissions.set(id, successor);
  }

  /** Removes the submission of a job, which is to be admitted now. */
  take(jobId: string): Submission | undefined {
    const successor = this.submissions.get(jobId);
    this.submissions.delete(jobId);
    return successor;
  }

  /** Removes a submission whose caller has disconnected. */
  abandon(jobId: string, caller: Caller): void {
    if (this.submissions.get(jobId)?.caller === caller) this.submissions.delete(jobId);
  }

  /**
   * Answers and removes the submission of a job.
   *
   * @returns false if none waits
   */
  end(jobId: string, outcome: JobOutcome): boolean {
    const successor = this.take(jobId);
    successor?.caller.answer(outcome);
    return successor !== undefined;
  }

  /** Answers and removes all. */
  endAll(outcome: JobOutcome): void {
    for (const id of [...this.submissions.keys()]) this.end(id, outcome);
  }

  /** Refuses the submissions whose callers are about to stop waiting. */
  tick(now: number): void {
    for (const [id, { deadlineAt }] of [...this.submissions]) {
      if (now < deadlineAt - ANSWER_MARGIN_MS) continue;
      this.end(id, { kind: 'refused', reason: 'deadline', retryAfterMs: RETRY_AFTER_MS });
    }
  }
}
