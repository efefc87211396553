/** Which jobs are let in. */

/** What an admission decides on. */
export interface AdmissionInput {
  /** Expected work of the job, ms of one slot. */
  readonly workMs: number;
  /** Expected duration of its longest task, ms. */
  readonly longestMs: number;
  /** Time until its deadline, ms. */
  readonly deadlineMs: number;
  /** Expected work of the jobs that would be served first, ms of one slot. */
  readonly aheadMs: number;
  /** Slots that this entry can count on. */
  readonly slots: number;
  /** Jobs in the entry that have not ended. */
  readonly activeJobs: number;
  /** Expected work of all jobs in the entry, ms of one slot. */
  readonly totalMs: number;
  /** The part of it that the job's caller, and its team, already hold; 0 when they are not told. */
  readonly callerMs: number;
  readonly teamMs: number;
  /** Callers and teams that hold work, the job's own included. */
  readonly callers: number;
  readonly teams: number;
  /** A random number from 0 to 1, for spreading the retries. */
  readonly random: number;
}

/** Verdict of an admission: undefined lets the job in. */
export type Refusal = { readonly reason: string; readonly retryAfterMs: number } | undefined;

/** Decides early whether a job can be served. */
export abstract class Admission {
  /**
   * Decides on one job.
   *
   * @param input - the job and the load
   * @returns why the job is refused and when to come back, or undefined
   */
  abstract decideJob(input: AdmissionInput): Refusal;
}

/** Accepts until the table is full: the baseline. */
export class FullTableAdmission extends Admission {
  constructor(private readonly maxActiveJobs: number) {
    super();
  }

  override decideJob(input: AdmissionInput): Refusal {
    if (input.activeJobs < this.maxActiveJobs) return undefined;
    return { reason: 'too-many-jobs', retryAfterMs: 1_000 };
  }
}

/** Shortest retry hint, ms. */
const MIN_RETRY_MS = 250;
/** Share of the deadline that a predicted finish may use; the rest covers errors of the prediction. */
const DEADLINE_SHARE = 0.9;

/** Wait from which shares count, ms: below it there is enough for everyone. */
const SHARE_CHECK_MIN_WAIT_MS = 1_000;
/** How many even shares one caller or team may hold. */
const MAX_EVEN_SHARES = 2;

/** Refuses a job whose predicted finish is past its deadline, with hints spread over the predicted backlog. */
export class LatenessAdmission extends Admission {
  constructor(private readonly maxActiveJobs: number) {
    super();
  }

  override decideJob(input: AdmissionInput): Refusal {
    const slots = Math.max(1, input.slots);
    const waitMs = input.aheadMs / slots;
    const retryAfterMs = Math.round(MIN_RETRY_MS + waitMs * (0.5 + input.random));
    if (input.activeJobs >= this.maxActiveJobs) return { reason: 'too-many-jobs', retryAfterMs };
    const share = findExceededShare(input, slots);
    if (share) return { reason: share, retryAfterMs };
    const finishMs = waitMs + Math.max(input.longestMs, input.workMs / slots);
    if (finishMs <= input.deadlineMs * DEADLINE_SHARE) return undefined;
    return { reason: 'predicted-late', retryAfterMs };
  }
}

/** While work waits, a caller or team with more than its shares gets no more in. */
function findExceededShare(input: AdmissionInput, slots: number): string {
  const { totalMs, callerMs, teamMs, callers, teams } = input;
  if (totalMs / slots < SHARE_CHECK_MIN_WAIT_MS) return '';
  if (callers > 1 && callerMs > (MAX_EVEN_SHARES * totalMs) / callers) return 'caller-share';
  if (teams > 1 && teamMs > (MAX_EVEN_SHARES * totalMs) / teams) return 'team-share';
  return '';
}
