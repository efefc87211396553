import { createRandom } from '../_lib/createRandom.js';
import { LONG_TASK_MS } from './profile.js';
import type { ArrivalShape, Profile, ProfileKind } from './profile.js';

/** One job of a plan. */
export interface PlannedJob {
  /** Number of the job in order of creation. */
  readonly number: number;
  /** Send time, ms after the start of the event. */
  readonly atMs: number;
  readonly kind: string;
  readonly priority: number;
  readonly deadlineMs: number;
  /** Duration of each task, ms. */
  readonly workMs: readonly number[];
}

/** Options of a plan. */
export interface PlanOptions {
  readonly profile: Profile;
  readonly shape: ArrivalShape;
  readonly seed: number;
  /** Total number of slots. */
  readonly slots: number;
  /** Amount of work, as the time that all slots need for it, s. */
  readonly workSeconds: number;
  /** Steady arrivals: offered load as a fraction of the capacity. */
  readonly utilization: number;
  /** Overrides the deadline of every kind, ms. */
  readonly deadlineMs?: number;
}

/** Time after the start within which the jobs of a burst arrive, ms. */
const BURST_SPREAD_MS = 100;
/** Interval between jobs under low load, ms. */
const LOW_INTERVAL_MS = 25;
/** Maximum delay of a steady arrival, ms. */
const STEADY_JITTER_MS = 50;

/**
 * Creates the jobs of a run. The result is deterministic for the same options.
 *
 * @param options - profile, shape, seed and size
 * @returns the jobs in order of arrival
 */
export function createPlan(options: PlanOptions): PlannedJob[] {
  const random = createRandom(options.seed);
  const totalMs = options.workSeconds * 1_000 * options.slots;
  const jobs: PlannedJob[] = [];
  let plannedMs = 0;
  while (plannedMs < totalMs) {
    const kind = drawKind(options.profile, random);
    const count = options.shape === 'low' ? 1 : Math.round(drawLogUniform(kind.tasks, random));
    const workMs = Array.from({ length: count }, () => drawWorkMs(kind, random));
    const job = { number: jobs.length, kind: kind.name, priority: kind.priority, workMs };
    const deadlineMs = options.deadlineMs ?? kind.deadlineMs;
    jobs.push({ ...job, deadlineMs, atMs: drawArrivalMs(options, plannedMs, jobs.length, random) });
    plannedMs += workMs.reduce((sum, work) => sum + work, 0);
  }
  return jobs.sort((left, right) => left.atMs - right.atMs);
}

function drawArrivalMs(options: PlanOptions, plannedMs: number, index: number, random: () => number): number {
  if (options.shape === 'burst') return random() * BURST_SPREAD_MS;
  if (options.shape === 'low') return index * LOW_INTERVAL_MS;
  const jitter = random() * STEADY_JITTER_MS;
  return plannedMs / (options.slots * options.utilization) + jitter;
}

function drawKind(profile: Profile, random: () => number): ProfileKind {
  let rest = random();
  for (const kind of profile.kinds) {
    rest -= kind.share;
    if (rest < 0) return kind;
  }
  return profile.kinds[profile.kinds.length - 1] as ProfileKind;
}

function drawWorkMs(kind: ProfileKind, random: () => number): number {
  const range = random() < kind.longShare ? LONG_TASK_MS : kind.workMs;
  return Math.round(drawLogUniform(range, random));
}

function drawLogUniform([from, to]: readonly [number, number], random: () => number): number {
  return from * (to / from) ** random();
}
