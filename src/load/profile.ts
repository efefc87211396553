/** Workload profiles and arrival shapes of load runs. */

/** A kind of job in a profile. */
export interface ProfileKind {
  readonly name: string;
  /** Share of the jobs, from 0 to 1. */
  readonly share: number;
  /** Priority; 0 is the highest. */
  readonly priority: number;
  readonly deadlineMs: number;
  /** Minimum and maximum duration of a regular task, ms; drawn from a log-uniform distribution. */
  readonly workMs: readonly [number, number];
  /** Share of the tasks that are long, from 0 to 1. */
  readonly longShare: number;
  /** Minimum and maximum number of tasks of a job; drawn from a log-uniform distribution. */
  readonly tasks: readonly [number, number];
}

/** A workload profile. */
export interface Profile {
  readonly name: ProfileName;
  readonly service: string;
  readonly kinds: readonly ProfileKind[];
}

/** Names of the profiles. */
export type ProfileName = 'timber-exchange' | 'tender-desk';

/**
 * How jobs arrive. `burst`: shortly after the start; `steady`: evenly, at a share of the capacity; `low`:
 * jobs of one task at a fixed interval.
 */
export type ArrivalShape = 'burst' | 'steady' | 'low';

/** Minimum and maximum duration of a long task, ms. */
export const LONG_TASK_MS: readonly [number, number] = [2_000, 4_000];

/** Many short quotes; few reservations with more and longer tasks. */
const TIMBER_EXCHANGE: Profile = {
  name: 'timber-exchange',
  service: 'exchange',
  kinds: [
    {
      name: 'quote',
      share: 0.6,
      priority: 0,
      deadlineMs: 5_000,
      workMs: [50, 150],
      longShare: 0,
      tasks: [1, 12],
    },
    {
      name: 'certificate',
      share: 0.25,
      priority: 1,
      deadlineMs: 15_000,
      workMs: [150, 500],
      longShare: 0.01,
      tasks: [1, 20],
    },
    {
      name: 'reservation',
      share: 0.15,
      priority: 2,
      deadlineMs: 30_000,
      workMs: [250, 1_000],
      longShare: 0.02,
      tasks: [1, 50],
    },
  ],
};

/** Few urgent seals; many short status requests of low priority. */
const TENDER_DESK: Profile = {
  name: 'tender-desk',
  service: 'portal',
  kinds: [
    {
      name: 'seal',
      share: 0.2,
      priority: 0,
      deadlineMs: 10_000,
      workMs: [200, 1_000],
      longShare: 0.02,
      tasks: [1, 10],
    },
    {
      name: 'check',
      share: 0.3,
      priority: 1,
      deadlineMs: 15_000,
      workMs: [100, 400],
      longShare: 0.005,
      tasks: [1, 50],
    },
    {
      name: 'ping',
      share: 0.5,
      priority: 2,
      deadlineMs: 30_000,
      workMs: [50, 100],
      longShare: 0,
      tasks: [1, 8],
    },
  ],
};

/** The profiles by name. */
export const PROFILES: Readonly<Record<ProfileName, Profile>> = {
  'timber-exchange': TIMBER_EXCHANGE,
  'tender-desk': TENDER_DESK,
};

/**
 * Estimates the mean duration of a kind's tasks.
 *
 * @param kind - the kind
 * @returns the mean, ms
 * @example
 * computeMeanWorkMs(PROFILES['tender-desk'].kinds[2]); // about 72
 */
export function computeMeanWorkMs(kind: ProfileKind): number {
  const [from, to] = kind.workMs;
  const regularMs = (to - from) / Math.log(to / from);
  const longMs = (LONG_TASK_MS[0] + LONG_TASK_MS[1]) / 2;
  return regularMs * (1 - kind.longShare) + longMs * kind.longShare;
}

/**
 * Builds the command that declares an event for a profile.
 *
 * @param profile - the profile
 * @param event - name of the event
 * @param options - start of the event, and a deadline that overrides those of the kinds
 * @returns an operator command
 */
export function buildDeclareCommand(
  profile: Profile,
  event: string,
  options: { readonly startAt: number; readonly deadlineMs?: number },
): string {
  const kinds = profile.kinds.map((kind) => {
    const deadline = options.deadlineMs ?? kind.deadlineMs;
    const expected = computeMeanWorkMs(kind).toFixed(0);
    return `${kind.name}(service = ${profile.service}, priority = ${kind.priority}, deadline = ${deadline}ms, expected = ${expected}ms)`;
  });
  return `declare event ${event} start ${Math.round(options.startAt)} services ${profile.service} kinds ${kinds.join(', ')}`;
}
