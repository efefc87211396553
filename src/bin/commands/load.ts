import { writeFile } from 'node:fs/promises';

import type { CAC } from 'cac';

import { SettingsError } from '../../_lib/errors.js';
import type { LoadReport } from '../../load/buildReport.js';
import type { ArrivalShape, ProfileName } from '../../load/profile.js';
import { PROFILES } from '../../load/profile.js';
import { POLICIES } from '../../load/policies.js';
import { EXIT_FAILED } from '../exitCodes.js';

interface LoadFlags {
  readonly profile: string;
  readonly shape: ArrivalShape;
  readonly seed: number;
  readonly seconds: number;
  readonly utilization: number;
  readonly policies: string;
  readonly rounds: number;
  readonly entries: number;
  readonly agents: number;
  readonly slots: number;
  readonly deadlineMs?: number;
  readonly json?: string;
  readonly html?: string;
}

/**
 * Adds the `load` command.
 *
 * @param cli - the command line
 */
export function addLoadCommand(cli: CAC): void {
  cli
    .command('load', 'Run a workload on an embedded cluster and compare policies with the ideal schedule')
    .option('--profile <name>', Object.keys(PROFILES).join(' | '), { default: 'timber-exchange' })
    .option('--shape <shape>', 'burst | steady | low', { default: 'burst' })
    .option('--seed <number>', 'seed of the plan, incremented in each round', { default: 1 })
    .option('--seconds <number>', 'amount of work, in seconds of all slots', { default: 10 })
    .option('--utilization <share>', 'steady: arriving work relative to capacity', { default: 0.7 })
    .option('--policies <names>', `policies, comma-separated: ${Object.keys(POLICIES).join(', ')}`, {
      default: 'product',
    })
    .option('--rounds <number>', 'number of runs of each policy', { default: 1 })
    .option('--entries <number>', 'number of entries', { default: 2 })
    .option('--agents <number>', 'number of agents', { default: 11 })
    .option('--slots <number>', 'number of slots of each agent', { default: 8 })
    .option('--deadline-ms <number>', 'deadline of every job, overrides those of the kinds, ms')
    .option('--json <file>', 'write the reports as JSON')
    .option('--html <file>', 'write an HTML page that compares the distributions')
    .action(async (flags: LoadFlags) => {
      const profile = PROFILES[flags.profile as ProfileName];
      if (!profile) throw new SettingsError(`unknown profile "${flags.profile}"`);
      const { runEmbedded } = await import('../../load/runEmbedded.js');
      const { renderReport } = await import('../../load/renderReport.js');
      const reports: LoadReport[] = [];
      for (let round = 0; round < flags.rounds; round += 1) {
        for (const policy of flags.policies.split(',')) {
          const report = await runEmbedded({
            policy,
            profile,
            shape: flags.shape,
            seed: flags.seed + round,
            workSeconds: flags.seconds,
            utilization: flags.utilization,
            entries: flags.entries,
            agents: flags.agents,
            slotsPerAgent: flags.slots,
            ...(flags.deadlineMs === undefined ? {} : { deadlineMs: flags.deadlineMs }),
          });
          reports.push(report);
          console.log(JSON.stringify(report));
        }
      }
      if (flags.json) await writeFile(flags.json, JSON.stringify(reports, undefined, 2));
      if (flags.html) await writeFile(flags.html, renderReport(reports));
      const broken = reports.some(
        (report) => report.doubleStarts > 0 || (report.outcomes['broken'] ?? 0) > 0,
      );
      if (broken) process.exitCode = EXIT_FAILED;
    });
}
