#!/usr/bin/env node
/** The daemons of the platform alone: a restarted process must serve again soon, so nothing else is loaded. */
import './surviveHangUp.js';

import { cac } from 'cac';

import { addServeCommand } from './commands/serve.js';
import { runCommandLine } from './runCommandLine.js';

const cli = cac('marblehall');
addServeCommand(cli);
cli.help();
void runCommandLine(cli);
