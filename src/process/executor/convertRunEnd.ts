/** Ends of runs in the words of the links. */
import type { AttemptEnd } from '../../connection/peer/peerMessages.js';
import type { RunEnd } from '../../ports/UpstreamApi.js';

/**
 * Converts the end of a run into the end of the attempt it served.
 *
 * @param end - as the upstream listed it
 * @returns `lost` for ends that nobody here has ordered
 * @example
 * convertRunEnd('lapsed'); // 'lost'
 */
export function convertRunEnd(end: RunEnd): AttemptEnd {
  if (end === 'done' || end === 'failed' || end === 'stopped') return end;
  return 'lost';
}
