import { expect } from 'chai';

import { createSpeedMeter } from './SpeedMeter.js';
import type { SpeedMeter } from './SpeedMeter.js';

/** Between two looks at what runs, as renewals bring it, ms. */
const LOOK_MS = 50;
const ESTIMATE_MS = 1_000;
/** Part of the typical speed below which dispatchers leave an upstream alone. */
const SLOW = 0.4;

/** Tasks at one upstream, looked at as a session does. */
class Load {
  speed = 1;
  private now = 0;
  private readonly progress = new Map<string, { percent: number; factor: number }>();
  private started = 0;

  constructor(readonly meter: SpeedMeter) {}

  get value(): number {
    return this.meter.read(this.now);
  }

  /** Begins a task that takes so many times its estimate. */
  begin(factor = 1): void {
    this.started += 1;
    this.progress.set(String(this.started), { percent: 0, factor });
  }

  advance(ms: number, look?: (value: number) => void): void {
    for (const until = this.now + ms; this.now < until;) {
      this.now += LOOK_MS;
      for (const [key, task] of [...this.progress]) this.work(key, task);
      look?.(this.value);
    }
  }

  private work(key: string, task: { percent: number; factor: number }): void {
    const done = (this.speed * LOOK_MS) / (ESTIMATE_MS * task.factor);
    const before = Math.floor(task.percent * 100) / 100;
    task.percent = Math.min(1, task.percent + done);
    const share = Math.floor(task.percent * 100) / 100 - before;
    this.meter.note({ key, share, estimateMs: ESTIMATE_MS, elapsedMs: LOOK_MS }, this.now);
    if (task.percent < 1) return;
    this.progress.delete(key);
    this.meter.noteEnd(key, true, this.now);
    this.begin();
  }
}

describe('SpeedMeter', () => {
  let load: Load;

  describe('by the median', () => {
    beforeEach(() => {
      load = new Load(createSpeedMeter('median', 0));
    });

    it('is not moved by one task that takes seven times its estimate', () => {
      for (let task = 0; task < 3; task += 1) load.begin();
      load.advance(1_500);
      load.begin(7);
      load.advance(6_000, (value) => expect(value).to.be.within(0.8, 1.2));
    });

    it('is not moved by such a task that runs by itself after others', () => {
      for (let at = 0; at < 3; at += 1) {
        load.meter.note({ key: `e${at}`, share: 1, estimateMs: 100, elapsedMs: 100 }, 0);
        load.meter.noteEnd(`e${at}`, true, 0);
      }
      load.begin(7);
      load.advance(5_000, (value) => expect(value).to.be.within(0.8, 1.2));
    });

    for (const [name, speed] of [
      ['turns six times slower', 1 / 6],
      ['stands still', 0],
    ] as const) {
      it(`sees within half a second that the upstream ${name}`, () => {
        for (let task = 0; task < 4; task += 1) load.begin();
        load.advance(1_300);
        load.speed = speed;
        load.advance(500);
        expect(load.value).to.be.below(SLOW);
        load.speed = 1;
        load.advance(500);
        expect(load.value).to.be.above(0.7);
      });
    }

    it('sees that an upstream stands still whose only task does', () => {
      load.begin();
      load.advance(1_300);
      load.speed = 0;
      load.advance(700);
      expect(load.value).to.be.below(0.05);
    });

    it('takes an upstream that has been idle for an ordinary one', () => {
      load.meter.note({ key: 'a', share: 1, estimateMs: 30, elapsedMs: 100 }, 0);
      load.meter.noteEnd('a', true, 0);
      expect(load.meter.read(100)).to.be.closeTo(0.3, 0.01);
      expect(load.meter.read(5_000)).to.equal(1);
    });
  });

  describe('by the mean', () => {
    it('is slow while most of what runs takes longer than its estimate', () => {
      load = new Load(createSpeedMeter('mean', 0));
      load.begin(7);
      load.begin(7);
      load.begin();
      load.advance(900);
      expect(load.value).to.be.below(0.5);
    });
  });
});
