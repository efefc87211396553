import * as fc from 'fast-check';

import type { dispatchCommands } from './dispatchCommands.js';
import { DispatchSimulation } from './DispatchSimulation.js';
import type { orphanCommands } from './orphanCommands.js';
import { OrphanSimulation } from './OrphanSimulation.js';

/**
 * Simulates dispatchers and executors under random faults.
 *
 * @param drawn - arbitrary of the commands of a run
 * @param seed - first seed
 * @param runs - number of runs
 * @param shrink - whether a failure is shrunk, which is slow
 * @param keepsIds - whether incarnations of an upstream share an id
 * @returns number of submissions and of answers by kind
 * @throws if an invariant is violated, with seed and commands
 */
export async function runDispatchSimulation(
  drawn: typeof dispatchCommands,
  seed: number,
  runs: number,
  shrink: boolean,
  keepsIds = false,
): Promise<Record<string, number>> {
  const create = (simulationSeed: number) => new DispatchSimulation(simulationSeed, keepsIds);
  return runSimulations(drawn, create, seed, runs, shrink);
}

/** Simulates lost dispatchers and callers while orders are lost or late; see `runDispatchSimulation`. */
export async function runOrphanSimulation(
  drawn: typeof orphanCommands,
  seed: number,
  runs: number,
  shrink: boolean,
): Promise<Record<string, number>> {
  return runSimulations(drawn, (simulationSeed) => new OrphanSimulation(simulationSeed), seed, runs, shrink);
}

async function runSimulations<Simulation extends DispatchSimulation>(
  drawn: fc.Arbitrary<Iterable<fc.AsyncCommand<object, Simulation>>>,
  create: (simulationSeed: number) => Simulation,
  seed: number,
  runs: number,
  shrink: boolean,
): Promise<Record<string, number>> {
  const totals: Record<string, number> = {};
  const property = fc.asyncProperty(drawn, fc.integer(), async (commands, simulationSeed) => {
    const simulation = create(simulationSeed);
    try {
      await simulation.advance(200);
      await fc.asyncModelRun(() => ({ model: {}, real: simulation }), commands);
      await simulation.settle();
    } finally {
      simulation.close();
    }
    for (const [name, count] of Object.entries(simulation.counts)) totals[name] = (totals[name] ?? 0) + count;
  });
  await fc.assert(property, { numRuns: runs, seed, endOnFailure: !shrink });
  return totals;
}
