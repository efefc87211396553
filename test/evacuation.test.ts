/** Real dispatchers and executors, and failure domains that the operator has emptied. Nothing depends on speed. */
import { setTimeout as sleep } from 'node:timers/promises';

import { expect } from 'chai';

import { PlatformBench } from './fakes/PlatformBench.js';

/** As long as callers wait here: a busy machine must not make a refusal rightful. */
const TARGET_LATENCY_MS = 20_000;
/** Time from the operator's word on, after which nothing may start there, ms; from the users' rules. */
const EVACUATE_MS = 5_000;

describe('dispatchers and executors, while a failure domain is emptied,', function () {
  this.timeout(120_000);
  let bench: PlatformBench;

  beforeEach(async () => {
    bench = new PlatformBench(2, 4, TARGET_LATENCY_MS);
    bench.domains = { 'agent-1': 'north', 'agent-2': 'north', 'agent-3': 'south', 'agent-4': 'south' };
    await bench.start();
  });

  afterEach(async () => {
    await bench.stop();
    expect(bench.doubled).to.deep.equal([]);
  });

  /** Starts in `north` so far. */
  function countNorth(): number {
    return (bench.startsAt.get('i-1') ?? 0) + (bench.startsAt.get('i-2') ?? 0);
  }

  it('start nothing there from five seconds after the operator has asked for it', async () => {
    bench.store.putEvacuation('north');
    await sleep(EVACUATE_MS);
    const before = countNorth();
    const answers = await Promise.all(
      Array.from({ length: 12 }, (_, at) => bench.submit(`entry-${1 + (at % 2)}`, `job${at}`, 2, 30)),
    );
    for (const { status } of answers) expect(status).to.equal(200);
    expect(countNorth() - before).to.equal(0);
  });
});
