import TinyQueue from 'tinyqueue';

import type { Timeline } from '../../src/_lib/Timeline.js';

interface TimedEvent {
  readonly at: number;
  readonly order: number;
  readonly run: () => void;
}

/** Virtual time that advances from one event to the next. */
export class FakeTimeline implements Timeline {
  private time = 0;
  private count = 0;
  private readonly queue = new TinyQueue<TimedEvent>([], (a, b) => a.at - b.at || a.order - b.order);

  now(): number {
    return this.time;
  }

  schedule(delayMs: number, run: () => void): void {
    this.count += 1;
    this.queue.push({ at: this.time + Math.max(0, delayMs), order: this.count, run });
  }

  /** Runs events until a time, or until a condition holds; the condition is checked after each event. */
  runUntil(untilMs: number, holds: () => boolean = () => false): void {
    while (this.queue.length > 0 && (this.queue.peek() as TimedEvent).at <= untilMs) {
      const next = this.queue.pop() as TimedEvent;
      this.time = next.at;
      next.run();
      if (holds()) return;
    }
    this.time = Math.max(this.time, untilMs);
  }
}
