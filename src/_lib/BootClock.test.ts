import { expect } from 'chai';
import * as fc from 'fast-check';

import { BootClock } from './BootClock.js';

/** Time after which the boot clock is trusted, ms. */
const TRUST_MS = 11_000;
const STEP_MS = 10;
/** Tolerance for a clock with a resolution of 10 ms. */
const TOLERANCE_MS = 25;
const NOON_MS = 1_700_000_000_000;

describe('BootClock', () => {
  let steady: number;
  let timeOfDay: number;
  let boot: () => number;
  let bootMs: number;
  let bootReads: number;
  let reports: string[];
  let clock: BootClock;

  /** Advances all clocks and reads the clock in each step. */
  function advance(ms: number): void {
    for (let gone = 0; gone < ms; gone += STEP_MS) {
      steady += STEP_MS;
      timeOfDay += STEP_MS;
      bootMs += STEP_MS;
      clock.now();
    }
  }

  /** Suspends the VM and steps the wall clock at the same time. */
  function suspend(ms: number, stepMs = 0): void {
    timeOfDay += ms + stepMs;
    bootMs += ms;
  }

  beforeEach(() => {
    steady = 1_000;
    timeOfDay = NOON_MS;
    bootMs = 50_000;
    boot = () => Math.floor(bootMs / STEP_MS) * STEP_MS;
    bootReads = 0;
    reports = [];
    const readings = {
      readSteady: () => steady,
      readTimeOfDay: () => timeOfDay,
      readBoot: () => {
        bootReads += 1;
        return boot();
      },
    };
    clock = new BootClock((event, { ms }) => reports.push(`${event} ${String(ms)}`), readings);
  });

  it('includes suspended time in the first reading after resuming', () => {
    advance(TRUST_MS);
    const before = clock.now();
    suspend(3_000);
    expect(clock.now() - before).to.be.closeTo(3_000, TOLERANCE_MS);
    expect(clock.readSteady()).to.equal(steady);
    expect(reports.at(-1)).to.equal('suspended 3000');
  });

  it('does not count a step of the wall clock as a suspension', () => {
    advance(TRUST_MS);
    const before = clock.now();
    timeOfDay += 3_600_000;
    expect(clock.now()).to.equal(before);
    timeOfDay -= 7_200_000;
    expect(clock.now()).to.equal(before);
    expect(reports.slice(1)).to.deep.equal(['time-of-day-stepped 3600000', 'time-of-day-stepped -7200000']);
  });

  it('counts a suspension that coincides with a step of the wall clock', () => {
    advance(TRUST_MS);
    for (const stepMs of [-3_600_000, -1_000, 500, 3_600_000]) {
      const before = clock.now();
      suspend(2_000, stepMs);
      expect(clock.now() - before).to.be.closeTo(2_000, TOLERANCE_MS);
      advance(1_000);
    }
  });

  it('counts a suspension that a step back masks, after some samples', () => {
    advance(TRUST_MS);
    const before = clock.now();
    suspend(2_000, -2_000);
    advance(300);
    expect(clock.now() - before).to.be.closeTo(2_300, TOLERANCE_MS);
  });

  it('adds up suspensions that are too short to be detected one by one', () => {
    advance(TRUST_MS);
    const before = clock.now();
    for (let round = 0; round < 20; round += 1) {
      suspend(10);
      advance(250);
    }
    expect(clock.now() - before - 20 * 250).to.be.closeTo(200, TOLERANCE_MS + STEP_MS);
  });

  it('counts each forward step of the wall clock as a suspension while the boot clock is not trusted', () => {
    const before = clock.now();
    timeOfDay += 3_000;
    expect(clock.now() - before).to.equal(3_000);
    timeOfDay -= 3_000;
    expect(clock.now() - before).to.equal(3_000);
  });

  it('counts a suspension that a step back masks before the boot clock is trusted', () => {
    advance(1_000);
    const before = clock.now();
    suspend(2_000, -2_000);
    advance(300);
    expect(clock.now() - before).to.be.closeTo(2_300, TOLERANCE_MS);
  });

  it('detects during startup that the boot clock runs many times faster than the others', () => {
    boot = () => 50_000 + (bootMs - 50_000) * 18;
    clock.now();
    const before = steady;
    advance(5_000);
    expect(clock.now() - before - 5_000).to.be.below(600);
  });

  const faultyClocks: Readonly<Record<string, () => number>> = {
    'is stopped': () => 50_000,
    'runs backwards': () => -bootMs,
    'has a resolution of one second': () => Math.floor(bootMs / 1_000) * 1_000,
    'runs at another rate': () => bootMs * 1.7,
    'cannot be read': () => {
      throw new Error('no such file');
    },
  };

  for (const [how, read] of Object.entries(faultyClocks)) {
    it(`does not trust a boot clock that ${how}`, () => {
      boot = read;
      advance(1_000);
      const before = clock.now();
      advance(60_000);
      expect(clock.now() - before).to.equal(60_000);
      suspend(3_000);
      expect(clock.now() - before).to.equal(63_000);
    });

    it(`stops trusting a boot clock that suddenly ${how}`, () => {
      advance(TRUST_MS);
      boot = read;
      advance(2_000);
      const before = clock.now();
      advance(20_000);
      suspend(3_000);
      expect(clock.now() - before).to.equal(23_000);
    });
  }

  it('reads the boot clock at most four times a second', () => {
    advance(60_000);
    expect(bootReads).to.be.lessThan(4 * 60 + 5);
  });

  it('never goes back, and follows the boot clock once it is trusted', () => {
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
      expect(last - before).to.be.closeTo(bootMs - bootBefore, TOLERANCE_MS + STEP_MS);
    });
    fc.assert(property);
  });
});
