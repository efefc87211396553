import { FaultSoak } from '../test/fakes/FaultSoak.js';
import type { SoakOptions, SoakReport } from '../test/fakes/FaultSoak.js';
import {
  ALL_KINDS,
  CALL_KINDS,
  DOMAIN_KINDS,
  EARLIER_KINDS,
  LOSSY_KINDS,
  RESTART_KINDS,
} from '../test/fakes/soakFaults.js';
import { createCancelledJobs, createLongTasks, SHORT_TASKS } from '../test/fakes/soakLoads.js';
import type { SoakLoad } from '../test/fakes/soakLoads.js';

/** One run in this many has the largest cluster. */
const LARGE_RUN_INTERVAL = 10;
const LARGE_RUN = { entries: 6, agents: 24 };
const SMALLEST_RUN = { entries: 2, agents: 3 };
/** Numbers of different cluster sizes, from the smallest one up. */
const ENTRY_SIZES = 3;
const AGENT_SIZES = 4;
const FAULT_MS = 8_000;
const RECOVERY_MS = 8_000;
/** Lower seeds use the earlier kinds of fault only, so that the run of a seed stays the same. */
const FIRST_SEED_OF_ALL_KINDS = 1_000;
/** Seeds from here on also evacuate failure domains. */
const FIRST_SEED_OF_DOMAINS = 2_000;
/** Seeds from here on also restart upstreams under the same id. */
const FIRST_SEED_OF_RESTARTS = 3_000;
/** Seeds from here on also lose calls to runners or have them carried out late, and have longer tasks. */
const FIRST_SEED_OF_CALLS = 4_000;
/** Seeds from here on also pause dispatchers and silence links while stops are lost. */
const FIRST_SEED_OF_LOSSY_PAUSES = 4_500;
/** Seeds from here on have the earlier kinds and unresponsive connections, while many jobs are cancelled. */
const FIRST_SEED_OF_CANCELLED_JOBS = 5_000;

/**
 * Builds the options of the soak test run of a seed.
 *
 * @param seed - seed of the run
 * @returns cluster sizes, durations and kinds of fault
 * @example
 * buildSoakOptions(10).agents; // 24
 */
export function buildSoakOptions(seed: number): SoakOptions {
  const rest = { faultMs: FAULT_MS, recoveryMs: RECOVERY_MS, kinds: selectKinds(seed) };
  const sizes = selectSizes(seed);
  return { seed, ...sizes, ...rest, load: selectLoad(seed, sizes.agents) };
}

function selectLoad(seed: number, executors: number): SoakLoad {
  if (seed >= FIRST_SEED_OF_CANCELLED_JOBS) return createCancelledJobs(executors);
  return seed >= FIRST_SEED_OF_CALLS ? createLongTasks(executors) : SHORT_TASKS;
}

function selectSizes(seed: number): typeof LARGE_RUN {
  if (seed % LARGE_RUN_INTERVAL === 0) return LARGE_RUN;
  const entries = SMALLEST_RUN.entries + (seed % ENTRY_SIZES);
  const agents = SMALLEST_RUN.agents + (seed % AGENT_SIZES);
  return { entries, agents };
}

function selectKinds(seed: number): readonly string[] {
  if (seed >= FIRST_SEED_OF_CANCELLED_JOBS) return ALL_KINDS;
  if (seed >= FIRST_SEED_OF_LOSSY_PAUSES) return LOSSY_KINDS;
  if (seed >= FIRST_SEED_OF_CALLS) return CALL_KINDS;
  if (seed >= FIRST_SEED_OF_RESTARTS) return RESTART_KINDS;
  if (seed >= FIRST_SEED_OF_DOMAINS) return DOMAIN_KINDS;
  return seed >= FIRST_SEED_OF_ALL_KINDS ? ALL_KINDS : EARLIER_KINDS;
}

/**
 * Runs one soak test of real processes under injected faults.
 *
 * @param seed - seed of the run
 * @returns the report of the run
 * @throws Error that lists the violated guarantees and the injected faults
 */
export async function runProcessSoak(seed: number): Promise<SoakReport> {
  const report = await new FaultSoak(buildSoakOptions(seed)).run();
  if (report.broken.length === 0) return report;
  throw new Error(`${report.broken.join('; ')}\n${report.faults.join('\n')}`);
}
