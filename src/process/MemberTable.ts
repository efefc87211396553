/**
 * The other entries, as an entry knows them: from its settings, and from peers that have a working link to
 * them. Only a working link counts as a sign of life, so that a gone entry fades from every table.
 */
import type { DispatcherPlace } from '../connection/peer/peerMessages.js';

/** How long a reported address is kept without a new report, ms. */
const KEEP_MS = 15_000;

interface Member {
  readonly place: DispatcherPlace;
  readonly heardAt: number;
}

/** Known entries. */
export class MemberTable {
  private readonly members = new Map<string, Member>();

  private turn = 0;

  /**
   * Takes entries that a peer reports.
   *
   * @returns those that were not known
   */
  record(places: readonly DispatcherPlace[], now: number): DispatcherPlace[] {
    const fresh = places.filter(({ address }) => !this.members.has(address));
    for (const place of places) this.members.set(place.address, { place, heardAt: now });
    return fresh;
  }

  /** Entries that were reported of late. */
  list(now: number): DispatcherPlace[] {
    for (const [address, { heardAt }] of this.members)
      if (now - heardAt > KEEP_MS) this.members.delete(address);
    return [...this.members.values()].map(({ place }) => place);
  }

  /** Some of the entries that were reported of late, others with each call. */
  selectNext(count: number, now: number): DispatcherPlace[] {
    const places = this.list(now);
    if (places.length <= count) return places;
    const start = this.turn % places.length;
    this.turn = start + count;
    return [...places, ...places].slice(start, start + count);
  }
}
