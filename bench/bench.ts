/** Measurements: `npm run bench -- burst|...`. Every figure is a ratio within one run, or says what it is. */
import { cac } from 'cac';

import type { ProfileName } from '../src/load/profile.js';
import { benchBurst } from './burst.js';
import { benchKills } from './kills.js';

const cli = cac('bench');

interface BurstFlags {
  readonly seconds: number;
  readonly policies: string;
  readonly profiles: string;
  readonly rounds: number;
}

cli
  .command('burst', 'Burst at the start, policies in turn on separate processes')
  .option('--seconds <number>', 'work, in seconds of all 88 slots', { default: 10 })
  .option('--policies <names>', 'compared in turn', { default: 'product,baseline' })
  .option('--profiles <names>', 'workloads', { default: 'timber-exchange,tender-desk' })
  .option('--rounds <number>', 'seeds', { default: 1 })
  .action(async ({ seconds, policies, profiles, rounds }: BurstFlags) => {
    const names = profiles.split(',') as ProfileName[];
    await benchBurst({ seconds, policies: policies.split(','), profiles: names, rounds });
  });

interface KillFlags {
  readonly tasks: number;
  readonly seed: number;
  readonly every: number;
  readonly victims: 'entries' | 'agents' | 'both';
}

cli
  .command('kills', 'Starts counted under kills and resubmission')
  .option('--tasks <number>', 'tasks', { default: 200_000 })
  .option('--seed <number>', 'seed', { default: 1 })
  .option('--every <ms>', 'between two kills', { default: 3_000 })
  .option('--victims <names>', 'entries | agents | both', { default: 'both' })
  .action(async ({ tasks, seed, every, victims }: KillFlags) => {
    await benchKills({ tasks, seed, killEveryMs: every, victims });
  });

cli.help();
cli.parse(process.argv, { run: false });
await cli.runMatchedCommand();
process.exit(0);
