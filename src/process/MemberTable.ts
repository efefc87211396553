/**
 * Addresses of the other dispatchers, as reported by peers. Executors report only dispatchers that respond to
 * them, and an address that is no longer reported expires, so that a removed dispatcher disappears from every
 * table.
 */
import type { DispatcherPlace } from '../connection/peer/peerMessages.js';

/** Most dispatchers that are sent in one message. */
export const MAX_MEMBERS_PER_MESSAGE = 1_000;
/** Time after which an address that is no longer reported is removed, ms. */
const EXPIRY_MS = 15_000;

interface Member {
  readonly place: DispatcherPlace;
  readonly reportedAt: number;
}

/** Table of known dispatchers. */
export class MemberTable {
  private readonly members = new Map<string, Member>();

  private nextIndex = 0;

  /**
   * Records dispatchers reported by a peer.
   *
   * @returns those that were not known before
   */
  record(places: readonly DispatcherPlace[], now: number): DispatcherPlace[] {
    const fresh = places.filter(({ address }) => !this.members.has(address));
    for (const place of places) this.members.set(place.address, { place, reportedAt: now });
    return fresh;
  }

  /** Removes the dispatchers whose report has expired, and lists the others. */
  list(now: number): DispatcherPlace[] {
    for (const [address, { reportedAt }] of this.members)
      if (now - reportedAt > EXPIRY_MS) this.members.delete(address);
    return [...this.members.values()].map(({ place }) => place);
  }

  /** Selects up to `count` of the listed dispatchers, in rotation over successive calls. */
  selectNext(count: number, now: number): DispatcherPlace[] {
    const places = this.list(now);
    if (places.length <= count) return places;
    const start = this.nextIndex % places.length;
    this.nextIndex = start + count;
    return [...places, ...places].slice(start, start + count);
  }
}
