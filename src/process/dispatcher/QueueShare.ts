/** Share of one queue in the capacity. Work is in thousandths of a core times estimated ms. */
import { RateMeter } from './RateMeter.js';

/**
 * Factor by which each priority step reduces the weight of a queue: large enough that the queue gives way
 * first, small enough that three steps leave it more than half of its weight.
 */
const WEIGHT_STEP = 1.25;
/** Time constant of the arrival rate, ms; long enough that a burst of seconds hardly raises the share. */
const ARRIVAL_WINDOW_MS = 10_000;
/** Rate of work ahead of all shares, relative to the arrival rate, so that an urgent queue may double. */
const HEADROOM_FACTOR = 2;
/** Time for which unused headroom accumulates, ms. */
const HEADROOM_MS = 1_000;

/** Weight, served work and headroom of one queue. */
export class QueueShare {
  /** Virtual time up to which sent work is accounted for. */
  tag = 0;
  private readonly arrivals = new RateMeter(ARRIVAL_WINDOW_MS);
  private headroom = 0;
  private refilledAt = 0;

  /** @param priority - priority of the queue; 0 is the most urgent */
  constructor(readonly priority: number) {}

  /** Records the work of a new job. */
  recordArrived(work: number, now: number): void {
    this.arrivals.add(work, now);
  }

  /** Records sent work; negative for work that was returned without having run. */
  recordServed(work: number, virtualTime: number, now: number): void {
    this.tag = Math.max(this.tag, virtualTime) + work / this.computeWeight(now);
    this.headroom = this.refillHeadroom(now) - work;
  }

  /** Computes the weight of the queue from its arrival rate and its priority. */
  computeWeight(now: number): number {
    return Math.max(1, this.arrivals.read(now)) * WEIGHT_STEP ** -this.priority;
  }

  /** Refills the headroom, and returns the work that may be placed ahead of all shares. */
  refillHeadroom(now: number): number {
    const rate = this.arrivals.read(now) * HEADROOM_FACTOR;
    this.headroom = Math.min(this.headroom + rate * (now - this.refilledAt), rate * HEADROOM_MS);
    this.refilledAt = now;
    return this.headroom;
  }
}
