/**
 * Paces the changes of room that an entry is told. Their number rises with all work of the agent, whoever ordered it;
 * where an entry's processor or link is short of that, its echoes come late, and it is told less often: half as often
 * with each late echo, a tenth more often with each other one.
 */

/** Shortest and longest time between two changes that are told, ms; pings tell the room as well. */
const MIN_INTERVAL_MS = 4;
const MAX_INTERVAL_MS = 120;
/** Time from a ping to its echo from which on the entry counts as congested, ms. */
const CONGESTED_MS = 50;
const SLOWDOWN = 2;
const SPEEDUP = 0.9;

/** Pace of one link. */
export class RoomPacer {
  private intervalMs = MIN_INTERVAL_MS;
  private toldAt = -Infinity;

  /** Notes how long an echo took. */
  noteEcho(roundTripMs: number): void {
    const next = this.intervalMs * (roundTripMs > CONGESTED_MS ? SLOWDOWN : SPEEDUP);
    this.intervalMs = Math.min(MAX_INTERVAL_MS, Math.max(MIN_INTERVAL_MS, next));
  }

  /** Notes that a change was told. */
  noteTold(now: number): void {
    this.toldAt = now;
  }

  /** Time after which a change may be told, ms; changes of the shortest interval are told together. */
  findWait(now: number): number {
    return Math.max(MIN_INTERVAL_MS, this.toldAt + this.intervalMs - now);
  }
}
