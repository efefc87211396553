/**
 * The entries that an agent knows, and which of them it keeps links to: by rendezvous, evenly over the failure domains,
 * and others in the place of those that give no sign of life. With all agents linked to all entries, messages would
 * grow with the product of both.
 */
import { chooseEvenly } from '../../_lib/chooseEvenly.js';
import { digestToWeight } from '../../_lib/digestToWeight.js';
import type { DispatcherPlace } from '../../connection/peer/peerMessages.js';

/** An entry that should be linked counts as silent after so long without a sign of life, ms. */
const SILENT_MS = 1_000;
/** How long a silent entry is not chosen in another's place, ms. */
const REST_MS = 5_000;
/** An entry that no peer reports is forgotten after so long without a sign of life, ms. */
const FORGET_MS = 20_000;

interface KnownDispatcher {
  place: DispatcherPlace;
  readonly weight: number;
  /** Whether the settings name it. */
  isSeed: boolean;
  /** When a peer last reported it. */
  reportedAt: number;
  /** When it last answered us. */
  aliveAt: number;
  /** Since when a link to it is wanted; undefined while none is. */
  wantedSince: number | undefined;
  /** Not chosen in another's place before this. */
  restUntil: number;
}

/** Entries as one agent knows them. */
export class DispatcherDirectory {
  private readonly entries = new Map<string, KnownDispatcher>();

  /**
   * @param agent - process id of the agent
   * @param maxLinks - links that are kept while the chosen entries live
   * @param smallFleet - number of entries up to which all of them are linked to
   */
  constructor(
    private readonly agent: string,
    private readonly maxLinks: number,
    private readonly smallFleet = 0,
  ) {}

  /** Takes the addresses that the settings name, in place of earlier ones. */
  recordSeeds(addresses: readonly string[], now: number): void {
    for (const entry of this.entries.values()) entry.isSeed = false;
    for (const address of addresses) this.findOrAdd({ address, failureDomain: '' }, now).isSeed = true;
  }

  /** Takes entries that a peer has a working link to, or is. */
  recordMembers(places: readonly DispatcherPlace[], now: number): void {
    for (const place of places) {
      const entry = this.findOrAdd(place, now);
      entry.place = place;
      entry.reportedAt = now;
    }
  }

  /** An entry has answered us. */
  recordAlive(address: string, now: number): void {
    const entry = this.entries.get(address);
    if (!entry) return;
    entry.aliveAt = now;
    entry.restUntil = -Infinity;
  }

  /** This process stood still: the silence of others in that time tells nothing. */
  handlePause(now: number): void {
    for (const entry of this.entries.values()) {
      if (entry.wantedSince !== undefined) entry.wantedSince = now;
    }
  }

  /** How long an entry has given no sign of life while a link to it was wanted, ms. */
  findSilence(address: string, now: number): number {
    const entry = this.entries.get(address);
    if (entry?.wantedSince === undefined) return 0;
    return now - Math.max(entry.aliveAt, entry.wantedSince);
  }

  /** Entries that answer us. */
  listAlive(now: number): DispatcherPlace[] {
    const alive = [...this.entries.values()].filter(({ aliveAt }) => now - aliveAt <= SILENT_MS);
    return alive.map(({ place }) => place);
  }

  /**
   * Chooses the entries to link to: the preferred ones, whether they answer or not, and as many that may answer.
   *
   * @param now - monotonic time, ms
   * @returns their addresses
   */
  chooseLinks(now: number): Set<string> {
    for (const [address, entry] of this.entries) this.review(address, entry, now);
    const candidates = [...this.entries.values()].map((entry) => {
      const { place, weight } = entry;
      return { entry, weight, failureDomain: place.failureDomain };
    });
    const rested = candidates.filter(({ entry }) => now >= entry.restUntil);
    const links = candidates.length <= this.smallFleet ? candidates.length : this.maxLinks;
    const chosen = [...chooseEvenly(candidates, links), ...chooseEvenly(rested, links)];
    const wanted = new Set(chosen.map(({ entry }) => entry.place.address));
    for (const [address, entry] of this.entries) {
      entry.wantedSince = wanted.has(address) ? (entry.wantedSince ?? now) : undefined;
    }
    return wanted;
  }

  /**
   * Chooses the entry that this agent prefers to others: by rendezvous, of those that answer.
   *
   * @param addresses - of entries that are linked
   * @param now - monotonic time, ms
   * @returns its address, or undefined while none answers
   */
  choosePreferred(addresses: Iterable<string>, now: number): string | undefined {
    let best: KnownDispatcher | undefined;
    for (const address of addresses) {
      const entry = this.entries.get(address);
      if (!entry || now - entry.aliveAt > SILENT_MS) continue;
      if (!best || entry.weight > best.weight) best = entry;
    }
    return best?.place.address;
  }

  private review(address: string, entry: KnownDispatcher, now: number): void {
    if (this.findSilence(address, now) > SILENT_MS) entry.restUntil = now + REST_MS;
    const isForgotten = !entry.isSeed && now - Math.max(entry.reportedAt, entry.aliveAt) > FORGET_MS;
    if (isForgotten) this.entries.delete(address);
  }

  private findOrAdd(place: DispatcherPlace, now: number): KnownDispatcher {
    const known = this.entries.get(place.address);
    if (known) return known;
    const entry: KnownDispatcher = {
      place,
      weight: digestToWeight(`${this.agent}/${place.address}`),
      isSeed: false,
      reportedAt: now,
      aliveAt: -Infinity,
      wantedSince: undefined,
      restUntil: -Infinity,
    };
    this.entries.set(place.address, entry);
    return entry;
  }
}
