/**
 * VMs that are suspended for seconds, which the steady clock does not count. Other processes treat a suspended process as
 * dead, so it must not act on earlier state after a resume.
 */
import { expect } from 'chai';

import { Executor } from '../src/process/executor/Executor.js';
import { Dispatcher } from '../src/process/dispatcher/Dispatcher.js';
import { PauseGuard } from '../src/process/PauseGuard.js';
import { FencingTokens } from '../src/process/executor/FencingTokens.js';
import { createPolicies, ROUTE, STEP } from './fakes/dispatchFixtures.js';
import { FakeCaller } from './fakes/FakeCaller.js';
import { FakeClock } from './fakes/FakeClock.js';
import { FakeUpstream } from './fakes/FakeUpstream.js';
import { GatedUpstreamApi, ProcessGate } from './fakes/ProcessGate.js';
import { buildStartOrder, buildUpstreamReport } from './fakes/upstreamFixtures.js';

const DISPATCHER = 'entry@1';
const OTHER_DISPATCHER = 'other@1';
const SUSPENDED_MS = 3_000;
const ORPHAN_AFTER_MS = 520;
const LEASE_MS = 585;
const START_EXPIRY_MS = 416;
const PING_MS = 173;
const LONG_TASK_MS = 60_000;

describe('a VM that is suspended', () => {
  let clock: FakeClock;
  let vm: ProcessGate;
  let upstream: FakeUpstream;
  let executor: Executor;
  let results: string[];
  /** Lease of the upstream when the latest end was reported. */
  let leaseAtEnd: number;
  let logged: string[];

  /** Creates an executor with a live dispatcher, and its upstream on the same VM or on another. */
  async function createExecutor(isUpstreamThere: boolean): Promise<void> {
    upstream = new FakeUpstream(
      isUpstreamThere ? { now: () => vm.readSteady(), sleep: (ms) => vm.sleep(ms) } : clock,
    );
    upstream.taskMs = LONG_TASK_MS;
    executor = new Executor(
      { id: 'agent', incarnation: '1', failureDomain: 'x', startedAt: 1_000_000 },
      { leaseMs: LEASE_MS, maxLeaseMs: 1_000, stopMs: 50, orphanAfterMs: ORPHAN_AFTER_MS },
      vm,
      {
        openApi: () => new GatedUpstreamApi(upstream, vm),
        sendResult: (_, { name, end, reason }) => {
          results.push(`${name.index} ${end} ${reason}`);
          leaseAtEnd = upstream.leaseUntil;
        },
        sendCrashes: () => undefined,
        handleJoined: () => undefined,
        handleChange: () => undefined,
        handleCapacityChange: () => undefined,
        log: (event) => void logged.push(event),
      },
    );
    executor.handleReport(buildUpstreamReport({ clockMs: upstream.clockMs }));
    await clock.advance(50);
    executor.handleWelcome(DISPATCHER, vm.now());
  }

  /** Suspends the VM and advances until just before its resume. */
  async function suspend(): Promise<void> {
    vm.suspend(SUSPENDED_MS);
    await clock.advance(SUSPENDED_MS - 1);
  }

  function sendPong(dispatcher: string): void {
    executor.handlePong(dispatcher, {
      type: 'pong',
      at: vm.now(),
      version: 1,
      typicalSpeed: 1,
      isWaiting: false,
    });
  }

  beforeEach(() => {
    clock = new FakeClock();
    vm = new ProcessGate(clock);
    results = [];
    logged = [];
  });

  afterEach(() => executor.close());

  // The dispatcher has treated the start as expired meanwhile and started the task elsewhere.
  it('does not apply an expired start from its socket', async () => {
    await createExecutor(false);
    const order = buildStartOrder(0, { expiresAt: vm.now() + START_EXPIRY_MS });
    await suspend();
    await clock.advance(1);
    executor.handleStart(DISPATCHER, order);
    await clock.advance(20);
    expect([results, upstream.starts]).to.deep.equal([['0 not-run expired'], 0]);
  });

  // The last pong is from before the suspension, and the dispatcher may have ended its jobs since.
  it('accepts no start from a dispatcher without a pong since the resume', async () => {
    await createExecutor(false);
    await suspend();
    await clock.advance(1);
    executor.handleStart(DISPATCHER, buildStartOrder(0));
    await clock.advance(20);
    expect([results, upstream.starts]).to.deep.equal([['0 not-run entry-unproven'], 0]);
  });

  // The upstream was suspended too, so its leases are still valid, but the task runs elsewhere by now.
  it('stops its tasks after a resume before any lease is renewed', async () => {
    await createExecutor(true);
    executor.handleStart(DISPATCHER, buildStartOrder(0));
    await clock.advance(100);
    const { leaseUntil } = upstream;
    await suspend();
    await clock.advance(100);
    expect(results).to.deep.equal(['0 stopped entry-silent']);
    expect(leaseAtEnd).to.equal(leaseUntil);
  });

  // A repeated start grants a new lease, so the task would start seconds after it was treated as ended.
  it('does not repeat an unanswered start after a resume, whenever it was suspended', async () => {
    for (let offsetMs = 5; offsetMs <= 300; offsetMs += 5) {
      await createExecutor(true);
      upstream.fates.push('lost', 'lost', 'lost', 'lost');
      executor.handleStart(DISPATCHER, buildStartOrder(0));
      await clock.advance(offsetMs);
      upstream.fates.length = 0;
      await suspend();
      await clock.advance(300);
      expect(upstream.starts, `suspended after ${offsetMs} ms`).to.equal(0);
      executor.close();
    }
  });

  // A pong before the next liveness check is valid for new starts only.
  it('stops earlier tasks also for a dispatcher that answers a ping at once', async () => {
    await createExecutor(true);
    executor.handleStart(DISPATCHER, buildStartOrder(0));
    await clock.advance(100);
    await suspend();
    vm.wake();
    sendPong(DISPATCHER);
    await clock.advance(100);
    expect(results).to.deep.equal(['0 stopped entry-silent']);
  });

  // A start renews the lease of all tasks, so a start of one dispatcher would extend tasks of another.
  it('stops tasks of an unresponsive dispatcher before it starts a task of another', async () => {
    await createExecutor(true);
    executor.handleStart(OTHER_DISPATCHER, buildStartOrder(0));
    executor.handleWelcome(OTHER_DISPATCHER, vm.now());
    executor.handleStart(OTHER_DISPATCHER, buildStartOrder(1));
    await clock.advance(100);
    await suspend();
    vm.wake();
    sendPong(DISPATCHER);
    executor.handleStart(DISPATCHER, buildStartOrder(2));
    await clock.advance(100);
    expect(results.slice(1)).to.deep.equal(['1 stopped entry-silent']);
    expect([...upstream.running.keys()]).to.deep.equal(['job/0/2']);
  });

  // Between two liveness checks, without a suspension, a start must not extend tasks that are due to be stopped.
  it('stops tasks of an unresponsive dispatcher also when a start arrives before the next liveness check', async () => {
    await createExecutor(true);
    executor.handleWelcome(OTHER_DISPATCHER, vm.now());
    executor.handleStart(OTHER_DISPATCHER, buildStartOrder(1));
    await clock.advance(ORPHAN_AFTER_MS - 20);
    sendPong(DISPATCHER);
    upstream.silent = true;
    await clock.advance(30);
    executor.handleStart(DISPATCHER, buildStartOrder(2));
    expect(executor.buildHello(OTHER_DISPATCHER).holding).to.have.length(1);
    expect(logged).to.include('entry-silent');
  });

  // Leases of a suspended upstream do not expire during the suspension; those of another upstream do.
  for (const isUpstreamThere of [true, false]) {
    it(`reports tasks as lost only once they cannot run, upstream on ${isUpstreamThere ? 'the same' : 'another'} VM`, async () => {
      for (let offsetMs = 5; offsetMs <= 700; offsetMs += 35) {
        await createExecutor(isUpstreamThere);
        results.length = 0;
        executor.handleStart(DISPATCHER, buildStartOrder(0));
        await clock.advance(100);
        upstream.silent = true;
        await clock.advance(offsetMs);
        await suspend();
        while (results.length === 0) await clock.advance(5);
        upstream.applyTime();
        expect(upstream.running.size, `suspended after ${offsetMs} ms`).to.equal(0);
        executor.close();
      }
    });
  }

  it('takes increasing fencing tokens across a suspension', async () => {
    await createExecutor(false);
    const tokens = new FencingTokens(1_000_000, vm);
    const before = tokens.take();
    await suspend();
    await clock.advance(1);
    expect(tokens.take()).to.be.greaterThan(before);
  });

  // Executors have stopped its tasks meanwhile, and callers may have moved to other dispatchers.
  it('interrupts the open jobs of its dispatcher', async () => {
    await createExecutor(false);
    const caller = new FakeCaller();
    const dispatcher = new Dispatcher(
      { pingMs: PING_MS, ...createPolicies(), nextRandom: () => 0.5 },
      { send: () => undefined, log: () => undefined, recordOutcome: () => undefined },
    );
    const guard = new PauseGuard(vm.now(), (gapMs) => {
      if (gapMs > ORPHAN_AFTER_MS) dispatcher.endAll('paused', vm.now());
    });
    const capacity = { cpuMilli: 4_000, memoryMb: 1_000, gpus: 0 };
    const hello = {
      agent: 'agent',
      life: '1',
      failureDomain: 'x',
      holding: [],
      results: [],
      entryLife: 'me',
    };
    const executor = dispatcher.handleHello(
      { type: 'agent-hello', ...hello, orphanMs: 1_250 },
      'me',
      vm.now(),
    );
    const description = { upstream: 'u1', service: ROUTE.service, labels: [], capacity };
    const room = {
      description,
      state: 'ready',
      trust: 'healthy',
      free: capacity,
      startsSeen: 0,
      speed: 1,
    } as const;
    dispatcher.handlePing(executor, { type: 'ping', version: 1, at: 1, room, progress: [] }, vm.now());
    const step = { ...STEP, count: 1 };
    dispatcher.submit(
      { id: 'job', route: ROUTE, spec: '', steps: [step], patienceMs: 60_000 },
      caller,
      vm.now(),
    );
    dispatcher.place(vm.now());
    await suspend();
    await clock.advance(1);
    guard.update(vm.now());
    expect(caller.answers).to.deep.equal([{ kind: 'interrupted', reason: 'paused' }]);
  });
});
