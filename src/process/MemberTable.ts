/**
 * Addresses of the entries, as a process knows them: from its settings, and from peers that have a working link to
 * them. Only a working link counts as a sign of life, so that a gone entry fades from every table.
 */

/** How long a reported address is kept without a new report, ms. */
const KEEP_MS = 15_000;

/** Known entries. */
export class MemberTable {
  private readonly heardAt = new Map<string, number>();

  /**
   * Takes addresses that a peer reports.
   *
   * @returns those that were not known
   */
  note(addresses: readonly string[], now: number): string[] {
    const fresh = addresses.filter((address) => !this.heardAt.has(address));
    for (const address of addresses) this.heardAt.set(address, now);
    return fresh;
  }

  /** Addresses that were reported of late. */
  list(now: number): string[] {
    for (const [address, at] of this.heardAt) if (now - at > KEEP_MS) this.heardAt.delete(address);
    return [...this.heardAt.keys()];
  }
}
