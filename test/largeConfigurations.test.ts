/**
 * Delay of other messages by a change of a large configuration, on virtual time. Guards against a feedback loop: pongs
 * wait behind the configuration, links are closed as unresponsive, and each new link requests the configuration again.
 */
import { expect } from 'chai';

import { runConfigurationChange } from './fakes/ConfigurationModel.js';
import type { ConfigurationScenario } from './fakes/ConfigurationModel.js';

const CHANGE_MS = 1_000;
/** Longest additional delay of starts and pongs by a configuration change, ms. */
const MAX_DELAY_MS = 50;
/** Time within which executors must have the services of a version, ms. */
const SERVICES_MS = 2_000;
const RATES_MBPS = [2, 17.5, 1_000];
const ROUTES = [10, 1_500, 5_000];
const EXECUTORS = [54, 200];
const BASE = { dispatchers: 8, changes: [CHANGE_MS], untilMs: 180_000, seed: 20261203 };

const SCENARIOS: ConfigurationScenario[] = EXECUTORS.flatMap((executors) =>
  RATES_MBPS.flatMap((mbps) => ROUTES.map((routes) => ({ ...BASE, executors, mbps, routes }))),
);

describe('a change of the configuration', function () {
  this.timeout(120_000);

  for (const scenario of SCENARIOS) {
    const { mbps, routes, executors } = scenario;
    it(`with ${routes} routes on links of ${mbps} Mbit/s delays no other message for ${executors} executors`, () => {
      const quiet = runConfigurationChange({ ...scenario, changes: [], untilMs: 10_000 });
      const { lateMs, servicesMs, wholeMs } = runConfigurationChange(scenario);
      expect(lateMs - quiet.lateMs, 'late').to.be.at.most(MAX_DELAY_MS);
      expect(servicesMs - CHANGE_MS, 'services known').to.be.at.most(SERVICES_MS);
      expect(wholeMs, 'all up to date').to.be.lessThan(scenario.untilMs);
    });
  }

  it('costs about as much as the newest version when ten are written within 4 s', () => {
    const scenario = { ...BASE, mbps: 17.5, routes: 1_500, executors: 54 };
    const changes = Array.from({ length: 10 }, (_, at) => CHANGE_MS + at * 400);
    const once = runConfigurationChange(scenario);
    const often = runConfigurationChange({ ...scenario, changes });
    expect(often.wholeMs).to.be.lessThan(scenario.untilMs);
    expect(often.bytes / once.bytes).to.be.at.most(1.5);
    expect(often.lateMs - once.lateMs).to.be.at.most(MAX_DELAY_MS);
  });
});
