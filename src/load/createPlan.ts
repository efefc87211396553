import { createRandom } from '../_lib/createRandom.js';
import { LONG_TASK_MS } from './profile.js';
import type { ArrivalShape, Profile, ProfileKind } from './profile.js';

/** One job of a plan. */
export interface PlannedJob {
  readonly number: number;
  /** When it is sent, ms after the event's start; negative for shortly before. */
  readonly atMs: number;
  readonly kind: string;
  readonly priority: number;
  readonly deadlineMs: number;
  /** True work of each task, ms. */
  readonly workMs: readonly number[];
}

/** What a plan is made of. */
export interface PlanOptions {
  readonly profile: Profile;
  readonly shape: ArrivalShape;
  readonly seed: number;
  /** Slots of all upstreams. */
  readonly slots: number;
  /** Seconds of work for all slots. */
  readonly workSeconds: number;
  /** Steady arrivals: work that arrives over what the slots can do. */
  readonly utilization: number;
  /** Deadline of every job instead of its kind's, ms. */
  readonly deadlineMs?: number;
}

/** A burst's jobs arrive within this time after the start, ms. */
const BURST_SPREAD_MS = 100;
/** A trickle sends a job every so often, ms. */
const LOW_EVERY_MS = 25;

/**
 * Creates the jobs of a run. The same options give the same jobs.
 *
 * @param options - profile, shape, seed and size
 * @returns the jobs in order of arrival
 */
export function createPlan(options: PlanOptions): PlannedJob[] {
  const random = createRandom(options.seed);
  const totalMs = options.workSeconds * 1_000 * options.slots;
  const jobs: PlannedJob[] = [];
  let sumMs = 0;
  while (sumMs < totalMs) {
    const kind = pickKind(options.profile, random);
    const count = options.shape === 'low' ? 1 : Math.round(drawLog(kind.tasks, random));
    const workMs = Array.from({ length: count }, () => drawWork(kind, random));
    const job = { number: jobs.length, kind: kind.name, priority: kind.priority, workMs };
    const deadlineMs = options.deadlineMs ?? kind.deadlineMs;
    jobs.push({ ...job, deadlineMs, atMs: drawArrival(options, sumMs, jobs.length, random) });
    sumMs += workMs.reduce((sum, work) => sum + work, 0);
  }
  return jobs.sort((left, right) => left.atMs - right.atMs);
}

function drawArrival(options: PlanOptions, sumMs: number, index: number, random: () => number): number {
  if (options.shape === 'burst') return random() * BURST_SPREAD_MS;
  if (options.shape === 'low') return index * LOW_EVERY_MS;
  const jitter = random() * 50;
  return sumMs / (options.slots * options.utilization) + jitter;
}

function pickKind(profile: Profile, random: () => number): ProfileKind {
  let rest = random();
  for (const kind of profile.kinds) {
    rest -= kind.share;
    if (rest < 0) return kind;
  }
  return profile.kinds[profile.kinds.length - 1] as ProfileKind;
}

function drawWork(kind: ProfileKind, random: () => number): number {
  const range = random() < kind.longShare ? LONG_TASK_MS : kind.workMs;
  return Math.round(drawLog(range, random));
}

function drawLog([from, to]: readonly [number, number], random: () => number): number {
  return from * (to / from) ** random();
}
