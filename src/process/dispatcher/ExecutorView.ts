/** What an entry knows of one agent: its room as last told, less what was sent since, and how fresh that is. */
import type {
  ExecutorHello,
  Ping,
  CapacityReport,
  UpstreamDescription,
} from '../../connection/peer/peerMessages.js';
import {
  addResources,
  equalResources,
  NO_RESOURCES,
  subtractResources,
} from '../../request/dispatch/resources.js';
import type { Resources } from '../../request/dispatch/submission.js';

/**
 * Names one life of an agent.
 *
 * @param hello - its first message
 * @returns process id and life
 */
export function buildExecutorId({ agent, life }: ExecutorHello): string {
  return `${agent}@${life}`;
}

/** What is kept, with each report, of the earlier observations of what others take. */
const KEPT_SHARE = 0.8;
/** Time from sending a start until it takes room at the agent, ms: a way and a turn of the agent's loop. */
const START_TRIP_MS = 3;

/**
 * How much the least time of an echo rises with each further echo, as a share: it triples in 20 s of pings, so that a way
 * that has become longer is taken for what it is, and a link that is full for seconds is not.
 */
const FLOOR_RISE = 0.01;

/** A start that the agent has not said to have seen. */
interface UnseenStart {
  readonly number: number;
  readonly need: Resources;
  readonly bytes: number;
}

/** An upstream and its room as last told. */
export type ExecutorCapacity = UpstreamDescription & Omit<CapacityReport, 'description'>;

/** An agent as the entry sees it. */
export class ExecutorView {
  /** Process and life: attempts belong to one life of an agent. */
  readonly id: string;
  readonly agent: string;
  readonly failureDomain: string;
  /** Longest time after the newest message for which our tasks can still run there, ms. */
  readonly orphanMs: number;
  linked = true;
  /** Whether the operators have emptied its failure domain, so that nothing is placed there. */
  isEmptied = false;
  room: ExecutorCapacity | undefined;
  /**
   * Our time of the newest ping, room or result. The agent stops our work by the age of the newest ping that we have
   * echoed, which came no later; so what counts from here ends no sooner than the agent's own count.
   */
  heardAt: number;
  /** When its upstream last ceased to answer, ms. */
  downAt = -Infinity;
  /** Until when nothing is sent, after it had no room, ms. */
  pausedUntil = 0;
  private agentClock = 0;
  private clockAt = 0;
  private starts = 0;
  /** Starts that the newest room does not count yet, oldest first. */
  private readonly unseen: UnseenStart[] = [];
  private reserved: Resources = NO_RESOURCES;
  private bytesOnTheWay = 0;
  /** Least time that an echo took of late, ms. */
  private echoFloorMs = Infinity;
  /** What attempts took that have ended since the room was last told. */
  private released: Resources = NO_RESOURCES;
  /** Processor room that others took from one report to the next, thousandths of a core, and the time it took, ms. */
  private taken = 0;
  private observedMs = 0;
  /** Our time of the newest report of room; at first, when the agent was met. */
  private roomAt: number;

  constructor(hello: ExecutorHello, now: number) {
    this.id = buildExecutorId(hello);
    this.agent = hello.agent;
    this.failureDomain = hello.failureDomain;
    this.orphanMs = hello.orphanMs;
    this.heardAt = now;
    this.roomAt = now;
  }

  /** What can be sent there now. */
  get free(): Resources {
    const told = addResources(this.room?.free ?? NO_RESOURCES, this.released);
    return subtractResources(told, this.reserved);
  }

  /** Whether the agent prefers this dispatcher to others: each agent prefers one. */
  get isHome(): boolean {
    return this.room?.isHome === true;
  }

  /**
   * Whether it is linked and takes work.
   *
   * @param now - monotonic time, ms
   * @param staleMs - time since it was last heard from which on it gets nothing new, ms
   */
  isReady(now: number, staleMs: number): boolean {
    if (!this.linked || this.isEmptied || now - this.heardAt > staleMs) return false;
    return this.room?.state === 'ready';
  }

  /** Starts that are on their way. */
  get unseenStarts(): number {
    return this.unseen.length;
  }

  /** Bytes of those starts. */
  get unseenBytes(): number {
    return this.bytesOnTheWay;
  }

  /** Takes the time that an echo took, and returns how much longer that was than the fastest of late, ms. */
  recordRoundTrip(tookMs: number): number {
    this.echoFloorMs = Math.min(tookMs, this.echoFloorMs * (1 + FLOOR_RISE));
    return tookMs - this.echoFloorMs;
  }

  /** The link was opened anew: counts on it begin again. */
  reopen(now: number): void {
    this.linked = true;
    this.heardAt = Math.max(this.heardAt, now);
    this.starts = 0;
    this.unseen.length = 0;
    this.bytesOnTheWay = 0;
    this.reserved = NO_RESOURCES;
    this.released = NO_RESOURCES;
  }

  /** Takes a ping; pings prove that the agent lived, and carry its clock. */
  recordPing(ping: Ping, now: number): void {
    this.heardAt = now;
    this.recordClock(ping.at, now);
    if (ping.room) this.recordCapacity(ping.room, now);
    else this.observe(0, now);
  }

  /** Takes the agent's clock from any message that has just come. */
  recordClock(at: number, now: number): void {
    this.agentClock = at;
    this.clockAt = now;
  }

  /** Takes a room that is newer than the one known. */
  recordCapacity(room: CapacityReport, now: number): void {
    const { description = this.room, ...rest } = room;
    if (!description) return;
    const { upstream, service, labels, capacity } = description;
    const freeBefore = this.free.cpuMilli;
    const isSame = this.room?.upstream === upstream && equalResources(this.room.capacity, capacity);
    const isDown = room.state === 'silent' || room.state === 'absent';
    if (isDown && this.room?.state === 'ready') this.downAt = now;
    this.room = { upstream, service, labels, capacity, ...rest };
    this.released = NO_RESOURCES;
    while (this.unseen[0] && this.unseen[0].number <= room.startsSeen) {
      const seen = this.unseen.shift();
      if (!seen) continue;
      this.reserved = subtractResources(this.reserved, seen.need);
      this.bytesOnTheWay -= seen.bytes;
    }
    if (isSame) this.observe(Math.max(0, freeBefore - this.free.cpuMilli), now);
    this.roomAt = now;
  }

  private observe(taken: number, now: number): void {
    this.taken = this.taken * KEPT_SHARE + taken;
    this.observedMs = this.observedMs * KEPT_SHARE + (now - this.roomAt);
    this.roomAt = now;
  }

  /**
   * Estimates how probable it is that others have taken the room meanwhile that a task needs: the less is left beyond
   * the task, against what others take in the time since the room was told, the likelier.
   *
   * @param need - of the task
   * @param now - monotonic time, ms
   * @returns 0 to 1
   */
  estimateRisk(need: Resources, now: number): number {
    if (this.taken === 0 || this.observedMs === 0) return 0;
    const takenSince = (this.taken / this.observedMs) * (now - this.roomAt + START_TRIP_MS);
    return Math.exp(-Math.max(0, this.free.cpuMilli - need.cpuMilli) / takenSince);
  }

  /** Takes room for a start of so many bytes that is sent now. */
  reserve(need: Resources, bytes = 0): void {
    this.starts += 1;
    this.unseen.push({ number: this.starts, need, bytes });
    this.bytesOnTheWay += bytes;
    this.reserved = addResources(this.reserved, need);
  }

  /** Takes the room of an attempt that has ended for free; the agent tells its room again after a result. */
  release(need: Resources): void {
    this.released = addResources(this.released, need);
  }

  /** The agent's clock now; behind it by the time its last message took. */
  estimateClock(now: number): number {
    return this.agentClock + (now - this.clockAt);
  }
}
