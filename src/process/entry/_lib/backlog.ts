/** Expected work by priority and size class, from which admission control estimates the work ahead of a job. */
import type { Job } from '../../../request/job.js';
import type { EntryState } from '../entryState.js';

/** Number of size classes per priority: powers of two of the expected work in ms. */
const SIZE_CLASSES = 32;

/**
 * Computes the backlog class of a job.
 *
 * @param priority - operator priority, 0 first
 * @param workMs - expected work, ms
 * @returns the class; jobs of a lower class are served first
 */
export function computeBacklogClass(priority: number, workMs: number): number {
  const size = Math.min(SIZE_CLASSES - 1, Math.ceil(Math.log2(Math.max(1, workMs))));
  return priority * SIZE_CLASSES + size;
}

/**
 * Adds a job's work to its class and to the shares of its caller and team.
 *
 * @param state - the entry's state
 * @param job - the job, whose total work selects the class
 * @param workMs - ms of one slot; negative to subtract
 */
export function addBacklog(state: EntryState, job: Job, workMs: number): void {
  addShare(state, `caller/${job.caller}`, workMs);
  addShare(state, `team/${job.team}`, workMs);
  const key = computeBacklogClass(job.priority, job.workMs);
  state.backlog.set(key, Math.max(0, (state.backlog.get(key) ?? 0) + workMs));
}

/** Work of a caller, its team and all callers, for fair sharing. */
export interface Shares {
  readonly totalMs: number;
  readonly callerMs: number;
  readonly teamMs: number;
  readonly callers: number;
  readonly teams: number;
}

/**
 * Finds how much of the entry's work belongs to a job's caller and team: 0 for a job without a caller or team.
 *
 * @param state - the entry's state
 * @param job - the job to admit
 * @returns work in ms of one slot, and the number of callers and teams, including the job's own
 */
export function findShares(state: EntryState, job: Job): Shares {
  const sums = { caller: 0, team: 0 };
  const holders = { caller: new Set([`caller/${job.caller}`]), team: new Set([`team/${job.team}`]) };
  for (const [key, workMs] of state.shares) {
    const kind = key.startsWith('caller/') ? 'caller' : 'team';
    sums[kind] += workMs;
    holders[kind].add(key);
  }
  return {
    totalMs: sums.caller,
    callerMs: job.caller === '' ? 0 : (state.shares.get(`caller/${job.caller}`) ?? 0),
    teamMs: job.team === '' ? 0 : (state.shares.get(`team/${job.team}`) ?? 0),
    callers: holders.caller.size,
    teams: holders.team.size,
  };
}

/** Work below which the share of a caller or team is deleted, ms; allows for rounding errors in the sums. */
const MIN_SHARE_MS = 0.01;

function addShare(state: EntryState, key: string, workMs: number): void {
  const sum = (state.shares.get(key) ?? 0) + workMs;
  if (sum < MIN_SHARE_MS) state.shares.delete(key);
  else state.shares.set(key, sum);
}

/** How long tasks must have been waiting before arrivals are extrapolated, ms; excludes an initial burst. */
const MIN_FORECAST_MS = 1_000;

/**
 * Records the arrival of admitted work for the forecast.
 *
 * @param state - the entry's state
 * @param job - a job that starts to run
 * @param now - ms since the epoch
 */
export function recordArrival(state: EntryState, job: Job, now: number): void {
  if (state.waitingTasks === 0) {
    state.arrivals.clear();
    state.busySince = now;
  }
  const key = computeBacklogClass(job.priority, job.remainingMs);
  state.arrivals.set(key, (state.arrivals.get(key) ?? 0) + job.remainingMs);
}

/**
 * Forecasts the work that is served before a new job: the backlog of its own and all more urgent classes, plus
 * the work expected to arrive in the more urgent classes meanwhile. Arrivals are extrapolated at their rate since
 * tasks began to wait, up to the amount that has arrived so far.
 *
 * @param state - the entry's state
 * @param options - the new job's priority and expected work, the slots that serve it, and the current time
 * @returns ms of one slot
 */
export function forecastAhead(
  state: EntryState,
  options: {
    readonly priority: number;
    readonly workMs: number;
    readonly slots: number;
    readonly now: number;
  },
): number {
  const own = computeBacklogClass(options.priority, options.workMs);
  const aheadMs = sumClasses(state.backlog, own + 1);
  const busyMs = options.now - state.busySince;
  if (state.waitingTasks === 0 || busyMs < MIN_FORECAST_MS) return aheadMs;
  const arrivedMs = sumClasses(state.arrivals, own);
  const rate = arrivedMs / busyMs;
  const maxAheadMs = aheadMs + arrivedMs;
  if (rate >= options.slots) return maxAheadMs;
  return Math.min(maxAheadMs, (aheadMs * options.slots) / (options.slots - rate));
}

function sumClasses(classes: ReadonlyMap<number, number>, below: number): number {
  let sum = 0;
  for (const [key, work] of classes) {
    if (key < below) sum += work;
  }
  return sum;
}
