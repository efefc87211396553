/**
 * Writes the code that checks what comes from outside, from the schemas that stand beside it. It is committed, so that
 * no schema is compiled when a process starts: `npm run generate:validators`.
 */
import { writeFile } from 'node:fs/promises';

import { buildValidatorModules } from './buildValidatorModules.js';

for (const { file, text } of await buildValidatorModules()) await writeFile(file, text);
