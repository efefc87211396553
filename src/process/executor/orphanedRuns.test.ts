import { expect } from 'chai';

import { FakeClock } from '../../../test/fakes/FakeClock.js';
import { FakeUpstream } from '../../../test/fakes/FakeUpstream.js';
import { buildStartOrder, buildUpstreamReport } from '../../../test/fakes/upstreamFixtures.js';
import { deriveDispatchTimes } from '../dispatchTimes.js';
import { Executor } from './Executor.js';

/** Time after which a caller whose connection broke submits its job again, ms. */
const RESUBMIT_MS = 1_300;
const BOUNDS = {
  ...deriveDispatchTimes({ resubmitMs: RESUBMIT_MS, maxLeaseMs: 1_000 }),
  maxLeaseMs: 1_000,
  stopMs: 50,
};
/** Interval of the executor's timer, ms. */
const TICK_MS = 55;
const STEP_MS = 5;
/** Longer than any run may last, ms. */
const LONG_MS = 60_000;
const LATEST_MS = 6_000;
/** More stops than are sent within that time. */
const ALL = 10_000;

/** Executor with an upstream at which one task of a dispatcher runs. */
class OrphanFixture {
  readonly clock = new FakeClock();
  readonly upstream = new FakeUpstream(this.clock);
  readonly results: string[] = [];
  executor = this.createExecutor(1);
  /** Time at which the dispatcher acknowledged its newest ping. */
  acknowledgedAt = 0;

  private createExecutor(incarnation: number): Executor {
    const executor = new Executor(
      { id: 'a', incarnation: String(incarnation), failureDomain: 'x', startedAt: 1_000_000 + incarnation },
      BOUNDS,
      this.clock,
      {
        openApi: () => this.upstream,
        sendResult: (dispatcher, { end, reason }) => void this.results.push(`${dispatcher} ${end} ${reason}`),
        sendCrashes: () => undefined,
        handleJoined: () => undefined,
        handleChange: () => undefined,
        handleCapacityChange: () => undefined,
        log: () => undefined,
      },
    );
    executor.handleReport(buildUpstreamReport({ clockMs: this.upstream.clockMs }));
    return executor;
  }

  async start(): Promise<void> {
    this.upstream.taskMs = LONG_MS;
    await this.clock.advance(50);
    this.acknowledgedAt = this.clock.now();
    this.executor.handleWelcome('d@1', this.acknowledgedAt);
    this.executor.handleStart('d@1', buildStartOrder(0));
    await this.clock.advance(30);
    expect(this.upstream.running.size).to.equal(1);
  }

  restartExecutor(): void {
    this.executor.close();
    this.executor = this.createExecutor(2);
  }

  /** Receives the pong to a ping that was sent just now. */
  acknowledge(dispatcher: string): void {
    const at = this.clock.now();
    this.executor.handlePong(dispatcher, { type: 'pong', at, version: 1, typicalSpeed: 1, isWaiting: false });
  }

  /** Time that a dispatcher waits after the newest message of an executor before it starts tasks elsewhere. */
  get orphanMs(): number {
    return this.executor.buildHello('').orphanMs;
  }

  /** Advances time, and returns when the run of the task was over, ms since the acknowledged ping. */
  async measureEnd(handleStep: (sinceMs: number) => void = () => undefined): Promise<number> {
    for (let sinceMs = 0; sinceMs < LATEST_MS; sinceMs = this.clock.now() - this.acknowledgedAt) {
      handleStep(sinceMs);
      await this.clock.advance(STEP_MS);
      if (Math.round(sinceMs) % TICK_MS < STEP_MS) this.executor.tick();
      this.upstream.applyTime();
      if (!this.upstream.running.has('job/0/0')) return this.clock.now() - this.acknowledgedAt;
    }
    return Infinity;
  }

  /** Keeps a second dispatcher alive that starts a short task each 200 ms. */
  createOtherDispatcher(): (sinceMs: number) => void {
    let index = 100;
    let next = 0;
    this.executor.handleWelcome('other@1', this.clock.now());
    return (sinceMs) => {
      this.acknowledge('other@1');
      if (sinceMs < next) return;
      next = sinceMs + 200;
      index += 1;
      const name = { job: 'other', step: 0, index, attempt: index };
      this.executor.handleStart('other@1', buildStartOrder(index, { name }));
    };
  }
}

// Guards against runs that go on beside a second start of their task, because their lease is extended while they
// should be over.
describe('a run that must be over', () => {
  let fixture: OrphanFixture;

  beforeEach(async () => {
    fixture = new OrphanFixture();
    await fixture.start();
  });

  afterEach(() => fixture.executor.close());

  for (const lost of [0, 4, 8, 16, ALL]) {
    it(`is over before it may be started elsewhere, though ${lost} stops in a row are lost`, async () => {
      fixture.upstream.lostStops = lost;
      expect(await fixture.measureEnd()).to.be.at.most(fixture.orphanMs);
      expect(fixture.orphanMs).to.be.lessThan(RESUBMIT_MS);
    });
  }

  // Guards against a start that is carried out late, when its task was given up and runs elsewhere.
  it('counts as over without a confirmed stop only once a start on its way is refused', async () => {
    const late = { spec: '', leaseUntilMs: Infinity, fencingToken: fixture.upstream.token };
    fixture.upstream.lostStops = ALL;
    fixture.upstream.fates.push('lost', 'lost', 'lost', 'lost');
    fixture.executor.handleStart('d@1', buildStartOrder(1));
    await fixture.measureEnd();
    while (fixture.results.length < 2) await fixture.clock.advance(STEP_MS);
    expect(fixture.results).to.include('d@1 lost start-unanswered');
    const name = { job: 'job', step: 0, index: 1, run: 1 };
    expect(fixture.upstream.applyStart({ ...late, name })).to.equal('fenced');
    fixture.executor.handleWelcome('other@1', fixture.clock.now());
    await fixture.clock.advance(100);
    fixture.acknowledge('other@1');
    fixture.executor.handleStart('other@1', buildStartOrder(2));
    await fixture.clock.advance(50);
    expect([...fixture.upstream.running.keys()]).to.deep.equal(['job/0/2']);
  });

  it('is over in time though starts of another dispatcher extend the lease', async () => {
    fixture.upstream.lostStops = ALL;
    const handleStep = fixture.createOtherDispatcher();
    expect(await fixture.measureEnd(handleStep)).to.be.at.most(fixture.orphanMs);
  });

  it('is over in time though renewals are carried out without an answer, so that no stop is sent', async () => {
    fixture.upstream.lostStops = ALL;
    const end = await fixture.measureEnd((sinceMs) => {
      fixture.upstream.mutesRenewals = sinceMs >= 500;
    });
    expect(end).to.be.at.most(fixture.orphanMs);
  });

  it('is over in time after its dispatcher has ordered its stop, though all stops are lost', async () => {
    fixture.upstream.lostStops = ALL;
    fixture.executor.handleStop('d@1', { type: 'stop', name: buildStartOrder(0).name });
    const end = await fixture.measureEnd(() => fixture.acknowledge('d@1'));
    expect(end).to.be.at.most(fixture.orphanMs);
  });

  it('is over in time after its caller left while the link to its dispatcher was down', async () => {
    fixture.upstream.lostStops = ALL;
    const givenUpAt = fixture.clock.now();
    await fixture.clock.advance(400);
    fixture.executor.handleWelcome('d@1', fixture.clock.now());
    const givenUpMs = fixture.clock.now() - givenUpAt;
    fixture.executor.handleStop('d@1', { type: 'stop', name: buildStartOrder(0).name, givenUpMs });
    const end = await fixture.measureEnd(() => fixture.acknowledge('d@1'));
    expect(end + fixture.acknowledgedAt - givenUpAt).to.be.at.most(fixture.orphanMs);
  });

  for (const downMs of [0, 500]) {
    it(`is over in time after its executor was killed and back after ${downMs} ms, though its stops are lost`, async () => {
      fixture.upstream.lostStops = ALL;
      fixture.executor.close();
      let isBack = false;
      const end = await fixture.measureEnd((sinceMs) => {
        if (sinceMs < downMs || isBack) return;
        isBack = true;
        fixture.restartExecutor();
      });
      expect(end).to.be.at.most(fixture.orphanMs);
    });
  }
});
