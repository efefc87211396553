import type { CAC } from 'cac';

import { MarblehallError, SettingsError } from '../_lib/errors.js';
import { EXIT_FAILED, EXIT_USAGE } from './exitCodes.js';

/**
 * Runs the command given by the process arguments and sets the exit code.
 *
 * @param cli - command line with all commands added
 */
export async function runCommandLine(cli: CAC): Promise<void> {
  try {
    cli.parse(process.argv, { run: false });
    if (!cli.matchedCommand && !cli.options['help'] && !cli.options['version']) {
      cli.outputHelp();
      process.exitCode = EXIT_USAGE;
    } else {
      await cli.runMatchedCommand();
    }
  } catch (error) {
    const isUsage = !(error instanceof MarblehallError) || error instanceof SettingsError;
    process.exitCode = isUsage ? EXIT_USAGE : EXIT_FAILED;
    console.error(error instanceof Error ? error.message : String(error));
  }
}
