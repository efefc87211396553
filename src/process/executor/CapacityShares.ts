/**
 * What entries were told of an agent's room and ask for of it. Where two or more have tasks that wait, each is told a part,
 * so that they do not send to the same room. Only what is told is divided: a start beyond its entry's part is taken all
 * the same while there is room, and a part is no permission, so that none can be lost with its entry.
 */
import { divideCapacity } from './divideCapacity.js';

/** Time in which the weight of a start falls to a third, ms: about a ping, so that an entry that was calm keeps room. */
const RECENT_MS = 200;
/** Time for which an entry that was told room is counted on to use it, ms: a round trip, and a turn of its loop. */
const HOLD_MS = 20;
/** Time after which an entry that has not used its part does not count as waiting, ms: its tasks do not go here. */
const UNUSED_MS = 30;
/** Time for which room is kept for what entries without waiting tasks will probably start, ms: part of a ping. */
const AHEAD_MS = 40;
/** Tasks for which room is kept for an entry that has started some of late: those of a job come together. */
const KEPT_TASKS = 1;
/** Most tasks that count of what waits at an entry: it may send to other agents as well. */
const MAX_COUNTED_TASKS = 4;
/** Tasks by which an entry may be over its part and still get back the room of its own task, which it uses soonest. */
const KEPT_OVER_TASKS = 4;
/** Age from which on an entry is told that it was told too much, ms: its starts may be on their way. */
const CORRECT_MS = 30;
/** Part of a task's size by which what counts as room for one may be short of it: sizes change. */
const SIZE_SLACK = 0.25;
/** Part by which the size of a task falls with each smaller one. */
const TASK_FALL = 0.02;

/** An entry that may be told room. */
export interface DispatcherUsage {
  readonly life: string;
  /** What its tasks take here, thousandths of a core. */
  readonly used: number;
  readonly isPreferred: boolean;
}

/** What an entry is to be told. Amounts are thousandths of a core. */
export interface ReportedShare {
  readonly cpuMilli: number;
  /** Whether the entry knows it by what it was told and has sent since. */
  readonly isKnown: boolean;
}

interface DispatcherShare {
  /** Processor room that its waiting tasks ask for; undefined where it does not tell. */
  waiting: number | undefined;
  /** Decaying sum of what it has started here, and when it was last added to. */
  recent: number;
  recentAt: number;
  /** What it was told and has not used since. */
  held: number;
  toldAt: number;
  /** Since when it could have used its part; undefined while it has none. */
  heldSince: number | undefined;
}

/** Shares of one agent's room. Amounts are in thousandths of a core; points in time are monotonic ms. */
export class CapacityShares {
  private readonly shares = new Map<string, DispatcherShare>();
  /** What the larger tasks of late take; 0 before the first. */
  private task = 0;

  /** Entries at which tasks wait. */
  get waitingDispatchers(): number {
    return [...this.shares.values()].filter(({ waiting = 0 }) => waiting > 0).length;
  }

  /** Room that all entries together ask for. */
  get demand(): number {
    let demand = 0;
    for (const { waiting = 0 } of this.shares.values()) demand += waiting;
    return demand;
  }

  /** Whether an entry tells what waits; others are told all of the room. */
  hasReportedDemand(life: string): boolean {
    return this.shares.get(life)?.waiting !== undefined;
  }

  /** Takes what waits at an entry; undefined where it does not tell. */
  recordDemand(life: string, waiting: number | undefined): void {
    this.find(life).waiting = waiting;
  }

  /** An entry has ordered a start. */
  recordStart(life: string, cpuMilli: number, now: number): void {
    const share = this.find(life);
    share.recent = readRecent(share, now) + cpuMilli;
    share.recentAt = now;
    this.task = Math.max(cpuMilli, this.task * (1 - TASK_FALL));
    this.recordShare(share, Math.max(0, share.held - cpuMilli), now);
    if (share.heldSince !== undefined) share.heldSince = now;
  }

  /** The link of an entry is new: it was told nothing. */
  handleLinked(life: string): void {
    this.shares.delete(life);
  }

  /** An entry is gone. */
  forget(life: string): void {
    this.shares.delete(life);
  }

  /**
   * Finds what an entry is to be told, and takes it for told.
   *
   * @param life - of the entry
   * @param free - room that nobody uses
   * @param entries - all that may be told room, this one among them
   * @param now - the time
   * @returns its part; all of the room where it does not compete
   */
  reportShare(life: string, free: number, entries: readonly DispatcherUsage[], now: number): ReportedShare {
    const share = this.find(life);
    const cpuMilli = this.findReportedShare(life, free, entries, now);
    const isKnown = cpuMilli === share.held;
    if (!isKnown) share.toldAt = now;
    this.recordShare(share, cpuMilli, now);
    return { cpuMilli, isKnown };
  }

  /**
   * Tells whether an entry is to be told its part before the next ping: because it waits and there is more for it, or
   * because it was told more than there is, where others wait.
   */
  isDue(life: string, free: number, entries: readonly DispatcherUsage[], now: number): boolean {
    const { waiting, held, toldAt } = this.find(life);
    if (waiting !== 0 && this.findReportedShare(life, free, entries, now) >= held + Math.max(1, this.task))
      return true;
    const isOver = held >= Math.max(0, free) + this.task && now - toldAt >= CORRECT_MS;
    return isOver && this.listWaiting(entries).length > 1;
  }

  private findReportedShare(
    life: string,
    free: number,
    entries: readonly DispatcherUsage[],
    now: number,
  ): number {
    if (this.task === 0 || free <= 0 || !this.hasReportedDemand(life)) return free;
    const kept = this.sumKept(life, entries, now);
    const keptTasks = Math.floor(kept / this.task + SIZE_SLACK);
    const left = keptTasks === 0 ? free : Math.floor(free / this.task + SIZE_SLACK - keptTasks) * this.task;
    return Math.max(0, Math.min(free, left, this.findShare(life, free, entries, now)));
  }

  /** The part by demand; all of the room where fewer than two entries wait. */
  private findShare(life: string, free: number, entries: readonly DispatcherUsage[], now: number): number {
    const waiting = this.listWaiting(entries);
    if (waiting.length < 2) return free;
    const claiming = entries.filter((entry) => entry.life === life || waiting.includes(entry));
    const claims = claiming.map((entry) => {
      const share = this.find(entry.life);
      const isAble = share.heldSince === undefined || now - share.heldSince <= UNUSED_MS;
      const waits = isAble ? Math.min(share.waiting ?? 0, MAX_COUNTED_TASKS * this.task) : 0;
      const keptOver = entry.life === life && waits > 0 ? KEPT_OVER_TASKS * this.task : 0;
      const used = Math.max(0, entry.used - keptOver);
      return { demand: waits + readRecent(share, now), used, isHome: entry.isPreferred };
    });
    return divideCapacity(free, this.task, claims)[claiming.findIndex((entry) => entry.life === life)] ?? 0;
  }

  /** Room that is kept for others: what they were just told while they wait, or will probably start soon. */
  private sumKept(life: string, entries: readonly DispatcherUsage[], now: number): number {
    let kept = 0;
    for (const other of entries) {
      const share = this.find(other.life);
      if (other.life === life || share.waiting === undefined) continue;
      const held = Math.floor(share.held / this.task + SIZE_SLACK) * this.task;
      const isHeld = share.waiting > 0 && now - share.toldAt <= HOLD_MS;
      kept += isHeld ? held : Math.min(held, this.findExpected(share, now));
    }
    return kept;
  }

  private findExpected(share: DispatcherShare, now: number): number {
    const recent = readRecent(share, now);
    const atOnce = recent >= this.task ? KEPT_TASKS * this.task : 0;
    return Math.max(atOnce, (recent * AHEAD_MS) / RECENT_MS);
  }

  private listWaiting(entries: readonly DispatcherUsage[]): DispatcherUsage[] {
    return entries.filter(({ life }) => (this.shares.get(life)?.waiting ?? 0) > 0);
  }

  private recordShare(share: DispatcherShare, held: number, now: number): void {
    share.held = held;
    share.heldSince = held < this.task * (1 - SIZE_SLACK) ? undefined : (share.heldSince ?? now);
  }

  private find(life: string): DispatcherShare {
    let share = this.shares.get(life);
    if (!share) this.shares.set(life, (share = createShare()));
    return share;
  }
}

function createShare(): DispatcherShare {
  return {
    waiting: undefined,
    recent: 0,
    recentAt: 0,
    held: 0,
    toldAt: -Infinity,
    heldSince: undefined,
  };
}

function readRecent({ recent, recentAt }: DispatcherShare, now: number): number {
  return recent * Math.exp((recentAt - now) / RECENT_MS);
}
