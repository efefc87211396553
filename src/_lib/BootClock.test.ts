import { expect } from 'chai';
import * as fc from 'fast-check';

import { BootClock } from './BootClock.js';

/** Time after which the boot clock is relied on. */
const TRUST_MS = 11_000;
const STEP_MS = 10;
/** How far a clock of steps of 10 ms may be off. */
const CLOSE_MS = 25;
const NOON_MS = 1_700_000_000_000;

describe('BootClock', () => {
  let steady: number;
  let timeOfDay: number;
  let boot: () => number;
  let bootMs: number;
  let looks: number;
  let notes: string[];
  let clock: BootClock;

  /** Moves all clocks on, and reads now and then, as a process does. */
  function advance(ms: number): void {
    for (let gone = 0; gone < ms; gone += STEP_MS) {
      steady += STEP_MS;
      timeOfDay += STEP_MS;
      bootMs += STEP_MS;
      clock.now();
    }
  }

  /** Suspends the VM, and sets the time of day by so much at once. */
  function suspend(ms: number, stepMs = 0): void {
    timeOfDay += ms + stepMs;
    bootMs += ms;
  }

  beforeEach(() => {
    steady = 1_000;
    timeOfDay = NOON_MS;
    bootMs = 50_000;
    boot = () => Math.floor(bootMs / STEP_MS) * STEP_MS;
    looks = 0;
    notes = [];
    const readings = {
      readSteady: () => steady,
      readTimeOfDay: () => timeOfDay,
      readBoot: () => {
        looks += 1;
        return boot();
      },
    };
    clock = new BootClock((event, { ms }) => notes.push(`${event} ${String(ms)}`), readings);
  });

  it('counts suspended time at the first reading after waking', () => {
    advance(TRUST_MS);
    const before = clock.now();
    suspend(3_000);
    expect(clock.now() - before).to.be.closeTo(3_000, CLOSE_MS);
    expect(clock.readSteady()).to.equal(steady);
    expect(notes.at(-1)).to.equal('suspended 3000');
  });

  it('takes no step of the time of day for a suspension', () => {
    advance(TRUST_MS);
    const before = clock.now();
    timeOfDay += 3_600_000;
    expect(clock.now()).to.equal(before);
    timeOfDay -= 7_200_000;
    expect(clock.now()).to.equal(before);
    expect(notes.slice(1)).to.deep.equal(['time-of-day-stepped 3600000', 'time-of-day-stepped -7200000']);
  });

  it('counts a suspension that a step of the time of day comes with', () => {
    advance(TRUST_MS);
    for (const stepMs of [-3_600_000, -1_000, 500, 3_600_000]) {
      const before = clock.now();
      suspend(2_000, stepMs);
      expect(clock.now() - before).to.be.closeTo(2_000, CLOSE_MS);
      advance(1_000);
    }
  });

  it('counts a suspension that a step back hides, some looks later', () => {
    advance(TRUST_MS);
    const before = clock.now();
    suspend(2_000, -2_000);
    advance(300);
    expect(clock.now() - before).to.be.closeTo(2_300, CLOSE_MS);
  });

  it('adds up suspensions that are too short to be told one by one', () => {
    advance(TRUST_MS);
    const before = clock.now();
    for (let round = 0; round < 20; round += 1) {
      suspend(10);
      advance(250);
    }
    expect(clock.now() - before - 20 * 250).to.be.closeTo(200, CLOSE_MS + STEP_MS);
  });

  it('takes each step forward of the time of day for a suspension while the boot clock is not relied on', () => {
    const before = clock.now();
    timeOfDay += 3_000;
    expect(clock.now() - before).to.equal(3_000);
    timeOfDay -= 3_000;
    expect(clock.now() - before).to.equal(3_000);
  });

  it('counts a suspension that a step back hides also before it knows the boot clock', () => {
    advance(1_000);
    const before = clock.now();
    suspend(2_000, -2_000);
    advance(300);
    expect(clock.now() - before).to.be.closeTo(2_300, CLOSE_MS);
  });

  it('finds out early that a boot clock goes at many times the pace of the others', () => {
    boot = () => 50_000 + (bootMs - 50_000) * 18;
    clock.now();
    const before = steady;
    advance(5_000);
    expect(clock.now() - before - 5_000).to.be.below(600);
  });

  const oddClocks: Readonly<Record<string, () => number>> = {
    'stands still': () => 50_000,
    'goes back': () => -bootMs,
    'counts seconds only': () => Math.floor(bootMs / 1_000) * 1_000,
    'goes at another pace': () => bootMs * 1.7,
    'cannot be read': () => {
      throw new Error('no such file');
    },
  };

  for (const [how, read] of Object.entries(oddClocks)) {
    it(`relies on no boot clock that ${how}`, () => {
      boot = read;
      advance(1_000);
      const before = clock.now();
      advance(60_000);
      expect(clock.now() - before).to.equal(60_000);
      suspend(3_000);
      expect(clock.now() - before).to.equal(63_000);
    });

    it(`soon relies no more on a boot clock that ${how} all at once`, () => {
      advance(TRUST_MS);
      boot = read;
      advance(2_000);
      const before = clock.now();
      advance(20_000);
      suspend(3_000);
      expect(clock.now() - before).to.equal(23_000);
    });
  }

  it('looks at the boot clock no more than four times a second', () => {
    advance(60_000);
    expect(looks).to.be.lessThan(4 * 60 + 5);
  });

  it('never goes back, and counts what the boot clock counts once that is relied on', () => {
    const change = fc.record({
      ms: fc.integer({ min: 0, max: 2_000 }),
      suspendedMs: fc.constantFrom(0, 0, 40, 300, 5_000),
      stepMs: fc.constantFrom(0, 0, 30, -30, 5_000, -5_000, -3_600_000),
    });
    const changes = fc.array(change, { maxLength: 20 });
    const property = fc.property(changes, (drawn) => {
      advance(TRUST_MS);
      const before = clock.now();
      const bootBefore = bootMs;
      let last = before;
      for (const { ms, suspendedMs, stepMs } of drawn) {
        suspend(suspendedMs, stepMs);
        expect(clock.now()).to.be.at.least(last);
        advance(ms + 750);
        last = clock.now();
      }
      expect(last - before).to.be.closeTo(bootMs - bootBefore, CLOSE_MS + STEP_MS);
    });
    fc.assert(property);
  });
});
