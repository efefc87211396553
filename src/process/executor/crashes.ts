/** Distinguishes crashes of an upstream from other losses of its tasks. */
import { ConnectionRefusedError } from '../../_lib/errors.js';
import { UPSTREAM_CRASHED } from '../../connection/peer/peerMessages.js';
import type { LocalTask } from './localTask.js';

/**
 * Checks whether an upstream that did not announce its shutdown has crashed: another incarnation has replaced
 * it, or connections are refused after all leases have expired. An upstream that does not answer may be
 * frozen or partitioned.
 *
 * @param reason - why its tasks count as lost
 * @param error - error of the last call; undefined if the loss follows from an answer
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
 * @param task - the lost task
 * @param reason - why it counts as lost
 * @returns `UPSTREAM_CRASHED`, or the given reason if the task cannot have started
 */
export function findLossReason({ openSends }: LocalTask, reason: string): string {
  return openSends > 0 ? UPSTREAM_CRASHED : reason;
}
