import { expect } from 'chai';

import { FakeClock } from '../../../test/fakes/FakeClock.js';
import { FakeUpstream } from '../../../test/fakes/FakeUpstream.js';
import {
  buildStartOrder,
  buildUpstreamReport,
  UPSTREAM_CAPACITY,
} from '../../../test/fakes/upstreamFixtures.js';
import { encodePeerMessage } from '../../connection/peer/encodePeerMessage.js';
import { parsePeerMessage } from '../../connection/peer/parsePeerMessage.js';
import type { PeerMessage } from '../../connection/peer/peerMessages.js';
import { NO_RESOURCES } from '../../request/dispatch/resources.js';
import { Executor } from './Executor.js';

const VERSION = 7;
const DISPATCHER = 'entry@1';
const ORDER = buildStartOrder(0, { estimateMs: 400 });

describe('Executor', () => {
  let clock: FakeClock;
  let upstream: FakeUpstream;
  let executor: Executor;
  /** Upstream incarnations with their own fake, by id; all others use `upstream`. */
  let otherIncarnations: Map<string, FakeUpstream>;
  let results: string[];
  /** Total capacities passed to `handleCapacityChange`, thousandths of a core. */
  let changedCapacities: number[];

  function report(id: string, sequence: number, capacity = UPSTREAM_CAPACITY): void {
    const { clockMs } = upstream;
    executor.handleReport(buildUpstreamReport({ id, sequence, clockMs, labels: ['rack'], capacity }));
  }

  beforeEach(async () => {
    clock = new FakeClock();
    upstream = new FakeUpstream(clock);
    otherIncarnations = new Map();
    results = [];
    changedCapacities = [];
    executor = new Executor(
      { id: 'agent', incarnation: '1', failureDomain: 'x', startedAt: 1_000_000 },
      { leaseMs: 500, maxLeaseMs: 1_000, stopMs: 50, orphanAfterMs: 10_000 },
      clock,
      {
        openApi: ({ id }) => otherIncarnations.get(id) ?? upstream,
        sendResult: (_, { end, reason }) => void results.push(`${end} ${reason}`),
        sendCrashes: (dispatcher, { tasks }) => void results.push(`${dispatcher} crashes ${tasks.length}`),
        handleJoined: () => undefined,
        handleChange: () => undefined,
        handleCapacityChange: ({ capacity }) => void changedCapacities.push(capacity.cpuMilli),
        log: () => undefined,
      },
    );
    report('u1', 1);
    await clock.advance(20);
    executor.handleWelcome(DISPATCHER, clock.now());
  });

  afterEach(() => executor.close());

  it('reports the capacity on a link once, and then only changes', async () => {
    const first = executor.buildPing(DISPATCHER, VERSION).room;
    expect(first?.description?.capacity).to.deep.equal(UPSTREAM_CAPACITY);
    expect(executor.buildPing(DISPATCHER, VERSION)).to.deep.equal({
      type: 'ping',
      at: clock.now(),
      version: VERSION,
      reportAgeMs: undefined,
      room: undefined,
      progress: undefined,
    });
    executor.handleStart(DISPATCHER, ORDER);
    const change = executor.takeCapacityChange(DISPATCHER);
    expect(change?.description).to.equal(undefined);
    expect(change?.free.cpuMilli).to.equal(3_000);
    expect(executor.takeCapacityChange(DISPATCHER)).to.equal(undefined);
  });

  it('reports with the capacity that a dispatcher is preferred, only to that dispatcher', () => {
    const other = 'entry-2@1';
    executor.buildPing(DISPATCHER, VERSION);
    executor.buildPing(other, VERSION);
    executor.setPreferred(DISPATCHER);
    expect(executor.buildPing(DISPATCHER, VERSION).room?.isHome).to.equal(true);
    expect(executor.buildPing(other, VERSION).room).to.equal(undefined);
    executor.setPreferred(other);
    expect(executor.buildPing(DISPATCHER, VERSION).room?.isHome).to.equal(undefined);
    expect(executor.buildPing(other, VERSION).room?.isHome).to.equal(true);
  });

  it('reports everything on a new link', () => {
    executor.buildPing(DISPATCHER, VERSION);
    executor.handleWelcome(DISPATCHER, clock.now());
    expect(executor.buildPing(DISPATCHER, VERSION).room?.description?.labels).to.deep.equal(['rack']);
  });

  it('tracks reported capacity separately for each dispatcher', () => {
    executor.buildPing(DISPATCHER, VERSION);
    executor.handleWelcome('other@1', clock.now());
    expect(executor.buildPing('other@1', VERSION).room?.description?.upstream).to.equal('u1');
  });

  it('reports the capacity again after a result, even if it is unchanged', async () => {
    upstream.taskMs = 40;
    executor.handleStart(DISPATCHER, ORDER);
    expect(executor.takeCapacityChange(DISPATCHER)?.free.cpuMilli).to.equal(3_000);
    executor.handleWelcome('other@1', clock.now());
    await clock.advance(200);
    executor.handleStart('other@1', { ...ORDER, name: { ...ORDER.name, job: 'another' } });
    const again = executor.takeCapacityChange(DISPATCHER);
    expect([again?.free.cpuMilli, again?.startsSeen]).to.deep.equal([3_000, 1]);
  });

  // Guards against delayed heartbeats of a crashed incarnation ending the session of a newer one at the same
  // address.
  it('keeps an upstream when a delayed heartbeat of an earlier incarnation at its address arrives', async () => {
    const newer = new FakeUpstream(clock);
    newer.taskMs = 400;
    otherIncarnations.set('u2', newer);
    upstream.isReplaced = true;
    report('u2', 1);
    await clock.advance(200);
    executor.handleStart(DISPATCHER, ORDER);
    await clock.advance(20);
    report('u1', 9);
    await clock.advance(100);
    expect([...newer.running.keys()]).to.deep.equal(['job/0/0']);
    expect(executor.countHeld(DISPATCHER)).to.equal(1);
    await clock.advance(500);
    expect(results).to.deep.equal(['done done']);
  });

  it('uses a new incarnation at an address as soon as the earlier one is found to be gone', async () => {
    otherIncarnations.set('u2', new FakeUpstream(clock));
    upstream.taskMs = 2_000;
    executor.handleStart(DISPATCHER, ORDER);
    await clock.advance(20);
    upstream.isReplaced = true;
    report('u2', 1);
    await clock.advance(300);
    expect(results.map((result) => result.split(' ')[0])).to.deep.equal(['lost']);
    expect(executor.takeCapacityChange(DISPATCHER)?.description?.upstream).to.equal('u2');
  });

  it('reports on a retiring link that it drains, and keeps the attempts held for it', async () => {
    upstream.taskMs = 400;
    executor.handleStart(DISPATCHER, ORDER);
    await clock.advance(20);
    executor.setRetiring(DISPATCHER, true);
    expect(executor.takeCapacityChange(DISPATCHER)?.state).to.equal('draining');
    expect(executor.countHeld(DISPATCHER)).to.equal(1);
    executor.setRetiring(DISPATCHER, false);
    expect(executor.takeCapacityChange(DISPATCHER)?.state).to.equal('ready');
  });

  it('reports progress only of stalled or slow tasks', async () => {
    upstream.taskMs = 400;
    executor.handleStart(DISPATCHER, ORDER);
    for (let ms = 0; ms < 300; ms += 20) {
      await clock.advance(20);
      executor.handlePong(DISPATCHER, {
        type: 'pong',
        version: VERSION,
        at: clock.now(),
        typicalSpeed: 1,
        isWaiting: false,
      });
    }
    expect(executor.buildPing(DISPATCHER, VERSION).progress?.length ?? 0).to.equal(0);
    executor.handlePong(DISPATCHER, {
      type: 'pong',
      version: VERSION,
      at: clock.now(),
      typicalSpeed: 4,
      isWaiting: false,
    });
    expect(executor.buildPing(DISPATCHER, VERSION).progress?.map(({ name }) => name)).to.deep.equal([
      ORDER.name,
    ]);
    upstream.hangs = true;
    await clock.advance(300);
    executor.handlePong(DISPATCHER, {
      type: 'pong',
      version: VERSION,
      at: clock.now(),
      typicalSpeed: 0.1,
      isWaiting: false,
    });
    expect(executor.buildPing(DISPATCHER, VERSION).progress?.[0]?.stalledMs).to.be.greaterThan(160);
  });

  it('starts nothing while its failure domain is emptied, and lets running tasks end', async () => {
    upstream.taskMs = 100;
    executor.handleStart(DISPATCHER, ORDER);
    await clock.advance(20);
    executor.setEmptied(true);
    expect(executor.buildPing(DISPATCHER, VERSION).room?.state).to.equal('draining');
    executor.handleStart(DISPATCHER, { ...ORDER, name: { ...ORDER.name, index: 1, attempt: 2 } });
    await clock.advance(300);
    expect(results).to.deep.equal(['not-run domain-emptied', 'done done']);
    executor.setEmptied(false);
    expect(executor.buildPing(DISPATCHER, VERSION).room?.state).to.equal('ready');
    executor.handleStart(DISPATCHER, { ...ORDER, name: { ...ORDER.name, index: 1, attempt: 3 } });
    await clock.advance(300);
    expect(upstream.starts).to.equal(2);
  });

  it('returns waiting tasks when its failure domain is emptied', async () => {
    upstream.taskMs = 1_000;
    for (let index = 0; index < 5; index += 1)
      executor.handleStart(DISPATCHER, { ...ORDER, name: { ...ORDER.name, index, attempt: index + 1 } });
    executor.setEmptied(true);
    expect(results).to.deep.equal(['not-run domain-emptied']);
  });

  it('runs one suspect task at a time, and other tasks beside it', async () => {
    const isSuspect = true;
    executor.handleStart(DISPATCHER, { ...ORDER, isSuspect });
    executor.handleStart(DISPATCHER, buildStartOrder(1, { isSuspect }));
    executor.handleStart(DISPATCHER, buildStartOrder(2));
    await clock.advance(20);
    expect(results).to.deep.equal(['not-run other-suspect']);
    expect(upstream.running.size).to.equal(2);
    await clock.advance(400);
    executor.handleStart(DISPATCHER, buildStartOrder(1, { isSuspect, expiresAt: Infinity }));
    await clock.advance(20);
    expect(upstream.running.has('job/0/1')).to.equal(true);
  });

  it('reports a crash to another dispatcher if the one that ordered the task is gone', async () => {
    const recipient = 'entry-2@1';
    executor.handleStart(DISPATCHER, ORDER);
    await clock.advance(20);
    executor.handleWelcome(recipient, clock.now());
    executor.handleDispatcherReplaced(DISPATCHER);
    upstream.refuses = true;
    await clock.advance(1_500);
    executor.tick();
    executor.tick();
    expect(results).to.deep.equal(['lost upstream-crashed', `${recipient} crashes 1`]);
  });

  it('reports an acknowledged crash to no other dispatcher', async () => {
    executor.handleWelcome('entry-2@1', clock.now());
    executor.handleStart(DISPATCHER, ORDER);
    await clock.advance(20);
    upstream.refuses = true;
    await clock.advance(1_500);
    executor.handlePong(DISPATCHER, {
      type: 'pong',
      at: clock.now(),
      version: 1,
      typicalSpeed: 1,
      isWaiting: false,
    });
    executor.handleDispatcherReplaced(DISPATCHER);
    expect(results).to.deep.equal(['lost upstream-crashed']);
  });

  it('requests an immediate report of a changed total capacity, and includes it in the report', () => {
    executor.buildPing(DISPATCHER, VERSION);
    report('u1', 2, { ...UPSTREAM_CAPACITY, cpuMilli: 1_000 });
    expect(changedCapacities).to.deep.equal([1_000]);
    const change = executor.takeCapacityChange(DISPATCHER);
    expect([change?.free.cpuMilli, change?.description?.capacity.cpuMilli]).to.deep.equal([1_000, 1_000]);
    report('u1', 3, { ...UPSTREAM_CAPACITY, cpuMilli: 1_000 });
    expect(changedCapacities).to.have.length(1);
  });

  /** Checks that a receiver accepts a message as it was built. */
  function checkAccepted(message: PeerMessage): void {
    const { line, faults } = encodePeerMessage(message);
    expect(faults, message.type).to.deep.equal([]);
    expect(parsePeerMessage(line), message.type).to.deep.include({ faults: [], problem: '' });
  }

  // The attempts and results in the first message of a link would make it too long, so that each link is closed again.
  it('builds only messages that dispatchers accept, however many tasks it is sent', async () => {
    const job = '\u20ac'.repeat(128);
    const resources = { cpuMilli: 0, memoryMb: 0, gpus: 0 };
    upstream.taskMs = 1_000_000;
    for (let index = 0; index < 10_000; index += 1) {
      const name = { job, step: 2 ** 31, index, attempt: 2 ** 52 };
      executor.handleStart(DISPATCHER, { ...ORDER, name, resources, estimateMs: 1e9, expiresAt: Infinity });
    }
    await clock.advance(300);
    const hello = executor.buildHello(DISPATCHER);
    expect(hello.holding).to.have.length(4_000);
    expect(hello.results).to.have.length(2_500);
    const ping = executor.buildPing(DISPATCHER, VERSION);
    expect(ping.progress).to.have.length(500);
    for (const message of [hello, ping, ...hello.results]) checkAccepted(message);
  });

  it('builds only messages that dispatchers accept, for tasks and a capacity of any size', async () => {
    const largest = { cpuMilli: 1e9, memoryMb: 1e9, gpus: 1e9 };
    for (const [sequence, capacity] of [largest, NO_RESOURCES].entries()) {
      report('u1', sequence + 2, capacity);
      for (const estimateMs of [Number.MIN_VALUE, 1e9])
        executor.handleStart(DISPATCHER, buildStartOrder(sequence, { resources: largest, estimateMs }));
      await clock.advance(200);
      checkAccepted(executor.buildHello(DISPATCHER));
      checkAccepted(executor.buildPing(DISPATCHER, VERSION));
    }
  });

  it('returns starts that cannot be read, and counts them', () => {
    const { name } = ORDER;
    const fault = { type: 'starts', field: 'tasks', count: 3, problem: '', starts: [name] } as const;
    executor.handleUnreadableStarts(DISPATCHER, fault);
    expect(results).to.deep.equal(['not-run unreadable']);
    expect(executor.buildPing(DISPATCHER, VERSION).room?.startsSeen).to.equal(3);
  });
});
