#!/usr/bin/env node
/** The one binary: every daemon, stand-in and tool is a command of it. */
import { cac } from 'cac';

import { MarblehallError, SettingsError } from '../_lib/errors.js';
import { addCheckCommand } from './commands/check.js';
import { addDaemonCommands } from './commands/daemons.js';
import { addLoadCommand } from './commands/load.js';
import { addLocalCommand } from './commands/local.js';
import { addQueryCommand } from './commands/query.js';
import { addServeCommand } from './commands/serve.js';
import { addStandinCommands } from './commands/standin.js';
import { addSubmitCommand } from './commands/submit.js';
import { EXIT_FAILED, EXIT_USAGE } from './exitCodes.js';

const cli = cac('marblehall');
addLocalCommand(cli);
addDaemonCommands(cli);
addServeCommand(cli);
addStandinCommands(cli);
addSubmitCommand(cli);
addQueryCommand(cli);
addCheckCommand(cli);
addLoadCommand(cli);
cli.help();
cli.version('0.1.0');

try {
  cli.parse(process.argv, { run: false });
  if (!cli.matchedCommand && !cli.options['help'] && !cli.options['version']) {
    cli.outputHelp();
    process.exitCode = EXIT_USAGE;
  } else {
    await cli.runMatchedCommand();
  }
} catch (error) {
  process.exitCode =
    error instanceof MarblehallError && !(error instanceof SettingsError) ? EXIT_FAILED : EXIT_USAGE;
  console.error(error instanceof Error ? error.message : String(error));
}
