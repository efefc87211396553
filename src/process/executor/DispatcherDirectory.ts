/**
 * Known dispatchers, and the selection of those that an executor links to: by rendezvous hashing, spread
 * evenly over the failure domains, with substitutes for unresponsive ones. The number of links per executor
 * is limited, as a full mesh would need messages in proportion to the product of executors and dispatchers.
 */
import { chooseEvenly } from '../../_lib/chooseEvenly.js';
import { digestToWeight } from '../../_lib/digestToWeight.js';
import type { DispatcherPlace } from '../../connection/peer/peerMessages.js';

/** Time without an answer after which a dispatcher counts as unresponsive, ms. */
const UNRESPONSIVE_MS = 1_000;
/** Time for which an unresponsive dispatcher is not selected as a substitute, ms. */
const EXCLUSION_MS = 5_000;
/** Time without an answer or a report by a peer after which a dispatcher is removed, ms. */
const EXPIRY_MS = 20_000;

interface KnownDispatcher {
  place: DispatcherPlace;
  readonly weight: number;
  /** Whether it is in the settings. */
  isSeed: boolean;
  /** When a peer last reported it. */
  reportedAt: number;
  /** When it last answered. */
  aliveAt: number;
  /** Since when a link to it is wanted; undefined while none is. */
  wantedSince: number | undefined;
  /** Time until which it is not selected as a substitute. */
  excludedUntil: number;
}

/** Dispatchers known to one executor. Points in time are monotonic ms. */
export class DispatcherDirectory {
  private readonly dispatchers = new Map<string, KnownDispatcher>();

  /**
   * @param executor - process id of the executor
   * @param maxLinks - number of links while no dispatcher is excluded as unresponsive
   * @param smallFleet - number of dispatchers up to which all of them are linked
   */
  constructor(
    private readonly executor: string,
    private readonly maxLinks: number,
    private readonly smallFleet = 0,
  ) {}

  /** Replaces the seed addresses from the settings. */
  recordSeeds(addresses: readonly string[], now: number): void {
    for (const dispatcher of this.dispatchers.values()) dispatcher.isSeed = false;
    for (const address of addresses) this.findOrAdd({ address, failureDomain: '' }, now).isSeed = true;
  }

  /** Records dispatchers that a peer has reported: itself, or those it has a working link to. */
  recordMembers(places: readonly DispatcherPlace[], now: number): void {
    for (const place of places) {
      const dispatcher = this.findOrAdd(place, now);
      dispatcher.place = place;
      dispatcher.reportedAt = now;
    }
  }

  /** Records an answer of a dispatcher. */
  recordAlive(address: string, now: number): void {
    const dispatcher = this.dispatchers.get(address);
    if (!dispatcher) return;
    dispatcher.aliveAt = now;
    dispatcher.excludedUntil = -Infinity;
  }

  /** Handles a pause of this process, during which it could not receive answers. */
  handlePause(now: number): void {
    for (const dispatcher of this.dispatchers.values()) {
      if (dispatcher.wantedSince !== undefined) dispatcher.wantedSince = now;
    }
  }

  /** Time since the last answer of a dispatcher while a link to it has been wanted, ms. */
  findUnresponsiveTime(address: string, now: number): number {
    const dispatcher = this.dispatchers.get(address);
    if (dispatcher?.wantedSince === undefined) return 0;
    return now - Math.max(dispatcher.aliveAt, dispatcher.wantedSince);
  }

  /** Lists the responsive dispatchers. */
  listAlive(now: number): DispatcherPlace[] {
    const alive = [...this.dispatchers.values()].filter(({ aliveAt }) => now - aliveAt <= UNRESPONSIVE_MS);
    return alive.map(({ place }) => place);
  }

  /**
   * Selects the dispatchers to link to: the highest ranked ones, and the highest ranked of those that are not
   * excluded as unresponsive. Both are spread evenly over the failure domains.
   *
   * @param now - monotonic time, ms
   * @returns their addresses
   */
  chooseLinks(now: number): Set<string> {
    for (const [address, dispatcher] of this.dispatchers) this.updateDispatcher(address, dispatcher, now);
    const candidates = [...this.dispatchers.values()].map((dispatcher) => {
      const { place, weight } = dispatcher;
      return { dispatcher, weight, failureDomain: place.failureDomain };
    });
    const eligible = candidates.filter(({ dispatcher }) => now >= dispatcher.excludedUntil);
    const linkCount = candidates.length <= this.smallFleet ? candidates.length : this.maxLinks;
    const chosen = [...chooseEvenly(candidates, linkCount), ...chooseEvenly(eligible, linkCount)];
    const wanted = new Set(chosen.map(({ dispatcher }) => dispatcher.place.address));
    for (const [address, dispatcher] of this.dispatchers) {
      dispatcher.wantedSince = wanted.has(address) ? (dispatcher.wantedSince ?? now) : undefined;
    }
    return wanted;
  }

  /**
   * Selects the preferred dispatcher: the highest ranked responsive one.
   *
   * @param addresses - addresses of linked dispatchers
   * @param now - monotonic time, ms
   * @returns its address, or undefined if none is responsive
   */
  choosePreferred(addresses: Iterable<string>, now: number): string | undefined {
    let best: KnownDispatcher | undefined;
    for (const address of addresses) {
      const dispatcher = this.dispatchers.get(address);
      if (!dispatcher || now - dispatcher.aliveAt > UNRESPONSIVE_MS) continue;
      if (!best || dispatcher.weight > best.weight) best = dispatcher;
    }
    return best?.place.address;
  }

  private updateDispatcher(address: string, dispatcher: KnownDispatcher, now: number): void {
    if (this.findUnresponsiveTime(address, now) > UNRESPONSIVE_MS)
      dispatcher.excludedUntil = now + EXCLUSION_MS;
    const isExpired =
      !dispatcher.isSeed && now - Math.max(dispatcher.reportedAt, dispatcher.aliveAt) > EXPIRY_MS;
    if (isExpired) this.dispatchers.delete(address);
  }

  private findOrAdd(place: DispatcherPlace, now: number): KnownDispatcher {
    const known = this.dispatchers.get(place.address);
    if (known) return known;
    const dispatcher: KnownDispatcher = {
      place,
      weight: digestToWeight(`${this.executor}/${place.address}`),
      isSeed: false,
      reportedAt: now,
      aliveAt: -Infinity,
      wantedSince: undefined,
      excludedUntil: -Infinity,
    };
    this.dispatchers.set(place.address, dispatcher);
    return dispatcher;
  }
}
