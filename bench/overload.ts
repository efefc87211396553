/** Runs a load of three times the capacity and reports goodput and refusals: `npm run bench -- overload`. */
import { PROFILES } from '../src/load/profile.js';
import type { ProfileName } from '../src/load/profile.js';
import { summarize } from './burst.js';
import { measureRun } from './measureRun.js';

/** Offered load as a multiple of the capacity. */
const OVERLOAD = 3;

/** Runs the overload for each profile and policy, and prints a line of JSON for each. */
export async function benchOverload(options: {
  readonly seconds: number;
  readonly profiles: readonly ProfileName[];
  readonly policies: readonly string[];
}): Promise<void> {
  for (const profile of options.profiles) {
    for (const policy of options.policies) {
      const report = await measureRun({
        policy,
        profile: PROFILES[profile],
        shape: 'steady',
        seed: 1,
        workSeconds: options.seconds * OVERLOAD,
        utilization: OVERLOAD,
        entries: 2,
        agents: 11,
        slotsPerAgent: 8,
      });
      const { goodput } = report;
      console.log(
        JSON.stringify({
          profile,
          overload: OVERLOAD,
          goodput: Number(goodput.toFixed(4)),
          ...summarize(report),
        }),
      );
    }
  }
}
