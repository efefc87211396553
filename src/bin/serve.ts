#!/usr/bin/env node
/** Entry point with the `serve` command only, so that a daemon loads no other modules and starts quickly. */
import './ignoreHangUp.js';

import { cac } from 'cac';

import { addServeCommand } from './commands/serve.js';
import { runCommandLine } from './runCommandLine.js';

const cli = cac('marblehall');
addServeCommand(cli);
cli.help();
void runCommandLine(cli);
