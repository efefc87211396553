/** Measurements: `npm run bench -- burst|...`. Every figure is a ratio within one run, or says what it is. */
import { cac } from 'cac';

import type { ProfileName } from '../src/load/profile.js';
import { benchBurst } from './burst.js';

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

cli.help();
cli.parse(process.argv, { run: false });
await cli.runMatchedCommand();
process.exit(0);
