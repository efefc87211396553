/** What one queue has had of the room, and may have. Work is in thousandths of a core times ms of estimates. */
import { RateMeter } from './RateMeter.js';

/**
 * How much less of what it asks for a queue may claim with each step of priority: enough that it gives way first, little
 * enough that it is not served less than half as often.
 */
const WEIGHT_STEP = 1.25;
/** Time over which a queue's arrivals are averaged, ms: a burst of seconds does not raise the share by much. */
const ARRIVALS_MS = 10_000;
/** Work that goes ahead of all shares, against the learnt arrivals: callers of an urgent queue may double for seconds. */
const HEADROOM_FACTOR = 2;
/** Time for which headroom that was not used is kept, ms. */
const HEADROOM_MS = 1_000;

/** Share of one queue. */
export class QueueShare {
  /** Virtual time at which the work that was sent is paid for. */
  tag = 0;
  private readonly arrivals = new RateMeter(ARRIVALS_MS);
  private headroom = 0;
  private filledAt = 0;

  /** @param priority - of the queue; 0 goes first */
  constructor(readonly priority: number) {}

  /** Counts work that callers ask for. */
  noteArrived(work: number, now: number): void {
    this.arrivals.add(work, now);
  }

  /** Counts work that was sent; negative work was not run after all. */
  noteServed(work: number, virtualTime: number, now: number): void {
    this.tag = Math.max(this.tag, virtualTime) + work / this.findWeight(now);
    this.headroom = this.fillHeadroom(now) - work;
  }

  /** Weight of the queue's share: the work that it usually asks for, and its priority. */
  findWeight(now: number): number {
    return Math.max(1, this.arrivals.read(now)) * WEIGHT_STEP ** -this.priority;
  }

  /** Work that may go ahead of all shares now. */
  fillHeadroom(now: number): number {
    const rate = this.arrivals.read(now) * HEADROOM_FACTOR;
    this.headroom = Math.min(this.headroom + rate * (now - this.filledAt), rate * HEADROOM_MS);
    this.filledAt = now;
    return this.headroom;
  }
}
