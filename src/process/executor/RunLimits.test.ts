import { expect } from 'chai';
import * as fc from 'fast-check';

import { DriftingClock } from '../../../test/fakes/DriftingClock.js';
import { FakeClock } from '../../../test/fakes/FakeClock.js';
import { buildStartOrder } from '../../../test/fakes/upstreamFixtures.js';
import { createLocalTask } from './localTask.js';
import type { LocalTask } from './localTask.js';
import { RunLimits } from './RunLimits.js';
import { CLOCK_DRIFT, UpstreamLease } from './UpstreamLease.js';

const LEASE_MS = 585;
/** Time after the newest acknowledged ping of a dispatcher by which its runs must be over, ms. */
const END_LIMIT_MS = 1_184;
/** Age of the newest acknowledged ping of a dispatcher beyond which none of its tasks is started, ms. */
const ORPHAN_AFTER_MS = 520;
/** Transit of an answer, ms. */
const ANSWER_MS = 8;
/** Runs of the property. */
const RUNS = 400;
/** Tolerance for the rounding of floating-point numbers, ms. */
const ROUNDING_MS = 1e-6;

/** Limits of the runs at one upstream, and the newest acknowledged pings of their dispatchers. */
class LimitsFixture {
  readonly clock = new FakeClock();
  readonly tasks = new Map<string, LocalTask>();
  private readonly acknowledgedAt = new Map<string, number>();
  readonly limits = new RunLimits(this.tasks, this.clock, END_LIMIT_MS, (owner) => this.findEndLimit(owner));

  findEndLimit(owner: string): number {
    return (this.acknowledgedAt.get(owner) ?? -Infinity) + END_LIMIT_MS;
  }

  acknowledge(owner: string): void {
    this.acknowledgedAt.set(owner, this.clock.now());
  }

  addTask(key: string, owner: string): LocalTask {
    const task = createLocalTask(key, buildStartOrder(0), owner, this.clock.now());
    this.tasks.set(key, task);
    return task;
  }
}

/** Runs at an upstream whose clock runs at another rate, and their lease. */
class LeasedRuns extends LimitsFixture {
  /** Local time at which the lease ends, with all runs. */
  leaseEnd = -Infinity;
  /** Time by which the runs that have been given up must be over. */
  private readonly givenUp = new Map<LocalTask, number>();
  private readonly upstreamClock: DriftingClock;
  private readonly lease: UpstreamLease;

  /** @param clockRate - progress of the upstream's clock per local time */
  constructor(clockRate: number) {
    super();
    this.upstreamClock = new DriftingClock(clockRate, () => this.clock.now());
    this.lease = new UpstreamLease(this.upstreamClock.read(), this.clock.now(), LEASE_MS, LEASE_MS);
    this.limits.recordUnknown(0, 0);
  }

  apply(what: (typeof EVENTS)[number], owner: string): void {
    if (what === 'acknowledge') this.acknowledge(owner);
    if (what === 'start') this.start(owner);
    if (what === 'give-up') this.giveUp(owner);
    if (what === 'end') for (const task of this.listTasks(owner)) task.stopAcceptedAt = this.clock.now();
    if (what === 'extend') this.extend();
    if (what === 'answer') this.lease.recordClock(this.upstreamClock.read(ANSWER_MS), this.clock.now());
  }

  /** Time by which the first run must be over. */
  get firstEnd(): number {
    const active = [...this.tasks.values()].filter(({ stopAcceptedAt }) => stopAcceptedAt === undefined);
    return Math.min(
      Infinity,
      ...active.map((task) => this.givenUp.get(task) ?? this.findEndLimit(task.owner)),
    );
  }

  private giveUp(owner: string): void {
    for (const task of this.listTasks(owner)) {
      if (!this.givenUp.has(task)) this.givenUp.set(task, this.findEndLimit(owner));
      this.limits.fix(task);
    }
  }

  /** Starts a task of a dispatcher, unless its newest acknowledged ping is too old. */
  private start(owner: string): void {
    const ageMs = this.clock.now() + END_LIMIT_MS - this.findEndLimit(owner);
    if (ageMs > ORPHAN_AFTER_MS) return;
    this.addTask(`job/0/${this.tasks.size}`, owner);
    this.extend();
  }

  private extend(): void {
    const until = this.lease.extend(this.clock.now(), this.limits.findAllowance());
    if (until !== undefined) this.leaseEnd = Math.max(this.leaseEnd, this.upstreamClock.findLocalTime(until));
  }

  private listTasks(owner: string): LocalTask[] {
    return [...this.tasks.values()].filter((task) => task.owner === owner);
  }
}

const EVENTS = ['acknowledge', 'start', 'start', 'give-up', 'end', 'extend', 'extend', 'answer'] as const;
const event = fc.record({
  passedMs: fc.nat(400),
  owner: fc.constantFrom('a', 'b', 'c'),
  what: fc.constantFrom(...EVENTS),
});
const rate = fc.oneof(
  fc.constant(1 - CLOCK_DRIFT),
  fc.double({ min: 1 - CLOCK_DRIFT, max: 1 + CLOCK_DRIFT, noNaN: true }),
);

describe('RunLimits', () => {
  let fixture: LimitsFixture;

  beforeEach(() => {
    fixture = new LimitsFixture();
    fixture.acknowledge('a');
    fixture.acknowledge('b');
    fixture.limits.recordUnknown(0, 0);
  });

  it('allow no lease until a list has shown that no unknown run is there', () => {
    const { limits } = new LimitsFixture();
    expect(limits.isListed).to.equal(false);
    expect(limits.findAllowance()).to.equal(0);
    limits.recordUnknown(2, 0);
    expect(limits.isListed).to.equal(true);
    expect(limits.findAllowance()).to.equal(0);
    expect(limits.describeFirst()).to.deep.equal({ reason: 'unknown-runs' });
    limits.recordUnknown(0, 0);
    expect(limits.findAllowance()).to.equal(Infinity);
  });

  it('allow no lease after calls of another session until the next list', () => {
    const { limits } = fixture;
    limits.handleForeignWriter();
    expect(limits.isListed).to.equal(false);
    expect(limits.findAllowance()).to.equal(0);
    limits.recordUnknown(0, fixture.clock.now() - 1);
    expect(limits.findAllowance()).to.equal(0);
    limits.recordUnknown(0, fixture.clock.now());
    expect(limits.findAllowance()).to.equal(Infinity);
  });

  it('are fixed no later than the end of the leases granted so far', () => {
    const task = fixture.addTask('job/0/0', 'a');
    const limits = new RunLimits(fixture.tasks, fixture.clock, 100, () => Infinity);
    limits.recordUnknown(0, 0);
    expect(limits.findAllowance()).to.equal(Infinity);
    limits.fix(task);
    expect(limits.findAllowance()).to.equal(100);
  });

  it('move on with the pings that the dispatcher of a run acknowledges', async () => {
    fixture.addTask('job/0/0', 'a');
    await fixture.clock.advance(500);
    expect(fixture.limits.findAllowance()).to.equal(END_LIMIT_MS - 500);
    fixture.acknowledge('a');
    expect(fixture.limits.findAllowance()).to.equal(END_LIMIT_MS);
  });

  // Guards against a run that goes on beside a second start of its task, because a later ping of its dispatcher counts.
  it('do not move on for a run that its dispatcher has given up', async () => {
    const task = fixture.addTask('job/0/0', 'a');
    fixture.limits.fix(task);
    await fixture.clock.advance(500);
    fixture.acknowledge('a');
    fixture.limits.fix(task);
    expect(fixture.limits.findAllowance()).to.equal(END_LIMIT_MS - 500);
    await fixture.clock.advance(1_000);
    expect(fixture.limits.findAllowance()).to.equal(END_LIMIT_MS - 1_500);
  });

  it('are those of the run that must be over first', async () => {
    fixture.addTask('job/0/0', 'a');
    const first = fixture.addTask('job/0/1', 'b');
    first.run = 3;
    first.phase = 'stopping';
    first.stopReason = 'entry-silent';
    await fixture.clock.advance(200);
    fixture.acknowledge('a');
    const allowedMs = END_LIMIT_MS - 200;
    expect(fixture.limits.findAllowance()).to.equal(allowedMs);
    expect(fixture.limits.describeFirst()).to.deep.equal({
      task: 'job/0/1',
      run: 3,
      entryLife: 'b',
      phase: 'stopping',
      reason: 'entry-silent',
      allowedMs,
    });
  });

  it('do not count a run whose stop the upstream has accepted, unless it is listed after that', () => {
    const task = fixture.addTask('job/0/0', 'a');
    task.stopAcceptedAt = fixture.clock.now();
    expect(fixture.limits.findAllowance()).to.equal(Infinity);
    task.stopAcceptedAt = undefined;
    expect(fixture.limits.findAllowance()).to.equal(END_LIMIT_MS);
  });

  it('allow no lease for runs of an unknown dispatcher', () => {
    fixture.addTask('job/0/0', 'unknown');
    expect(fixture.limits.findAllowance()).to.equal(-Infinity);
  });

  // Guards against runs that go on beside a second start of their task, because the lease of all runs is extended.
  it('end each run in time without its stop, for any clock that is within 2%', async () => {
    await fc.assert(
      fc.asyncProperty(rate, fc.array(event, { maxLength: 60 }), async (clockRate, events) => {
        const model = new LeasedRuns(clockRate);
        for (const { passedMs, owner, what } of events) {
          await model.clock.jump(passedMs);
          model.apply(what, owner);
          expect(model.leaseEnd).to.be.at.most(model.firstEnd + ROUNDING_MS);
        }
      }),
      { numRuns: RUNS },
    );
  });
});
