/**
 * VMs that are suspended for seconds: the steady clock does not count that time, but everyone else goes on meanwhile.
 * Other processes take a suspended one for dead, so on waking it must hold to nothing that it knew before.
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

const ENTRY = 'entry@1';
const OTHER_ENTRY = 'other@1';
const SUSPENDED_MS = 3_000;
const ORPHAN_AFTER_MS = 520;
const LEASE_MS = 585;
const START_EXPIRY_MS = 416;
const PING_MS = 173;
const LONG_TASK_MS = 60_000;

describe('a VM that is suspended', () => {
  let simulation: FakeClock;
  let vm: ProcessGate;
  let upstream: FakeUpstream;
  let core: Executor;
  let results: string[];
  /** Lease of the upstream when the newest end was told. */
  let leaseAtEnd: number;
  let logged: string[];

  /** Creates an executor that an entry has proved itself to, with its upstream on the same VM or on another. */
  async function createCore(isUpstreamThere: boolean): Promise<void> {
    upstream = new FakeUpstream(
      isUpstreamThere ? { now: () => vm.readSteady(), sleep: (ms) => vm.sleep(ms) } : simulation,
    );
    upstream.taskMs = LONG_TASK_MS;
    core = new Executor(
      { agent: 'agent', life: '1', failureDomain: 'x', startedAt: 1_000_000 },
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
    core.handleReport(buildUpstreamReport({ clockMs: upstream.clockMs }));
    await simulation.advance(50);
    core.handleWelcome(ENTRY, vm.now());
  }

  /** Suspends the VM, and goes on until it has just woken. */
  async function suspend(): Promise<void> {
    vm.suspend(SUSPENDED_MS);
    await simulation.advance(SUSPENDED_MS - 1);
  }

  function echo(dispatcher: string): void {
    core.handlePong(dispatcher, {
      type: 'pong',
      at: vm.now(),
      version: 1,
      typicalSpeed: 1,
      isWaiting: false,
    });
  }

  beforeEach(() => {
    simulation = new FakeClock();
    vm = new ProcessGate(simulation);
    results = [];
    logged = [];
  });

  afterEach(() => core.close());

  // The start was sent before; its dispatcher has counted it as over meanwhile and started the task elsewhere.
  it('does not start what has waited in its socket', async () => {
    await createCore(false);
    const order = buildStartOrder(0, { expiresAt: vm.now() + START_EXPIRY_MS });
    await suspend();
    await simulation.advance(1);
    core.handleStart(ENTRY, order);
    await simulation.advance(20);
    expect([results, upstream.starts]).to.deep.equal([['0 not-run expired'], 0]);
  });

  // The echo is from before, and its dispatcher may have ended its jobs since: no order of it can be new.
  it('takes no order from a dispatcher that has not echoed since', async () => {
    await createCore(false);
    await suspend();
    await simulation.advance(1);
    core.handleStart(ENTRY, buildStartOrder(0));
    await simulation.advance(20);
    expect([results, upstream.starts]).to.deep.equal([['0 not-run entry-unproven'], 0]);
  });

  // The upstream was suspended too, so its leases have not run out. The task runs elsewhere by now.
  it('stops what it ran on waking, before any lease is renewed', async () => {
    await createCore(true);
    core.handleStart(ENTRY, buildStartOrder(0));
    await simulation.advance(100);
    const { leaseUntil } = upstream;
    await suspend();
    await simulation.advance(100);
    expect(results).to.deep.equal(['0 stopped entry-silent']);
    expect(leaseAtEnd).to.equal(leaseUntil);
  });

  // A repeated start gives a near lease again, so its task would begin seconds after it was counted as over.
  it('does not repeat an unanswered start on waking, whenever it was suspended', async () => {
    for (let offsetMs = 5; offsetMs <= 300; offsetMs += 5) {
      await createCore(true);
      upstream.fates.push('lost', 'lost', 'lost', 'lost');
      core.handleStart(ENTRY, buildStartOrder(0));
      await simulation.advance(offsetMs);
      upstream.fates.length = 0;
      await suspend();
      await simulation.advance(300);
      expect(upstream.starts, `suspended after ${offsetMs} ms`).to.equal(0);
      core.close();
    }
  });

  // The first ping after waking may be echoed before the next look at proofs: the echo is good for new orders only.
  it('stops what ran before also for a dispatcher that echoes at once', async () => {
    await createCore(true);
    core.handleStart(ENTRY, buildStartOrder(0));
    await simulation.advance(100);
    await suspend();
    vm.wake();
    echo(ENTRY);
    await simulation.advance(100);
    expect(results).to.deep.equal(['0 stopped entry-silent']);
  });

  // A start gives a lease to all that runs there, so an order of one dispatcher would prolong what another had ordered.
  it('stops what ran for a silent dispatcher before it starts a task of another', async () => {
    await createCore(true);
    core.handleStart(OTHER_ENTRY, buildStartOrder(0));
    core.handleWelcome(OTHER_ENTRY, vm.now());
    core.handleStart(OTHER_ENTRY, buildStartOrder(1));
    await simulation.advance(100);
    await suspend();
    vm.wake();
    echo(ENTRY);
    core.handleStart(ENTRY, buildStartOrder(2));
    await simulation.advance(100);
    expect(results.slice(1)).to.deep.equal(['1 stopped entry-silent']);
    expect([...upstream.running.keys()]).to.deep.equal(['job/0/2']);
  });

  // Between two looks at proofs, without any suspension: an order must not prolong what should have been stopped.
  it('stops what ran for a silent dispatcher also when an order comes before the next look', async () => {
    await createCore(true);
    core.handleWelcome(OTHER_ENTRY, vm.now());
    core.handleStart(OTHER_ENTRY, buildStartOrder(1));
    await simulation.advance(ORPHAN_AFTER_MS - 20);
    echo(ENTRY);
    upstream.silent = true;
    await simulation.advance(30);
    core.handleStart(ENTRY, buildStartOrder(2));
    expect(core.buildHello(OTHER_ENTRY).holding).to.have.length(1);
    expect(logged).to.include('entry-silent');
  });

  // The upstream's leases stand still where it is suspended as well, and run out meanwhile where it is not.
  for (const isUpstreamThere of [true, false]) {
    it(`takes what ran for lost only once it cannot run, upstream ${isUpstreamThere ? 'there' : 'elsewhere'}`, async () => {
      for (let offsetMs = 5; offsetMs <= 700; offsetMs += 35) {
        await createCore(isUpstreamThere);
        results.length = 0;
        core.handleStart(ENTRY, buildStartOrder(0));
        await simulation.advance(100);
        upstream.silent = true;
        await simulation.advance(offsetMs);
        await suspend();
        while (results.length === 0) await simulation.advance(5);
        upstream.applyTime();
        expect(upstream.running.size, `suspended after ${offsetMs} ms`).to.equal(0);
        core.close();
      }
    });
  }

  it('takes fencing tokens that rise over it', async () => {
    await createCore(false);
    const tokens = new FencingTokens(1_000_000, vm);
    const before = tokens.take();
    await suspend();
    await simulation.advance(1);
    expect(tokens.take()).to.be.greaterThan(before);
  });

  // Agents have stopped its tasks meanwhile, and callers may have gone to other dispatchers.
  it('ends the open jobs of its dispatcher', async () => {
    await createCore(false);
    const caller = new FakeCaller();
    const dispatcher = new Dispatcher(
      { pingMs: PING_MS, ...createPolicies(), nextRandom: () => 0.5 },
      { send: () => undefined, log: () => undefined, noteOutcome: () => undefined },
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
    await simulation.advance(1);
    guard.update(vm.now());
    expect(caller.answers).to.deep.equal([{ kind: 'interrupted', reason: 'paused' }]);
  });
});
