import { expect } from 'chai';

import { CapacityModel } from './fakes/CapacityModel.js';
import type { CapacityCounts, CapacityScenario } from './fakes/CapacityModel.js';

const SEED = 20261203;
const TRANSIT_MS = 1;
/** Peak load as a share of the capacity. */
const PEAK = 0.95;
/** Largest share of rejected starts at the peak. */
const MAX_REJECTED_SHARE = 0.03;
/** Largest share of jobs that may be late or lost in addition to those with `open` sharing. */
const MAX_LOSS = 0.06;

async function runModel(change: Partial<CapacityScenario>): Promise<CapacityCounts> {
  const base = { load: PEAK, transitMs: TRANSIT_MS, seed: SEED, durationMs: 5_000, countFromMs: 1_500 };
  return new CapacityModel({ ...base, sharing: 'demand', ...change }).run();
}

function computeRejectedShare({ full, starts }: CapacityCounts): number {
  return full / starts;
}

function computeInTimeShare({ inTime, submitted }: CapacityCounts): number {
  return inTime / submitted;
}

describe('dispatchers that compete for the capacity of executors', function () {
  this.timeout(120_000);

  let open: CapacityCounts;
  let divided: CapacityCounts;

  before(async () => {
    open = await runModel({ sharing: 'open' });
    divided = await runModel({});
  });

  it('have over 12% of their starts rejected with `open`', () => {
    expect(computeRejectedShare(open)).to.be.greaterThan(0.12);
  });

  it('have few starts rejected when capacity is divided by demand, with transit times from 0.5 to 3 ms', async () => {
    for (const transitMs of [0.5, TRANSIT_MS, 3]) {
      const count = transitMs === TRANSIT_MS ? divided : await runModel({ transitMs });
      expect(computeRejectedShare(count), `${transitMs} ms`).to.be.lessThan(MAX_REJECTED_SHARE);
    }
  });

  it('serve at most 6 points fewer jobs in time than with `open`', () => {
    expect(computeInTimeShare(divided)).to.be.greaterThan(computeInTimeShare(open) - MAX_LOSS);
    expect(divided.completed / divided.submitted).to.be.greaterThan(0.96);
  });

  it('leave little capacity unused while tasks wait', () => {
    const { idleWhileWaiting, steps } = divided;
    expect(idleWhileWaiting / steps).to.be.lessThan(0.06);
  });

  it('serve as many jobs in time as with `open` at half load', async () => {
    const baseline = await runModel({ sharing: 'open', load: 0.5 });
    expect(computeInTimeShare(await runModel({ load: 0.5 }))).to.be.greaterThan(
      computeInTimeShare(baseline) - 0.01,
    );
  });

  it('get the same result as with `open` when they report no demand', async () => {
    const earlier = await runModel({ earlierDispatchers: 8 });
    expect(earlier.full).to.equal(open.full);
    expect(earlier.completed).to.equal(open.completed);
  });
});

describe('capacity that was reported to a dispatcher', function () {
  this.timeout(120_000);

  /** Time after a failure until the capacity of the dispatcher is free again, and one ping interval, ms. */
  const RECOVERY_MS = 700;
  const FAILS_AT = 2_000;

  /** Returns the share of capacity that is idle while tasks wait, after the recovery time. */
  async function measureIdle(run: (model: CapacityModel) => void): Promise<number> {
    const events = [{ at: FAILS_AT, run }];
    const { idleWhileWaiting, steps } = await runModel({
      events,
      countFromMs: FAILS_AT + RECOVERY_MS,
      load: 1,
    });
    return idleWhileWaiting / steps;
  }

  const failures: [string, (model: CapacityModel) => void][] = [
    [
      'dies',
      ({ dispatchers, executors }) =>
        executors.forEach((executor) => killDispatcher(dispatchers[0], executor)),
    ],
    ['freezes', ({ dispatchers: [first] }) => first && (first.state = 'frozen')],
    ['is cut off', ({ dispatchers: [first] }) => first && (first.isPartitioned = true)],
  ];

  function killDispatcher(
    dispatcher: CapacityModel['dispatchers'][number] | undefined,
    executor: CapacityModel['executors'][number],
  ): void {
    if (!dispatcher) return;
    dispatcher.state = 'dead';
    executor.unlink(dispatcher);
  }

  for (const [what, run] of failures) {
    it(`is used by others when the busiest ${what}`, async () => {
      expect(await measureIdle(run)).to.be.lessThan(0.08);
    });
  }

  it('is used when executors restart, shrink or are emptied', async () => {
    const idle = await measureIdle((model) => {
      model.executors[0]?.end();
      model.addExecutor(0, 2);
      model.executors[1]?.report({ cpuMilli: 5_000, memoryMb: 65_536, gpus: 0 });
      for (const { index } of model.dispatchers) model.dispatchers[index]?.core.setEmptied(['b']);
      for (const executor of model.executors) if (executor.domain === 'b') executor.setEmptied();
    });
    expect(idle).to.be.lessThan(0.08);
  });

  it('causes few rejected starts when demand is 1.5 times the capacity', async () => {
    const count = await runModel({ load: 1.5, countFromMs: 500, durationMs: 4_000 });
    expect(computeRejectedShare(count)).to.be.lessThan(MAX_REJECTED_SHARE);
  });
});
