import type { CAC } from 'cac';

import { explainJob } from '../../process/explain/explainJob.js';
import { EXIT_FAILED } from '../exitCodes.js';
import { readLogFiles } from '../readLogFiles.js';

/**
 * Adds the `explain` command.
 *
 * @param cli - the command line
 */
export function addExplainCommand(cli: CAC): void {
  cli
    .command('explain <job> <...files>', 'Print the log lines of a job and the cause of its outcome')
    .action(async (job: string, files: string[]) => {
      const explanation = explainJob(String(job), await readLogFiles(files));
      for (const { time, process, event, fields } of explanation.lines) {
        console.log(`${time.toFixed(3)} ${process} ${event} ${JSON.stringify(fields)}`);
      }
      console.log(`cause: ${explanation.cause}`);
      if (explanation.lines.length === 0) process.exitCode = EXIT_FAILED;
    });
}
