/** Conversion of run ends to attempt ends. */
import type { AttemptEnd } from '../../connection/peer/peerMessages.js';
import type { RunEnd } from '../../ports/UpstreamApi.js';

/**
 * Converts the end of a run to the end of its attempt.
 *
 * @param end - end listed by the upstream
 * @returns `lost` for ends that this process has not caused
 * @example
 * convertRunEnd('lapsed'); // 'lost'
 */
export function convertRunEnd(end: RunEnd): AttemptEnd {
  if (end === 'done' || end === 'failed' || end === 'stopped') return end;
  return 'lost';
}
