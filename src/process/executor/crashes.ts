/** Tells a crash of an upstream from other losses of what ran there. */
import { ConnectionRefusedError } from '../../_lib/errors.js';
import { UPSTREAM_CRASHED } from '../../connection/peer/peerMessages.js';
import type { LocalTask } from './localTask.js';

/**
 * Tells whether an upstream that had not said that it ends has crashed: another life has taken its place, or nobody
 * listens at its address when every lease is over. One that only answers nothing may be frozen or cut off.
 *
 * @param reason - why its tasks count as lost
 * @param error - of the call that failed last; undefined where an answer told the loss
 * @returns true for a crash
 * @example
 * isCrash('unreachable', new ConnectionRefusedError('connect ECONNREFUSED')); // true
 */
export function isCrash(reason: string, error: unknown): boolean {
  if (reason === 'other-life' || reason === 'superseded') return true;
  return reason === 'unreachable' && error instanceof ConnectionRefusedError;
}

/**
 * Finds the reason to report for a task that was lost when its upstream crashed.
 *
 * @param task - which was lost
 * @param reason - why it counts as lost
 * @returns `UPSTREAM_CRASHED`, or the other reason if the task cannot have begun
 */
export function findLossReason({ openSends }: LocalTask, reason: string): string {
  return openSends > 0 ? UPSTREAM_CRASHED : reason;
}
