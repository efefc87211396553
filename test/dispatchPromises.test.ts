import { expect } from 'chai';

import {
  dispatchCommands,
  domainCommands,
  lateReportCommands,
  restartCommands,
  capacityCommands,
  suspensionCommands,
} from './fakes/dispatchCommands.js';
import { DispatchSimulation } from './fakes/DispatchSimulation.js';
import { orphanCommands } from './fakes/orphanCommands.js';
import { OrphanSimulation } from './fakes/OrphanSimulation.js';
import { runDispatchSimulation, runOrphanSimulation } from './fakes/runDispatchSimulation.js';

/** Runs in CI; `npm run soak -- --core dispatch` runs more. */
const RUNS = 40;
const SEED = 20261202;
/** First seed of runs with suspended VMs. */
const SUSPENSION_SEED = 50_000_001;
/** First seed of runs with capacity changes. */
const CAPACITY_SEED = 51_000_001;
/** First seed of runs with many lost or late stops. */
const ORPHAN_SEED = 52_000_001;
/** Seeds of such runs that violated an invariant, with the number of runs to reproduce it. */
const ORPHAN_SEEDS = [
  { seed: 1, runs: 11 },
  { seed: 2, runs: 24 },
  { seed: 3, runs: 2 },
  { seed: 4, runs: 6 },
  { seed: 5, runs: 2 },
  { seed: 6, runs: 2 },
  { seed: 7, runs: 4 },
  { seed: 8, runs: 6 },
];
/** Seed of the simulation with which the task starts at the upstream of this executor. */
const MUTED = { seed: 1, executor: 0 };
/** Seeds of the simulation with which the task starts at the upstream that loses orders. */
const LOST_ORDER_SEEDS = [3, 4, 5];
/** Seeds that violated an invariant, with the number of runs to reproduce it. */
const RESTART_SEEDS = [
  { seed: 100_014, runs: 170 },
  { seed: 700_004, runs: 190 },
  { seed: 800_004, runs: 160 },
];

describe('invariants of dispatchers and executors under random faults', function () {
  this.timeout(300_000);

  it('hold', async () => {
    const totals = await runDispatchSimulation(dispatchCommands, SEED, RUNS, false);
    expect(totals['completed']).to.be.greaterThan(0);
    expect(totals['interrupted']).to.be.greaterThan(0);
  });

  it('hold when connections become unresponsive and messages of earlier incarnations are delayed', async () => {
    const totals = await runDispatchSimulation(lateReportCommands, SEED, RUNS, false);
    expect(totals['completed']).to.be.greaterThan(0);
    expect(totals['interrupted']).to.be.greaterThan(0);
  });

  it('hold when failure domains are emptied and restored', async () => {
    const totals = await runDispatchSimulation(domainCommands, SEED, RUNS, false);
    expect(totals['completed']).to.be.greaterThan(0);
    expect(totals['refused']).to.be.greaterThan(0);
  });

  it('hold when upstreams restart under the same id', async () => {
    const totals = await runDispatchSimulation(restartCommands, SEED, RUNS, false, true);
    expect(totals['completed']).to.be.greaterThan(0);
    expect(totals['interrupted']).to.be.greaterThan(0);
  });

  it('hold when VMs are suspended and their time of day is stepped', async () => {
    const totals = await runDispatchSimulation(suspensionCommands, SUSPENSION_SEED, RUNS, false);
    expect(totals['completed']).to.be.greaterThan(0);
    expect(totals['interrupted']).to.be.greaterThan(0);
  });

  it('hold when the capacity of upstreams changes', async () => {
    const totals = await runDispatchSimulation(capacityCommands, CAPACITY_SEED, RUNS, false);
    expect(totals['completed']).to.be.greaterThan(0);
    expect(totals['interrupted']).to.be.greaterThan(0);
  });

  // Guards against a start beyond the capacity of a restarted upstream, and against two concurrent runs of a task after a
  // late call of the earlier session extended its lease.
  for (const { seed, runs } of RESTART_SEEDS) {
    it(`hold when upstreams restart under the same id, seed ${seed}`, async () => {
      const totals = await runDispatchSimulation(restartCommands, seed, runs, false, true);
      expect(totals['completed']).to.be.greaterThan(0);
    });
  }

  it('hold when many stops are lost or late and callers come again', async () => {
    const totals = await runOrphanSimulation(orphanCommands, ORPHAN_SEED, RUNS, false);
    expect(totals['completed']).to.be.greaterThan(0);
    expect(totals['interrupted']).to.be.greaterThan(0);
  });

  // Guards against runs that go on beside a second start of their task, because their lease is extended while their
  // stops are lost.
  for (const { seed, runs } of ORPHAN_SEEDS) {
    it(`hold when many stops are lost or late and callers come again, seed ${seed}`, async () => {
      const totals = await runOrphanSimulation(orphanCommands, seed, runs, false);
      expect(totals['submitted']).to.be.greaterThan(0);
    });
  }

  // Guards against a run that goes on for long after its caller left, because 18 orders in a row are lost.
  for (const seed of LOST_ORDER_SEEDS) {
    it(`hold when a caller leaves while 18 orders in a row are lost, seed ${seed}`, async () => {
      const simulation = new DispatchSimulation(seed);
      try {
        await simulation.advance(200);
        simulation.submit(0, 1, 20, 600);
        await simulation.advance(5);
        simulation.hang(5, true);
        simulation.setFates(2, 'lost', 18);
        await simulation.resubmit(0, 0);
        await simulation.settle();
      } finally {
        simulation.close();
      }
      expect(simulation.counts.submitted).to.equal(2);
    });
  }

  // Guards against a run that goes on beside a second start of its task, because a welcome on a new connection counts as a sign
  // that its dispatcher still wants it.
  for (const ms of [60, 300, 400]) {
    it(`hold when a caller leaves while a connection is unresponsive for ${ms} ms and stops are lost`, async () => {
      const simulation = new OrphanSimulation(MUTED.seed);
      try {
        await simulation.advance(700);
        simulation.submit(0, 1, 6_000, 10_000);
        await simulation.advance(300);
        simulation.disturbStops('all', 4_000);
        simulation.muteLink(0, MUTED.executor, ms);
        await simulation.resubmit(0, 1);
        await simulation.settle();
      } finally {
        simulation.close();
      }
      expect(simulation.counts.completed).to.equal(1);
    });
  }

  // Guards against a killed dispatcher passing an outdated list of emptied domains to its next incarnation.
  it('hold when a dispatcher is killed before it receives an emptied domain, seed 5004', async () => {
    const totals = await runDispatchSimulation(domainCommands, 5_004, 70, false);
    expect(totals['completed']).to.be.greaterThan(0);
  });
});
