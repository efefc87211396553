import * as fc from 'fast-check';

import { ClusterSimulation } from './fakes/ClusterSimulation.js';
import { runOvertaking, RUN_AGENTS, RUN_ENTRIES, clusterCommands } from './fakes/clusterCommands.js';

/** Runs of each group in CI; `npm run soak` runs more. */
const RUNS = 60;
const SEED = 20261202;

function checkPromises(faults: { drop: number; repeat: number; late: number }, seed: number): void {
  const property = fc.property(clusterCommands, fc.integer(), (commands, simulationSeed) => {
    const simulation = new ClusterSimulation({
      seed: simulationSeed,
      entries: RUN_ENTRIES,
      agents: RUN_AGENTS,
      faults,
    });
    fc.modelRun(() => ({ model: { commands: 0 }, real: simulation }), commands);
    simulation.settle();
  });
  // Prints seed and path of a failure without shrinking; `npm run soak` shrinks it.
  fc.assert(property, { numRuns: RUNS, seed, endOnFailure: true });
}

describe('invariants under random faults', () => {
  it('hold with links that only break', () => {
    checkPromises({ drop: 0, repeat: 0, late: 0 }, SEED);
  });

  it('hold with links that drop, repeat, delay and reorder messages', () => {
    checkPromises({ drop: 0.02, repeat: 0.02, late: 0.05 }, SEED + 1);
  });

  // Guards against a split brain: a task was started on both sides after an entry outside the partition had removed the
  // registrars inside it by a majority from before the partition.
  it('hold when a failure domain with most registrars is partitioned', () => {
    const faults = { drop: 0.1, repeat: 0.05, late: 0.2 };
    const simulation = new ClusterSimulation({
      seed: -1073741820,
      entries: RUN_ENTRIES,
      agents: RUN_AGENTS,
      faults,
    });
    for (const agent of ['agent-4', 'agent-3', 'agent-0']) simulation.leave(agent);
    runOvertaking(simulation, 0, 0, 5, 4_000);
    simulation.cutDomain(2);
    runOvertaking(simulation, 0, 0, 5, 7_969);
    runOvertaking(simulation, 1, 1, 5, 4_000);
    simulation.settle();
  });
});
