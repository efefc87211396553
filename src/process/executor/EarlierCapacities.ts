/** Capacities that dispatchers remember from earlier incarnations of this executor. */
import type { EarlierCapacity } from '../../connection/peer/peerMessages.js';
import { limitResources } from '../../request/dispatch/resources.js';
import type { Resources } from '../../request/dispatch/submission.js';

/**
 * Time for which a capacity that was confirmed is relied on without a report of the upstream, ms. One that has
 * shrunk must be kept to within this time and one interval of the upstream's reports.
 */
export const CONFIRMED_MS = 3_000;

/** Capacity of an upstream that is relied on for a limited time. */
export interface ConfirmedCapacity {
  readonly capacity: Resources;
  /** Monotonic time until which it is relied on, ms. */
  readonly until: number;
}

/** What the dispatchers have told in their welcome messages. */
export class EarlierCapacities {
  private known: (ConfirmedCapacity & { readonly upstream: string })[] = [];

  /**
   * Records what a dispatcher has told.
   *
   * @param told - capacity, and its age at `askedAt`
   * @param askedAt - monotonic time at or before which the dispatcher measured the age, ms
   */
  record({ upstream, capacity, ageMs }: EarlierCapacity, askedAt: number, now: number): void {
    this.known = this.known.filter(({ until }) => until > now);
    const until = askedAt - ageMs + CONFIRMED_MS;
    if (until > now) this.known.push({ upstream, capacity, until });
  }

  /** Finds the lowest capacity that has been told of an upstream and is still relied on. */
  find(upstream: string, now: number): ConfirmedCapacity | undefined {
    const current = this.known.filter((known) => known.upstream === upstream && known.until > now);
    if (current.length === 0) return undefined;
    return {
      capacity: current.map(({ capacity }) => capacity).reduce(limitResources),
      until: Math.max(...current.map(({ until }) => until)),
    };
  }
}
