/** Workloads of the two sites, and the shapes in which they arrive. */

/** One kind of request of a profile. */
export interface ProfileKind {
  readonly name: string;
  /** Share of the jobs. */
  readonly share: number;
  readonly priority: number;
  readonly deadlineMs: number;
  /** Shortest and longest usual task, ms; drawn log-uniformly. */
  readonly workMs: readonly [number, number];
  /** Share of tasks that last several seconds. */
  readonly longShare: number;
  /** Fewest and most tasks of a job; drawn log-uniformly. */
  readonly tasks: readonly [number, number];
}

/** A site's workload. */
export interface Profile {
  readonly name: ProfileName;
  readonly service: string;
  readonly kinds: readonly ProfileKind[];
}

/** Names of the profiles. */
export type ProfileName = 'timber-exchange' | 'tender-desk';

/** How jobs arrive: all at the start; evenly at a share of capacity; a trickle of single tasks. */
export type ArrivalShape = 'burst' | 'steady' | 'low';

/** Shortest and longest of the few long tasks, ms. */
export const LONG_TASK_MS: readonly [number, number] = [2_000, 4_000];

/** Quotes are many and short; reservations few, wide and longer. */
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

/** Seals go first; status pings are many. */
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
 * Computes the expected duration of a kind's tasks.
 *
 * @param kind - the kind
 * @returns ms
 * @example
 * findMeanWork(PROFILES['tender-desk'].kinds[2]); // about 72
 */
export function findMeanWork(kind: ProfileKind): number {
  const [from, to] = kind.workMs;
  const usual = (to - from) / Math.log(to / from);
  const long = (LONG_TASK_MS[0] + LONG_TASK_MS[1]) / 2;
  return usual * (1 - kind.longShare) + long * kind.longShare;
}

/**
 * Writes the command that declares a profile's event.
 *
 * @param profile - the profile
 * @param event - name of the event
 * @param options - when it starts, and a deadline that goes before those of the kinds
 * @returns a statement of the operators' language
 */
export function buildDeclaration(
  profile: Profile,
  event: string,
  options: { readonly startAt: number; readonly deadlineMs?: number },
): string {
  const kinds = profile.kinds.map((kind) => {
    const deadline = options.deadlineMs ?? kind.deadlineMs;
    const expected = findMeanWork(kind).toFixed(0);
    return `${kind.name}(service = ${profile.service}, priority = ${kind.priority}, deadline = ${deadline}ms, expected = ${expected}ms)`;
  });
  return `declare event ${event} start ${Math.round(options.startAt)} services ${profile.service} kinds ${kinds.join(', ')}`;
}
