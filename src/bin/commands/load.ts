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
 * Adds `load`.
 *
 * @param cli - the command line
 */
export function addLoadCommand(cli: CAC): void {
  cli
    .command('load', 'Send a workload to an embedded cluster and compare policies with the ideal')
    .option('--profile <name>', Object.keys(PROFILES).join(' | '), { default: 'timber-exchange' })
    .option('--shape <shape>', 'burst | steady | low', { default: 'burst' })
    .option('--seed <number>', 'seed of the plan; each round adds one', { default: 1 })
    .option('--seconds <number>', 'work, in seconds of all slots', { default: 10 })
    .option('--utilization <share>', 'steady: work that arrives over capacity', { default: 0.7 })
    .option('--policies <names>', `compared in turn: ${Object.keys(POLICIES).join(', ')}`, {
      default: 'product',
    })
    .option('--rounds <number>', 'how often each policy runs', { default: 1 })
    .option('--entries <number>', 'entries', { default: 2 })
    .option('--agents <number>', 'agents', { default: 11 })
    .option('--slots <number>', 'slots of an agent', { default: 8 })
    .option('--deadline-ms <number>', "deadline of every job instead of its kind's, ms")
    .option('--json <file>', 'write the reports')
    .option('--html <file>', 'write a page with the distributions side by side')
    .action(async (flags: LoadFlags) => {
      const profile = PROFILES[flags.profile as ProfileName];
      if (!profile) throw new SettingsError(`no profile "${flags.profile}"`);
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
