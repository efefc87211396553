/** The policies that runs compare. */

/** Settings of a policy that go before the defaults. */
export interface PolicySettings {
  readonly entry: Readonly<Record<string, unknown>>;
  readonly agent: Readonly<Record<string, unknown>>;
}

/** Credits that never run out, for placements that push. */
const UNBOUNDED_OVERCOMMIT = 1_000_000;

/** Policies by name. */
export const POLICIES: Readonly<Record<string, PolicySettings>> = {
  /** The product's own. */
  product: { entry: {}, agent: {} },
  /** First come first served, with credits. */
  arrival: { entry: { ordering: 'arrival' }, agent: {} },
  /** Random push, the product's order in the agents' queues. */
  random: { entry: { placement: 'random' }, agent: { overcommit: UNBOUNDED_OVERCOMMIT } },
  /** All baselines: random push, first come first served, accept until full. */
  baseline: {
    entry: { placement: 'random', ordering: 'arrival', admission: 'full-table' },
    agent: { overcommit: UNBOUNDED_OVERCOMMIT },
  },
  /** No overcommit: every start waits for a free slot. */
  'no-overcommit': { entry: {}, agent: { overcommit: 0 } },
  /** Twice the overcommit. */
  'more-overcommit': { entry: {}, agent: { overcommit: 4 } },
};
