/** Admission control for jobs. */

/** Inputs of an admission decision. */
export interface AdmissionInput {
  /** Expected work of the job, ms of one slot. */
  readonly workMs: number;
  /** Expected duration of its longest task, ms. */
  readonly longestMs: number;
  /** Time until its deadline, ms. */
  readonly deadlineMs: number;
  /** Expected work of the jobs that would be served before it, ms of one slot. */
  readonly aheadMs: number;
  /** Slots available to this entry. */
  readonly slots: number;
  /** Jobs in the entry that have not ended. */
  readonly activeJobs: number;
  /** Expected work of all jobs in the entry, ms of one slot. */
  readonly totalMs: number;
  /** The parts of it submitted by the job's caller and by its team; 0 if they are not given. */
  readonly callerMs: number;
  readonly teamMs: number;
  /** Callers and teams with work in the entry, including those of the job. */
  readonly callers: number;
  readonly teams: number;
  /** Random number from 0 to 1, used to spread the retries. */
  readonly random: number;
}

/** Result of an admission decision; undefined if the job is admitted. */
export type Refusal = { readonly reason: string; readonly retryAfterMs: number } | undefined;

/** Decides on arrival whether a job is admitted. */
export abstract class Admission {
  /**
   * Decides on one job.
   *
   * @param input - the job and the load
   * @returns the reason of a refusal and the time after which to retry, or undefined
   */
  abstract decideJob(input: AdmissionInput): Refusal;
}

/** Admits jobs until the table is full; a baseline. */
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
/** Share of the deadline within which the predicted finish must fall; the rest covers prediction errors. */
const DEADLINE_SHARE = 0.9;

/** Shortest predicted wait at which fair shares are enforced, ms; below it there is capacity for everyone. */
const SHARE_CHECK_MIN_WAIT_MS = 1_000;
/** Multiple of an even share up to which one caller or team may use the entry. */
const MAX_EVEN_SHARES = 2;

/**
 * Refuses a job if the table is full, if its caller or team exceeds its share, or if its predicted finish is
 * too late. Retry hints are spread around the predicted wait.
 */
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

/** Returns the refusal reason if the caller or its team exceeds its share while work waits; else empty. */
function findExceededShare(input: AdmissionInput, slots: number): string {
  const { totalMs, callerMs, teamMs, callers, teams } = input;
  if (totalMs / slots < SHARE_CHECK_MIN_WAIT_MS) return '';
  if (callers > 1 && callerMs > (MAX_EVEN_SHARES * totalMs) / callers) return 'caller-share';
  if (teams > 1 && teamMs > (MAX_EVEN_SHARES * totalMs) / teams) return 'team-share';
  return '';
}
