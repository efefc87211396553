/** Times that dispatcher and executor derive from the settings, so that they hold together on any deployment. */
import type { DispatchSettings } from './settings/dispatchSettings.js';

/** Part of the time before a caller submits again that the lease may take. */
const LEASE_PART = 0.45;
/** Part of it that an entry may be silent before its work is stopped. */
const ORPHAN_PART = 0.4;
/**
 * Pings in the time after which an entry's work is stopped: the echoes of two may come late before it is. Each costs a
 * message and a wake-up on both sides; an entry with 27 agents takes 156 a second, and 234 with 4.5 in its place.
 */
const PINGS = 3;

/** Times of links and leases, ms. */
export interface DispatchTimes {
  /** Lease that agents give ahead. */
  readonly leaseMs: number;
  /** Age of an entry's newest echo from which on its work is stopped. */
  readonly orphanAfterMs: number;
  readonly pingMs: number;
}

/**
 * Derives the times. Lease, silence and stopping together end before a caller that was cut off submits again.
 *
 * @param settings - of the process
 * @returns the times
 * @example
 * deriveDispatchTimes(settings).leaseMs; // 585 where callers wait for 1,300 ms
 */
export function deriveDispatchTimes({ resubmitMs, maxLeaseMs }: DispatchSettings): DispatchTimes {
  const leaseMs = Math.floor(Math.min(maxLeaseMs, resubmitMs * LEASE_PART));
  const orphanAfterMs = resubmitMs * ORPHAN_PART;
  return { leaseMs, orphanAfterMs, pingMs: orphanAfterMs / PINGS };
}
