#!/usr/bin/env node
/** Command-line interface: daemons, stand-ins and tools. */
import './ignoreHangUp.js';

import { cac } from 'cac';

import { addCheckCommand } from './commands/check.js';
import { addDaemonCommands } from './commands/daemons.js';
import { addExplainCommand } from './commands/explain.js';
import { addLoadCommand } from './commands/load.js';
import { addLocalCommand } from './commands/local.js';
import { addQueryCommand } from './commands/query.js';
import { addReportCommand } from './commands/report.js';
import { addServeCommand } from './commands/serve.js';
import { addStandinCommands } from './commands/standin.js';
import { addSubmitCommand } from './commands/submit.js';
import { runCommandLine } from './runCommandLine.js';

const cli = cac('marblehall');
addLocalCommand(cli);
addDaemonCommands(cli);
addServeCommand(cli);
addStandinCommands(cli);
addSubmitCommand(cli);
addQueryCommand(cli);
addCheckCommand(cli);
addExplainCommand(cli);
addReportCommand(cli);
addLoadCommand(cli);
cli.help();
cli.version('0.1.0');

await runCommandLine(cli);
