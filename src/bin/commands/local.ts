import type { CAC } from 'cac';

import { DEFAULT_LOCAL, LOCAL_SECRET } from '../../process/localDefaults.js';
import { runUntilSignal } from './runUntilSignal.js';

interface LocalFlags {
  readonly port: number;
  readonly entries: number;
  readonly agents: number;
  readonly logLevel: string;
}

/**
 * Adds the `local` command.
 *
 * @param cli - the command line
 */
export function addLocalCommand(cli: CAC): void {
  cli
    .command('local', 'Run an entry, 11 agents, 11 stand-in upstreams and a stand-in platform in one process')
    .option('--port <number>', 'HTTP port of the first entry', { default: DEFAULT_LOCAL.port })
    .option('--entries <number>', 'number of entries', { default: DEFAULT_LOCAL.entries })
    .option('--agents <number>', 'number of agents, each with an upstream', { default: DEFAULT_LOCAL.agents })
    .option('--log-level <level>', 'trace | debug | info | warn | error | silent', {
      default: DEFAULT_LOCAL.logLevel,
    })
    .action(async ({ port, entries, agents, logLevel }: LocalFlags) => {
      const { LocalCluster } = await import('../../process/LocalCluster.js');
      const cluster = new LocalCluster({ ...DEFAULT_LOCAL, port, entries, agents, logLevel });
      await cluster.start();
      printHelp(cluster.buildEntryUrl());
      await runUntilSignal([cluster]);
    });
}

function printHelp(url: string): void {
  const tasks = [
    { kind: 'quote', body: { workMs: 80, echo: 'spruce 40x60' } },
    { kind: 'reservation', body: { workMs: 200, echo: 'batch 7' } },
  ];
  const job = JSON.stringify({ job: 'my-first-job', createdAt: 0, event: 'opening', tasks });
  const body = job.replace('"createdAt":0', `"createdAt":'$(date +%s000)'`);
  console.log(`marblehall is ready at ${url}\n`);
  console.log(`Submit a job:\n  curl -s ${url}/v1/jobs -d '${body}'\n`);
  console.log(`List its agents:\n  npx marblehall query "list agents" --entry ${url}\n`);
  console.log(`Commands require the secret ${LOCAL_SECRET}.`);
}
