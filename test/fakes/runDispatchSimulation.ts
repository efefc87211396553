import * as fc from 'fast-check';

import type { dispatchCommands } from './dispatchCommands.js';
import { DispatchSimulation } from './DispatchSimulation.js';

/**
 * Runs dispatchers and agents through random failures.
 *
 * @param drawn - what the commands of a run are drawn from
 * @param seed - first seed
 * @param runs - number of runs
 * @param shrink - whether a failure is reduced, which takes long
 * @param keepsIds - whether lives of an upstream follow each other under one id
 * @returns what was submitted and how it was answered
 * @throws when a promise is broken, with seed and commands
 */
export async function runDispatchSimulation(
  drawn: typeof dispatchCommands,
  seed: number,
  runs: number,
  shrink: boolean,
  keepsIds = false,
): Promise<Record<string, number>> {
  const totals: Record<string, number> = {};
  const property = fc.asyncProperty(drawn, fc.integer(), async (commands, simulationSeed) => {
    const simulation = new DispatchSimulation(simulationSeed, keepsIds);
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
