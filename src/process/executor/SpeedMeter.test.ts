import { expect } from 'chai';

import { createSpeedMeter } from './SpeedMeter.js';
import type { SpeedMeter } from './SpeedMeter.js';

/** Interval between two samples, ms; about that of renewals. */
const SAMPLE_MS = 50;
const ESTIMATE_MS = 1_000;
/** Ratio to the typical speed below which dispatchers avoid an upstream. */
const SLOW_RATIO = 0.4;

/** Simulated tasks at one upstream, sampled as by a session. */
class SimulatedTasks {
  speed = 1;
  private now = 0;
  private readonly progress = new Map<string, { percent: number; factor: number }>();
  private started = 0;

  constructor(readonly meter: SpeedMeter) {}

  get value(): number {
    return this.meter.read(this.now);
  }

  /** Starts a task whose duration is a multiple of its estimate. */
  begin(factor = 1): void {
    this.started += 1;
    this.progress.set(String(this.started), { percent: 0, factor });
  }

  advance(ms: number, onSample?: (value: number) => void): void {
    for (const until = this.now + ms; this.now < until;) {
      this.now += SAMPLE_MS;
      for (const [key, task] of [...this.progress]) this.advanceTask(key, task);
      onSample?.(this.value);
    }
  }

  private advanceTask(key: string, task: { percent: number; factor: number }): void {
    const done = (this.speed * SAMPLE_MS) / (ESTIMATE_MS * task.factor);
    const before = Math.floor(task.percent * 100) / 100;
    task.percent = Math.min(1, task.percent + done);
    const share = Math.floor(task.percent * 100) / 100 - before;
    this.meter.record({ key, share, estimateMs: ESTIMATE_MS, elapsedMs: SAMPLE_MS }, this.now);
    if (task.percent < 1) return;
    this.progress.delete(key);
    this.meter.recordEnd(key, true, this.now);
    this.begin();
  }
}

describe('SpeedMeter', () => {
  let tasks: SimulatedTasks;

  describe('by the median', () => {
    beforeEach(() => {
      tasks = new SimulatedTasks(createSpeedMeter('median', 0));
    });

    it('is not affected by one task that takes seven times its estimate', () => {
      for (let task = 0; task < 3; task += 1) tasks.begin();
      tasks.advance(1_500);
      tasks.begin(7);
      tasks.advance(6_000, (value) => expect(value).to.be.within(0.8, 1.2));
    });

    it('is not affected by such a task that runs alone after others', () => {
      for (let at = 0; at < 3; at += 1) {
        tasks.meter.record({ key: `e${at}`, share: 1, estimateMs: 100, elapsedMs: 100 }, 0);
        tasks.meter.recordEnd(`e${at}`, true, 0);
      }
      tasks.begin(7);
      tasks.advance(5_000, (value) => expect(value).to.be.within(0.8, 1.2));
    });

    for (const [name, speed] of [
      ['turns six times slower', 1 / 6],
      ['stalls', 0],
    ] as const) {
      it(`detects within half a second that the upstream ${name}`, () => {
        for (let task = 0; task < 4; task += 1) tasks.begin();
        tasks.advance(1_300);
        tasks.speed = speed;
        tasks.advance(500);
        expect(tasks.value).to.be.below(SLOW_RATIO);
        tasks.speed = 1;
        tasks.advance(500);
        expect(tasks.value).to.be.above(0.7);
      });
    }

    it('detects that an upstream is stalled if its only task is', () => {
      tasks.begin();
      tasks.advance(1_300);
      tasks.speed = 0;
      tasks.advance(700);
      expect(tasks.value).to.be.below(0.05);
    });

    it('returns to 1 while the upstream is idle', () => {
      tasks.meter.record({ key: 'a', share: 1, estimateMs: 30, elapsedMs: 100 }, 0);
      tasks.meter.recordEnd('a', true, 0);
      expect(tasks.meter.read(100)).to.be.closeTo(0.3, 0.01);
      expect(tasks.meter.read(5_000)).to.equal(1);
    });
  });

  describe('by the mean', () => {
    it('is low while most tasks take longer than their estimates', () => {
      tasks = new SimulatedTasks(createSpeedMeter('mean', 0));
      tasks.begin(7);
      tasks.begin(7);
      tasks.begin();
      tasks.advance(900);
      expect(tasks.value).to.be.below(0.5);
    });
  });
});
