import { expect } from 'chai';

import { runDispatchWorld } from './fakes/runDispatchWorld.js';

/** Runs in CI; `npm run soak -- --core dispatch` does more. */
const RUNS = 40;
const SEED = 20261202;

describe('the promises of dispatchers and agents, under random failures', function () {
  this.timeout(300_000);

  it('hold', async () => {
    const totals = await runDispatchWorld(SEED, RUNS, false);
    expect(totals['completed']).to.be.greaterThan(0);
    expect(totals['interrupted']).to.be.greaterThan(0);
  });
});
