/**
 * Intervals and timeouts that dispatcher and executor derive from the settings, so that they match each
 * other.
 */
import type { DispatchSettings } from './settings/dispatchSettings.js';

/** Lease, as a share of the time after which a caller resubmits. */
const LEASE_SHARE = 0.45;
/** Orphan timeout, as a share of the time after which a caller resubmits. */
const ORPHAN_TIMEOUT_SHARE = 0.4;
/**
 * Pings per orphan timeout; two successive pongs may be late or lost before tasks are stopped. Each ping
 * costs a message and a wake-up on both sides.
 */
const PINGS_PER_ORPHAN_TIMEOUT = 3;

/** Intervals and timeouts of links and leases, ms. */
export interface DispatchTimes {
  /** Lease that an executor gives its upstream. */
  readonly leaseMs: number;
  /** Age of a dispatcher's last pong after which an executor stops its tasks. */
  readonly orphanAfterMs: number;
  readonly pingMs: number;
}

/**
 * Derives intervals and timeouts. Orphan timeout and lease together are shorter than the time after which a
 * disconnected caller resubmits its job; the remaining time is for stopping tasks.
 *
 * @param settings - settings of the process
 * @returns the times
 * @example
 * deriveDispatchTimes(settings).leaseMs; // 585 for a resubmitMs of 1,300
 */
export function deriveDispatchTimes({
  resubmitMs,
  maxLeaseMs,
}: Pick<DispatchSettings, 'resubmitMs' | 'maxLeaseMs'>): DispatchTimes {
  const leaseMs = Math.floor(Math.min(maxLeaseMs, resubmitMs * LEASE_SHARE));
  const orphanAfterMs = resubmitMs * ORPHAN_TIMEOUT_SHARE;
  return { leaseMs, orphanAfterMs, pingMs: orphanAfterMs / PINGS_PER_ORPHAN_TIMEOUT };
}
