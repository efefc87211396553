/** Measurements: `npm run bench -- burst|...`. Every figure is a ratio within one run, or says what it is. */
import { cac } from 'cac';

import type { ProfileName } from '../src/load/profile.js';
import { benchBurst } from './burst.js';
import { benchKills } from './kills.js';
import { benchLow } from './low.js';
import { benchMachines } from './machines.js';
import { benchOverload } from './overload.js';
import { benchPlanned } from './planned.js';
import { benchThroughput } from './throughput.js';

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

cli
  .command('low', 'Added response at low load, beside direct calls')
  .option('--pairs <number>', 'pairs of calls', { default: 400 })
  .action(async ({ pairs }: { pairs: number }) => benchLow(pairs));

cli
  .command('throughput', 'Most task starts a second of one entry, with and without decision logs')
  .option('--agents <number>', 'agents', { default: 11 })
  .action(async ({ agents }: { agents: number }) => benchThroughput(agents));

cli
  .command('overload', 'Three times the capacity')
  .option('--seconds <number>', 'how long', { default: 15 })
  .option('--profiles <names>', 'workloads', { default: 'timber-exchange,tender-desk' })
  .option('--policies <names>', 'compared in turn', { default: 'product,baseline' })
  .action(
    async ({ seconds, profiles, policies }: { seconds: number; profiles: string; policies: string }) => {
      await benchOverload({
        seconds,
        profiles: profiles.split(',') as ProfileName[],
        policies: policies.split(','),
      });
    },
  );

cli
  .command('planned', '1,000 jobs while an agent and an entry stop as planned')
  .option('--seed <number>', 'seed', { default: 1 })
  .action(async ({ seed }: { seed: number }) => benchPlanned(seed));

cli.command('machines', 'What state machines cost a task').action(() => benchMachines());

cli.help();
cli.parse(process.argv, { run: false });
await cli.runMatchedCommand();
process.exit(0);
