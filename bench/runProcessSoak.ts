import { FaultSoak } from '../test/fakes/FaultSoak.js';
import type { SoakOptions, SoakReport } from '../test/fakes/FaultSoak.js';
import { ALL_KINDS, DOMAIN_KINDS, EARLIER_KINDS, RESTART_KINDS } from '../test/fakes/soakFaults.js';

/** Every so many seeds a run has as many processes as the letter allows: a few dozen. */
const LARGE_EVERY = 10;
const LARGE = { entries: 6, agents: 24 };
const SMALLEST = { entries: 2, agents: 3 };
/** How many more than that a run may have. */
const MORE_ENTRIES = 3;
const MORE_AGENTS = 4;
const FAULT_MS = 8_000;
const RECOVERY_MS = 8_000;
/** Seeds from here on draw from all kinds of fault; earlier ones go on to mean the runs that they were. */
const FIRST_SEED_OF_ALL_KINDS = 1_000;
/** From here on failure domains are emptied as well. */
const FIRST_SEED_OF_DOMAINS = 2_000;
/** From here on upstreams start again under their ids as well. */
const FIRST_SEED_OF_RESTARTS = 3_000;

/**
 * Finds the sizes of the soak run of a seed.
 *
 * @param seed - of the run
 * @returns its options
 * @example
 * findSoakOptions(10).agents; // 24
 */
export function findSoakOptions(seed: number): SoakOptions {
  const rest = { faultMs: FAULT_MS, recoveryMs: RECOVERY_MS, kinds: findKinds(seed) };
  if (seed % LARGE_EVERY === 0) return { seed, ...LARGE, ...rest };
  const entries = SMALLEST.entries + (seed % MORE_ENTRIES);
  const agents = SMALLEST.agents + (seed % MORE_AGENTS);
  return { seed, entries, agents, ...rest };
}

function findKinds(seed: number): readonly string[] {
  if (seed >= FIRST_SEED_OF_RESTARTS) return RESTART_KINDS;
  if (seed >= FIRST_SEED_OF_DOMAINS) return DOMAIN_KINDS;
  return seed >= FIRST_SEED_OF_ALL_KINDS ? ALL_KINDS : EARLIER_KINDS;
}

/**
 * Plays one run of real processes under faults from outside.
 *
 * @param seed - of the run
 * @returns what it has seen
 * @throws Error that lists broken promises and the faults that were played
 */
export async function runProcessSoak(seed: number): Promise<SoakReport> {
  const report = await new FaultSoak(findSoakOptions(seed)).run();
  if (report.broken.length === 0) return report;
  throw new Error(`${report.broken.join('; ')}\n${report.faults.join('\n')}`);
}
