import type { CAC } from 'cac';

import type { PlatformStandin } from '../../../standins/platform/PlatformStandin.js';
import type { UpstreamStandin } from '../../../standins/upstream/UpstreamStandin.js';
import { SettingsError } from '../../_lib/errors.js';
import { describeSettings } from '../../process/settings/describeSettings.js';
import { readSettings } from '../../process/settings/readSettings.js';
import { runUntilSignal } from './runUntilSignal.js';

interface StandinFlags {
  readonly settings?: string;
  readonly port?: number;
}

/**
 * Adds the `standin platform` and `standin upstream` commands.
 *
 * @param cli - the command line
 */
export function addStandinCommands(cli: CAC): void {
  cli
    .command('standin <system>', 'Run a stand-in for an external system: platform or upstream')
    .option('--settings <file>', 'settings file (JSON)')
    .option('--port <number>', 'port, overrides the settings')
    .example(() => describeSettings('platform'))
    .example(() => describeSettings('upstream'))
    .action(async (system: string, { settings, port }: StandinFlags) => {
      const overrides = port === undefined ? {} : { port };
      if (system === 'platform') {
        const checked = await readSettings('platform', settings, overrides);
        const standin = await import('../../../standins/platform/PlatformStandin.js');
        await serve(new standin.PlatformStandin(checked), checked.host, checked.port, system);
      } else if (system === 'upstream') {
        const checked = await readSettings('upstream', settings, overrides);
        const standin = await import('../../../standins/upstream/UpstreamStandin.js');
        await serve(new standin.UpstreamStandin(checked), checked.host, checked.port, system);
      } else {
        throw new SettingsError(`unknown stand-in "${system}", expected platform or upstream`);
      }
    });
}

async function serve(
  standin: PlatformStandin | UpstreamStandin,
  host: string,
  port: number,
  system: string,
): Promise<void> {
  const url = await standin.start(host, port);
  console.log(JSON.stringify({ event: 'started', standin: system, url }));
  await runUntilSignal([standin]);
}
