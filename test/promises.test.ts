import * as fc from 'fast-check';

import { FakeWorld } from './fakes/FakeWorld.js';
import { RUN_AGENTS, RUN_ENTRIES, worldCommands } from './fakes/worldCommands.js';

/** Runs of each group in CI; `npm run soak` does more. */
const RUNS = 60;
const SEED = 20261202;

function checkPromises(faults: { drop: number; repeat: number; late: number }, seed: number): void {
  const property = fc.property(worldCommands, fc.integer(), (commands, worldSeed) => {
    const world = new FakeWorld({ seed: worldSeed, entries: RUN_ENTRIES, agents: RUN_AGENTS, faults });
    fc.modelRun(() => ({ model: { commands: 0 }, real: world }), commands);
    world.settle();
  });
  // The seed and path of a failure are printed at once; `npm run soak` shrinks it.
  fc.assert(property, { numRuns: RUNS, seed, endOnFailure: true });
}

describe('the promises, under random failures', () => {
  it('hold over links that only break', () => {
    checkPromises({ drop: 0, repeat: 0, late: 0 }, SEED);
  });

  it('hold over links that drop, repeat, delay and reorder', () => {
    checkPromises({ drop: 0.02, repeat: 0.02, late: 0.05 }, SEED + 1);
  });
});
