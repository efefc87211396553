import type { UpstreamReport } from '../../ports/UpstreamRegistry.js';

/**
 * Names a life of an upstream. The id alone does not: an upstream may start again under the id that it had.
 *
 * @param report - of that life
 * @returns the id, with the life's start where the upstream tells it
 * @example
 * buildLifeName({ id: 'i-1', bornAt: 5 }); // 'i-1@5'
 */
export function buildIncarnationName({ id, bornAt }: Pick<UpstreamReport, 'id' | 'bornAt'>): string {
  return bornAt === undefined ? id : `${id}@${bornAt}`;
}
