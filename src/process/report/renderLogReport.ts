import type { LogReport, WindowReport } from './buildLogReport.js';

/** Columns with their values. */
const COLUMNS: readonly (readonly [string, (window: WindowReport) => number])[] = [
  ['from s', ({ startS }) => startS],
  ['answered', ({ answered }) => answered],
  ['late', ({ late }) => late],
  ['refused', ({ refused }) => refused],
  ['interrupted', ({ interrupted }) => interrupted],
  ['failed', ({ failed }) => failed],
  ['returns', ({ withReturns }) => withReturns],
  ['first ms p50', ({ firstWaitMs }) => firstWaitMs.median],
  ['p90', ({ firstWaitMs }) => firstWaitMs.p90],
  ['last ms p50', ({ lastWaitMs }) => lastWaitMs.median],
  ['p90', ({ lastWaitMs }) => lastWaitMs.p90],
];

/** Minimum width of a column, characters. */
const MIN_WIDTH = 6;

/**
 * Renders a log report as text.
 *
 * @param report - the report
 * @returns a table for each queue, then the attempts that did not complete
 */
export function renderLogReport({ queues, attempts }: LogReport): string {
  const tables = queues.flatMap(({ queue, windows }) => [
    `queue ${queue}`,
    renderRow(COLUMNS.map(([title]) => title)),
    ...windows.map((window) => renderRow(COLUMNS.map(([, read]) => String(read(window))))),
    '',
  ]);
  const rows = attempts.map(({ end, reason, count }) => `${count} ${end} ${reason}`);
  return [...tables, 'attempts that did not complete', ...rows].join('\n');
}

function renderRow(cells: readonly string[]): string {
  return cells.map((cell, at) => cell.padStart(Math.max(MIN_WIDTH, COLUMNS[at]?.[0].length ?? 0))).join('  ');
}
