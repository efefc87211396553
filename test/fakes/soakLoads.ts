/** Jobs and callers of the soak test. */

/** Jobs and callers of a run. */
export interface SoakLoad {
  /** Longest pause between two jobs, ms. */
  readonly jobGapMs: number;
  readonly maxTasks: number;
  readonly maxTaskMs: number;
  /** Deadline of a caller, after which it leaves, ms. */
  readonly callerTimeoutMs: number;
  /** Fraction of callers that close their connections earlier. */
  readonly leaveShare: number;
  /** Longest time after which these do so, ms. */
  readonly longestStayMs: number;
  /** Whether callers use their connections again for later jobs. */
  readonly keepsConnections: boolean;
  /** Fraction of jobs that are cancelled, each at any dispatcher. */
  readonly cancelShare: number;
  /** Whether runs are checked for a waiting caller all the time, not only after the faults. */
  readonly isWatched: boolean;
}

/** Many short tasks. They must not change, so that a seed reproduces its run. */
export const SHORT_TASKS: SoakLoad = {
  jobGapMs: 60,
  maxTasks: 6,
  maxTaskMs: 400,
  callerTimeoutMs: 2_500,
  leaveShare: 0,
  longestStayMs: 0,
  keepsConnections: false,
  cancelShare: 0,
  isWatched: false,
};

/** Longest pause between two jobs with one executor, ms: about as much work as upstreams have capacity for. */
const GAP_PER_EXECUTOR_MS = 1_600;

/**
 * Creates a load of tasks that outlast the time after which a caller returns, and of callers that leave.
 *
 * @param executors - number of executors
 * @returns the load
 * @example
 * createLongTasks(4).jobGapMs; // 400
 */
export function createLongTasks(executors: number): SoakLoad {
  return {
    jobGapMs: GAP_PER_EXECUTOR_MS / executors,
    maxTasks: 4,
    maxTaskMs: 2_500,
    callerTimeoutMs: 6_000,
    leaveShare: 0.4,
    longestStayMs: 2_000,
    keepsConnections: true,
    cancelShare: 0,
    isWatched: true,
  };
}

/**
 * Creates a load of such tasks of which many jobs are cancelled, while their callers stay or come again.
 *
 * @param executors - number of executors
 * @returns the load
 * @example
 * createCancelledJobs(4).cancelShare; // 0.5
 */
export function createCancelledJobs(executors: number): SoakLoad {
  return { ...createLongTasks(executors), leaveShare: 0.1, cancelShare: 0.5, isWatched: false };
}
