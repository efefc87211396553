import type { CAC } from 'cac';

import { describeSettings } from '../../process/settings/describeSettings.js';
import { readSettings } from '../../process/settings/readSettings.js';
import { runUntilSignal } from './runUntilSignal.js';

interface DaemonFlags {
  readonly settings?: string;
}

/**
 * Adds the `entry` and `agent` commands.
 *
 * @param cli - the command line
 */
export function addDaemonCommands(cli: CAC): void {
  cli
    .command('entry', 'Run an entry, which accepts jobs over HTTP and coordinates them')
    .option('--settings <file>', 'settings file (JSON)')
    .example(() => describeSettings('entry'))
    .action(async ({ settings }: DaemonFlags) => {
      const { EntryDaemon } = await import('../../process/entry/EntryDaemon.js');
      const entry = new EntryDaemon(await readSettings('entry', settings));
      await entry.start();
      await runUntilSignal([entry]);
    });
  cli
    .command('agent', 'Run an agent, which runs tasks on the upstream of its VM')
    .option('--settings <file>', 'settings file (JSON)')
    .example(() => describeSettings('agent'))
    .action(async ({ settings }: DaemonFlags) => {
      const { AgentDaemon } = await import('../../process/agent/AgentDaemon.js');
      const agent = new AgentDaemon(await readSettings('agent', settings));
      await agent.start();
      await runUntilSignal([agent]);
    });
}
