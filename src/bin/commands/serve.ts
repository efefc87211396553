import { watchFile } from 'node:fs';

import type { CAC } from 'cac';

import { SettingsError } from '../../_lib/errors.js';
import type { DispatchSettings } from '../../process/settings/dispatchSettings.js';

/** Polling interval of the settings file, ms; it may change without a signal. */
const WATCH_INTERVAL_MS = 2_000;

/** A daemon that this command runs. */
interface ServedDaemon {
  start(): Promise<void>;
  reload(settings: DispatchSettings): void;
  stop(): Promise<void>;
}

interface ServeFlags {
  readonly settings?: string;
}

/**
 * Adds the `serve` command.
 *
 * @param cli - the command line
 */
export function addServeCommand(cli: CAC): void {
  cli
    .command('serve <role>', 'Run a dispatcher or an executor on the platform')
    .option('--settings <file>', 'settings file (JSON); by default the one provided by the platform')
    .action(async (role: string, flags: ServeFlags) => {
      const { findSettingsFile } = await import('../../../platform/openPlatform.js');
      const file = flags.settings ?? findSettingsFile();
      if (file === undefined) throw new SettingsError('no settings file found, specify --settings FILE');
      const { readDispatchSettings } = await import('../../process/settings/readDispatchSettings.js');
      const daemon = await createDaemon(role, readDispatchSettings(file));
      const reload = (): void => {
        try {
          daemon.reload(readDispatchSettings(file));
        } catch (error) {
          console.error(error instanceof Error ? error.message : String(error));
        }
      };
      process.on('SIGHUP', reload);
      process.on('SIGTERM', () => void daemon.stop().then(() => process.exit(0)));
      watchFile(file, { interval: WATCH_INTERVAL_MS }, reload);
      await daemon.start();
    });
}

async function createDaemon(role: string, settings: DispatchSettings): Promise<ServedDaemon> {
  const { openDispatcherPorts, openExecutorPorts } = await import('../../../platform/openPlatform.js');
  if (role === 'dispatcher') {
    const { DispatcherDaemon } = await import('../../process/dispatcher/DispatcherDaemon.js');
    return new DispatcherDaemon(settings, openDispatcherPorts(settings));
  }
  if (role !== 'executor') throw new SettingsError(`unknown role "${role}", expected dispatcher or executor`);
  const { ExecutorDaemon } = await import('../../process/executor/ExecutorDaemon.js');
  return new ExecutorDaemon(settings, openExecutorPorts(settings));
}
