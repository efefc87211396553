import type { CAC } from 'cac';

import { buildDayReport } from '../../process/report/buildDayReport.js';
import { renderDayReport } from '../../process/report/renderDayReport.js';
import { readLogFiles } from '../readLogFiles.js';

interface ReportFlags {
  readonly window: number;
}

/**
 * Adds `report`.
 *
 * @param cli - the command line
 */
export function addReportCommand(cli: CAC): void {
  cli
    .command('report <...files>', 'Sum up the logs of dispatchers: late, refused and waiting jobs over time')
    .option('--window <seconds>', 'length of a row', { default: 2 })
    .action(async (files: string[], { window }: ReportFlags) => {
      console.log(renderDayReport(buildDayReport(await readLogFiles(files), Number(window))));
    });
}
