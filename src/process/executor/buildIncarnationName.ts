import type { UpstreamReport } from '../../ports/UpstreamRegistry.js';

/**
 * Builds a name for an incarnation of an upstream. The id alone is not unique, as an upstream may restart
 * with the same id.
 *
 * @param report - a report of the incarnation
 * @returns the id, with the start of the incarnation if the upstream reports it
 * @example
 * buildIncarnationName({ id: 'i-1', bornAt: 5 }); // 'i-1@5'
 */
export function buildIncarnationName({ id, bornAt }: Pick<UpstreamReport, 'id' | 'bornAt'>): string {
  return bornAt === undefined ? id : `${id}@${bornAt}`;
}
