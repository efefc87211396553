import type { Distribution, LoadReport } from './buildReport.js';

const BAR_WIDTH = 320;

/**
 * Renders reports as one HTML page that compares their distributions.
 *
 * @param reports - the reports to compare
 * @returns the HTML
 */
export function renderReport(reports: readonly LoadReport[]): string {
  const scale = Math.max(1, ...reports.map((report) => report.responseMs.worst));
  const rows = reports.map((report) => renderRow(report, scale)).join('\n');
  return `<!doctype html><meta charset="utf-8"><title>marblehall load</title>
<style>body{font:14px sans-serif;margin:2em}td,th{padding:4px 10px;text-align:right}th:first-child,td:first-child{text-align:left}</style>
<h1>marblehall load</h1><table>
<tr><th>policy</th><th>jobs</th><th>complete</th><th>in deadline</th><th>over clairvoyant</th><th>p50 ms</th><th>p99 ms</th>
<th>slot use</th><th>messages/task</th><th>wasted/task</th><th>response: mean, p50, p99, worst</th></tr>
${rows}</table>`;
}

function renderRow(report: LoadReport, scale: number): string {
  const { responseMs } = report;
  const cells = [
    report.policy,
    report.jobs,
    report.outcomes['complete'] ?? 0,
    `${(100 * report.inDeadline).toFixed(1)}%`,
    report.overClairvoyant.toFixed(3),
    responseMs.p50.toFixed(0),
    responseMs.p99.toFixed(0),
    `${(100 * report.slotUse).toFixed(1)}%`,
    report.messagesPerTask.toFixed(3),
    report.wastedPerAnsweredTask.toFixed(4),
    renderBars(responseMs, scale),
  ];
  return `<tr>${cells.map((cell) => `<td>${cell}</td>`).join('')}</tr>`;
}

function renderBars(values: Distribution, scale: number): string {
  const bars = [values.mean, values.p50, values.p99, values.worst].map((value, index) => {
    const width = (BAR_WIDTH * value) / scale;
    return `<rect x="0" y="${index * 8}" width="${width.toFixed(1)}" height="6" fill="#${['468', '79b', 'b64', 'a33'][index]}"/>`;
  });
  return `<svg width="${BAR_WIDTH}" height="32">${bars.join('')}</svg>`;
}
