import { expect } from 'chai';
import * as fc from 'fast-check';

import { DriftingClock } from '../../../test/fakes/DriftingClock.js';
import { CLOCK_DRIFT, UpstreamLease } from './UpstreamLease.js';

const LEASE_MS = 585;
const MAX_LEASE_MS = 1_000;
/** Clock of the upstream at local time 0, ms. */
const FIRST_CLOCK_MS = 500_000;
/** Runs of each property. */
const RUNS = 400;
/** Tolerance for the rounding of floating-point numbers, ms. */
const ROUNDING_MS = 1e-6;

/** Time that passes, then the answer to a call or an extension of the lease. */
const passedMs = fc.nat(1_500);
const answer = fc.record({ passedMs, agoMs: fc.oneof(fc.nat(5), fc.nat(300)) });
const extension = fc.record({
  passedMs,
  allowedMs: fc.oneof(fc.integer({ min: -200, max: 800 }), fc.constant(Infinity)),
});
const events = fc.array(fc.oneof(answer, extension), { minLength: 1, maxLength: 40 });
const rate = fc.oneof(
  fc.constant(1 - CLOCK_DRIFT),
  fc.double({ min: 1 - CLOCK_DRIFT, max: 1 + CLOCK_DRIFT, noNaN: true }),
);

describe('UpstreamLease', () => {
  it('is extended by a lease unless less is allowed', () => {
    const lease = new UpstreamLease(FIRST_CLOCK_MS, 0, LEASE_MS, LEASE_MS);
    expect(lease.extend(0)).to.equal(FIRST_CLOCK_MS + LEASE_MS);
    expect(lease.untilMs).to.equal(FIRST_CLOCK_MS + LEASE_MS);
    expect(lease.extend(0, 10_000)).to.equal(FIRST_CLOCK_MS + LEASE_MS);
    // (321 - 15) / 1.02
    expect(lease.extend(0, 321)).to.equal(FIRST_CLOCK_MS + 300);
  });

  it('is not extended if no run may be active soon', () => {
    const lease = new UpstreamLease(FIRST_CLOCK_MS, 0, LEASE_MS, LEASE_MS);
    const { aliveUntil } = lease;
    for (const allowedMs of [-Infinity, -1, 0, 15, 16]) {
      expect(lease.canExtend(0, allowedMs)).to.equal(false);
      expect(lease.extend(0, allowedMs)).to.equal(undefined);
    }
    expect(lease.untilMs).to.equal(0);
    expect(lease.aliveUntil).to.equal(aliveUntil);
    expect(lease.canExtend(0, 17)).to.equal(true);
  });

  it('allows less the older the newest answer is', () => {
    const lease = new UpstreamLease(FIRST_CLOCK_MS, 0, LEASE_MS, LEASE_MS);
    expect(lease.extend(1_000, 321)).to.equal(FIRST_CLOCK_MS + 1_000 + 300 - 1_000 * CLOCK_DRIFT);
  });

  // Guards against runs that go on beside a second start of their task, because their lease lasts longer than they may.
  it('ends at the upstream by the allowed time, for any clock that is within 2%', () => {
    fc.assert(
      fc.property(rate, events, (clockRate, drawn) => {
        let now = 0;
        const clock = new DriftingClock(clockRate, () => now);
        const lease = new UpstreamLease(clock.read(), now, LEASE_MS, LEASE_MS);
        for (const event of drawn) {
          now += event.passedMs;
          if ('agoMs' in event) {
            lease.recordClock(clock.read(Math.min(now, event.agoMs)), now);
            continue;
          }
          const until = lease.extend(now, event.allowedMs);
          if (until === undefined) continue;
          expect(clock.findLocalTime(until)).to.be.at.most(now + event.allowedMs + ROUNDING_MS);
        }
      }),
      { numRuns: RUNS },
    );
  });

  it('is over by the time until which runs are assumed to be active, for any clock that is within 2%', () => {
    fc.assert(
      fc.property(rate, events, (clockRate, drawn) => {
        let now = 0;
        let untilMs = 0;
        const clock = new DriftingClock(clockRate, () => now);
        const lease = new UpstreamLease(clock.read(), now, LEASE_MS, LEASE_MS);
        for (const event of drawn) {
          now += event.passedMs;
          if ('agoMs' in event) lease.recordClock(clock.read(Math.min(now, event.agoMs)), now);
          else untilMs = Math.max(untilMs, lease.extend(now, event.allowedMs) ?? 0);
          expect(lease.aliveUntil).to.be.at.least(clock.findLocalTime(untilMs) - ROUNDING_MS);
        }
      }),
      { numRuns: RUNS },
    );
  });

  it('lasts up to the longest lease if another incarnation may get it, however little is allowed', () => {
    const lease = new UpstreamLease(FIRST_CLOCK_MS, 0, LEASE_MS, MAX_LEASE_MS);
    lease.recordClock(FIRST_CLOCK_MS + 5_000, 5_000);
    expect(lease.extend(5_000, 321)).to.equal(FIRST_CLOCK_MS + 5_300);
    expect(lease.aliveUntil).to.be.at.least(5_000 + MAX_LEASE_MS);
  });
});
