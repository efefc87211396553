/**
 * Generates the validators of messages and settings from their schemas: `npm run generate:validators`. The
 * generated code is committed, so that no schema is compiled when a process starts.
 */
import { writeFile } from 'node:fs/promises';

import { buildValidatorModules } from './buildValidatorModules.js';

for (const { file, text } of await buildValidatorModules()) await writeFile(file, text);
