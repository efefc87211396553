import { expect } from 'chai';

import { runCongestion, TRIGGER_UNTIL_MS } from './fakes/CongestionModel.js';
import { DelayWindow, LossWindow, UnboundedWindow } from '../src/process/dispatcher/SendWindow.js';
import type { SendWindow } from '../src/process/dispatcher/SendWindow.js';
import type { CongestionScenario } from './fakes/CongestionModel.js';

/** Time allowed for recovery, ms, and the share of completed jobs that counts as recovered. */
const RECOVERY_MS = 2_000;
const RECOVERED_SHARE = 0.9;
const SEED = 20261202;

/** Links from slow to never saturated, job texts from short to the longest allowed. */
const RATES_MBPS = [0.5, 2, 10, 100];
const BODIES = [40, 1_200, 16_000];
/** Numbers of dispatchers; each has its own link. */
const DISPATCHERS = [1, 3, 35];

function listScenarios(createWindow: () => SendWindow): CongestionScenario[] {
  const loads = { load: 0.7, triggerLoad: 1.5, seed: SEED, createWindow };
  const alone = RATES_MBPS.flatMap((mbps) =>
    BODIES.map((bodyBytes) => ({ mbps, bodyBytes, dispatchers: 1, ...loads })),
  );
  const together = DISPATCHERS.slice(1).map((dispatchers) => {
    return { mbps: 2, bodyBytes: 1_200, dispatchers, ...loads };
  });
  return [...alone, ...together];
}

describe('dispatchers whose links were overloaded for a while', function () {
  this.timeout(120_000);

  /** Lists the scenarios that do not recover. */
  function listFailures(createWindow: () => SendWindow): string[] {
    return listScenarios(createWindow).flatMap((scenario) => {
      const back = runCongestion(scenario).slice((TRIGGER_UNTIL_MS + RECOVERY_MS) / 1_000);
      const shares = back.slice(0, -1).map(({ submitted, completed }) => completed / submitted);
      const { mbps, bodyBytes, dispatchers } = scenario;
      const what = `${mbps} Mbit/s, ${bodyBytes} bytes, ${dispatchers} dispatchers: ${shares.join()}`;
      return shares.every((share) => share >= RECOVERED_SHARE) ? [] : [what];
    });
  }

  it('recover within two seconds after the overload', () => {
    expect(listFailures(() => new DelayWindow())).to.deep.equal([]);
  });

  it('also recover when only expired starts indicate the overload', () => {
    expect(listFailures(() => new LossWindow())).to.deep.equal([]);
  });

  it('do not recover without a window, which validates the model', () => {
    expect(listFailures(() => new UnboundedWindow())).to.have.length.greaterThan(5);
  });
});
