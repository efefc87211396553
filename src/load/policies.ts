/** Scheduling policies that load runs compare. */

/** Settings of a policy, which override the defaults. */
export interface PolicySettings {
  readonly entry: Readonly<Record<string, unknown>>;
  readonly agent: Readonly<Record<string, unknown>>;
}

/** Effectively unlimited credits, for push placement. */
const UNBOUNDED_OVERCOMMIT = 1_000_000;

/** Policies by name. */
export const POLICIES: Readonly<Record<string, PolicySettings>> = {
  /** The default settings. */
  product: { entry: {}, agent: {} },
  /** First come, first served, with credits. */
  arrival: { entry: { ordering: 'arrival' }, agent: {} },
  /** Random push placement, with the default order in the agents' queues. */
  random: { entry: { placement: 'random' }, agent: { overcommit: UNBOUNDED_OVERCOMMIT } },
  /** All baselines: random push placement, first come first served, admission until the table is full. */
  baseline: {
    entry: { placement: 'random', ordering: 'arrival', admission: 'full-table' },
    agent: { overcommit: UNBOUNDED_OVERCOMMIT },
  },
  /** No overcommit: each start waits for a free slot. */
  'no-overcommit': { entry: {}, agent: { overcommit: 0 } },
  /** Twice the default overcommit. */
  'more-overcommit': { entry: {}, agent: { overcommit: 4 } },
};
