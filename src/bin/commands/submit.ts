import { readFile } from 'node:fs/promises';

import type { CAC } from 'cac';
import { v7 as createUuid } from 'uuid';

import { EXIT_FAILED } from '../exitCodes.js';

interface SubmitFlags {
  readonly entry: string;
}

/**
 * Adds the `submit` command.
 *
 * @param cli - the command line
 */
export function addSubmitCommand(cli: CAC): void {
  cli
    .command('submit <file>', 'Submit a job (JSON, with a generated key if it has none) and print the answer')
    .option('--entry <url>', 'address of an entry', { default: 'http://127.0.0.1:7420' })
    .action(async (file: string, { entry }: SubmitFlags) => {
      const job = { job: createUuid(), ...(JSON.parse(await readFile(file, 'utf8')) as object) };
      const { request } = await import('undici');
      const response = await request(`${entry}/v1/jobs`, {
        method: 'POST',
        body: JSON.stringify(job),
        headersTimeout: 0,
      });
      console.log(await response.body.text());
      if (response.statusCode !== 200) process.exitCode = EXIT_FAILED;
    });
}
