import type { CAC } from 'cac';

import { buildLogReport } from '../../process/report/buildLogReport.js';
import { renderLogReport } from '../../process/report/renderLogReport.js';
import { readLogFiles } from '../readLogFiles.js';

interface ReportFlags {
  readonly window: number;
}

/**
 * Adds the `report` command.
 *
 * @param cli - the command line
 */
export function addReportCommand(cli: CAC): void {
  cli
    .command('report <...files>', 'Summarize dispatcher logs: late, refused and waiting jobs over time')
    .option('--window <seconds>', 'length of the time window of a row, s', { default: 2 })
    .action(async (files: string[], { window }: ReportFlags) => {
      console.log(renderLogReport(buildLogReport(await readLogFiles(files), Number(window))));
    });
}
