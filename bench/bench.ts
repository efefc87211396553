/** Benchmarks: `npm run bench -- <command>`. */
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
  .command('burst', 'Burst of jobs at the start of an event, on separate processes')
  .option('--seconds <number>', 'total work, in seconds of all 88 slots', { default: 10 })
  .option('--policies <names>', 'policies to compare', { default: 'product,baseline' })
  .option('--profiles <names>', 'workloads', { default: 'timber-exchange,tender-desk' })
  .option('--rounds <number>', 'number of seeds', { default: 1 })
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
  .command('kills', 'Duplicate starts while processes are killed and jobs are resubmitted')
  .option('--tasks <number>', 'tasks', { default: 200_000 })
  .option('--seed <number>', 'seed', { default: 1 })
  .option('--every <ms>', 'interval between kills', { default: 3_000 })
  .option('--victims <names>', 'entries | agents | both', { default: 'both' })
  .action(async ({ tasks, seed, every, victims }: KillFlags) => {
    await benchKills({ tasks, seed, killEveryMs: every, victims });
  });

cli
  .command('low', 'Response time added at low load, compared with direct calls')
  .option('--pairs <number>', 'pairs of calls', { default: 400 })
  .action(async ({ pairs }: { pairs: number }) => benchLow(pairs));

cli
  .command('throughput', 'Highest rate of task starts of one entry, with and without decision logs')
  .option('--agents <number>', 'agents', { default: 11 })
  .action(async ({ agents }: { agents: number }) => benchThroughput(agents));

cli
  .command('overload', 'Load of three times the capacity')
  .option('--seconds <number>', 'duration', { default: 15 })
  .option('--profiles <names>', 'workloads', { default: 'timber-exchange,tender-desk' })
  .option('--policies <names>', 'policies to compare', { default: 'product,baseline' })
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
  .command('planned', '1,000 jobs during a planned stop of an agent and an entry')
  .option('--seed <number>', 'seed', { default: 1 })
  .action(async ({ seed }: { seed: number }) => benchPlanned(seed));

cli.command('machines', 'Time of state transitions per task').action(() => benchMachines());

cli.help();
cli.parse(process.argv, { run: false });
await cli.runMatchedCommand();
process.exit(0);
