/**
 * Parses the start time of a process from its incarnation.
 *
 * @param incarnation - as built by `createIncarnation`
 * @returns ms since the epoch by the time of day of its VM; NaN if it has another form
 * @example
 * parseIncarnationStart('entry-1@m3k1x2ab-9f86d081'); // 1731754502867
 */
export function parseIncarnationStart(incarnation: string): number {
  const start = incarnation.slice(incarnation.lastIndexOf('@') + 1).split('-')[0] ?? '';
  return /^[0-9a-z]+$/.test(start) ? Number.parseInt(start, 36) : Number.NaN;
}
