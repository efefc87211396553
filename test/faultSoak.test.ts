/** Short soak test of real processes; `npm run soak -- --core processes` runs longer ones. */
import { expect } from 'chai';

import { buildSoakOptions } from '../bench/runProcessSoak.js';
import { FaultSoak } from './fakes/FaultSoak.js';
import { ALL_KINDS, CALL_KINDS, DOMAIN_KINDS, EARLIER_KINDS, RESTART_KINDS } from './fakes/soakFaults.js';
import { createCancelledJobs, createLongTasks, SHORT_TASKS } from './fakes/soakLoads.js';

const AGENTS = 3;

/**
 * Runs with increasing sets of faults: basic, unresponsive connections, emptied domains, restarted upstreams, lost
 * and late calls to upstreams; and unresponsive connections while jobs are cancelled at any dispatcher.
 */
const RUNS = [
  { seed: 1, kinds: EARLIER_KINDS, load: SHORT_TASKS },
  { seed: 1_001, kinds: ALL_KINDS, load: SHORT_TASKS },
  { seed: 2_001, kinds: DOMAIN_KINDS, load: SHORT_TASKS },
  { seed: 3_001, kinds: RESTART_KINDS, load: SHORT_TASKS },
  { seed: 4_001, kinds: CALL_KINDS, load: createLongTasks(AGENTS) },
  { seed: 5_001, kinds: ALL_KINDS, load: createCancelledJobs(AGENTS) },
];
/** Seeds of long runs that failed. */
const FAILED_SEEDS = [4_506];
/** Longer than recovery takes on a slow VM, so that no result depends on speed. */
const ENOUGH_MS = 120_000;

describe('invariants of processes under external faults', function () {
  this.timeout(300_000);

  for (const { seed, kinds, load } of RUNS) {
    it(`hold with seed ${seed}`, async () => {
      const rest = { faultMs: 6_000, recoveryMs: ENOUGH_MS, kinds, load };
      const report = await new FaultSoak({ seed, entries: 2, agents: AGENTS, ...rest }).run();
      expect(report.broken, report.faults.join('\n')).to.deep.equal([]);
      expect(report.jobs).to.be.greaterThan(0);
    });
  }

  for (const seed of FAILED_SEEDS) {
    // Guards against pings that a dispatcher acknowledges after a pause, before it reads that a caller has left.
    it(`hold with seed ${seed} of the long runs`, async () => {
      const report = await new FaultSoak({ ...buildSoakOptions(seed), recoveryMs: ENOUGH_MS }).run();
      expect(report.broken, report.faults.join('\n')).to.deep.equal([]);
    });
  }
});
