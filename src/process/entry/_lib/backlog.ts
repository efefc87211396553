/** Expected work by priority and size class, so that admission can tell what would be served first. */
import type { Job } from '../../../request/job.js';
import type { EntryState } from '../entryState.js';

/** Size classes for each priority: powers of two of the expected work in ms. */
const SIZE_CLASSES = 32;

/**
 * Finds the class of a job.
 *
 * @param priority - operator priority, 0 first
 * @param workMs - expected work, ms
 * @returns a number that grows with both
 */
export function findBacklogClass(priority: number, workMs: number): number {
  const size = Math.min(SIZE_CLASSES - 1, Math.ceil(Math.log2(Math.max(1, workMs))));
  return priority * SIZE_CLASSES + size;
}

/**
 * Adds work to a class, or takes it away.
 *
 * @param state - the entry's state
 * @param job - the job, by whose whole work the class goes
 * @param workMs - ms of one slot; negative to take away
 */
export function addBacklog(state: EntryState, job: Job, workMs: number): void {
  addShare(state, `caller/${job.caller}`, workMs);
  addShare(state, `team/${job.team}`, workMs);
  const key = findBacklogClass(job.priority, job.workMs);
  state.backlog.set(key, Math.max(0, (state.backlog.get(key) ?? 0) + workMs));
}

/** What callers and teams hold together, for fair shares. */
export interface Shares {
  readonly totalMs: number;
  readonly callerMs: number;
  readonly teamMs: number;
  readonly callers: number;
  readonly teams: number;
}

/**
 * Finds how much of the entry's work a job's caller and team hold. Who is not told holds nothing.
 *
 * @param state - the entry's state
 * @param job - the job that asks to be let in
 * @returns work in ms of one slot, and the number of holders
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

/** Work below which a holder is forgotten, ms: sums of fractions do not end at zero. */
const SHARE_FORGET_MS = 0.01;

function addShare(state: EntryState, key: string, workMs: number): void {
  const sum = (state.shares.get(key) ?? 0) + workMs;
  if (sum < SHARE_FORGET_MS) state.shares.delete(key);
  else state.shares.set(key, sum);
}

/** Arrivals are extrapolated only once they have lasted for this long, ms: a burst at the start is over by then. */
const FORECAST_AFTER_MS = 1_000;

/**
 * Notes work that was let in, for the forecast.
 *
 * @param state - the entry's state
 * @param job - a job that begins to run
 * @param now - ms since the epoch
 */
export function noteArrival(state: EntryState, job: Job, now: number): void {
  if (state.waitingTasks === 0) {
    state.arrivals.clear();
    state.busySince = now;
  }
  const key = findBacklogClass(job.priority, job.remainingMs);
  state.arrivals.set(key, (state.arrivals.get(key) ?? 0) + job.remainingMs);
}

/**
 * Forecasts the work that is served before a new job: what waits now in its class and the more urgent ones, and
 * what will come of the latter if it comes as it has since tasks began to wait, for as long again at most.
 *
 * @param state - the entry's state
 * @param options - the new job's priority and expected work, the slots that serve, and the time
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
  const own = findBacklogClass(options.priority, options.workMs);
  const aheadMs = sumClasses(state.backlog, own + 1);
  const lastedMs = options.now - state.busySince;
  if (state.waitingTasks === 0 || lastedMs < FORECAST_AFTER_MS) return aheadMs;
  const arrivedMs = sumClasses(state.arrivals, own);
  const rate = arrivedMs / lastedMs;
  const mostMs = aheadMs + arrivedMs;
  if (rate >= options.slots) return mostMs;
  return Math.min(mostMs, (aheadMs * options.slots) / (options.slots - rate));
}

function sumClasses(classes: ReadonlyMap<number, number>, below: number): number {
  let sum = 0;
  for (const [key, work] of classes) {
    if (key < below) sum += work;
  }
  return sum;
}
