import type { CAC } from 'cac';

import { EXIT_FAILED } from '../exitCodes.js';

interface QueryFlags {
  readonly entry: string;
  readonly secret?: string;
  readonly json?: boolean;
}

interface QueryAnswer {
  readonly rows?: readonly Readonly<Record<string, unknown>>[];
  readonly unreachable?: readonly string[];
  readonly errors?: readonly { readonly column: number; readonly message: string }[];
}

/**
 * Adds the `query` command.
 *
 * @param cli - the command line
 */
export function addQueryCommand(cli: CAC): void {
  cli
    .command('query <text>', "Run a statement of the operators' language and print a table")
    .option('--entry <url>', 'address of an entry', { default: 'http://127.0.0.1:7420' })
    .option('--secret <text>', 'shared secret, required for commands; default: MARBLEHALL_SECRET')
    .option('--json', 'print JSON')
    .action(async (text: string, flags: QueryFlags) => {
      const secret = flags.secret ?? process.env['MARBLEHALL_SECRET'] ?? '';
      const headers = { authorization: `Bearer ${secret}`, 'content-type': 'application/json' };
      const body = JSON.stringify({ text });
      const { request } = await import('undici');
      const response = await request(`${flags.entry}/v1/commands`, { method: 'POST', body, headers });
      const answer = (await response.body.json()) as QueryAnswer;
      if (response.statusCode !== 200) process.exitCode = EXIT_FAILED;
      if (flags.json) console.log(JSON.stringify(answer));
      else printAnswer(text, answer);
    });
}

function printAnswer(text: string, answer: QueryAnswer): void {
  for (const { column, message } of answer.errors ?? []) {
    console.log(text);
    console.log(`${' '.repeat(Math.max(0, column - 1))}^ column ${column}: ${message}`);
  }
  if (answer.rows) console.table(answer.rows);
  else if (!answer.errors) console.log(JSON.stringify(answer));
  for (const peer of answer.unreachable ?? []) console.log(`entry did not answer: ${peer}`);
}
