import { expect } from 'chai';

import { FakeClock } from '../../../test/fakes/FakeClock.js';
import { FakeUpstream } from '../../../test/fakes/FakeUpstream.js';
import {
  buildStartOrder,
  buildUpstreamReport,
  UPSTREAM_CAPACITY,
} from '../../../test/fakes/upstreamFixtures.js';
import { Executor } from './Executor.js';

const VERSION = 7;
const ENTRY = 'entry@1';
const ORDER = buildStartOrder(0, { estimateMs: 400 });

describe('AgentCore', () => {
  let clock: FakeClock;
  let upstream: FakeUpstream;
  let core: Executor;
  /** Lives of the upstream that answer for themselves; the others are `upstream`. */
  let otherLives: Map<string, FakeUpstream>;
  let results: string[];
  /** Capacities that are to be told at once. */
  let told: number[];

  function report(id: string, sequence: number, capacity = UPSTREAM_CAPACITY): void {
    const { clockMs } = upstream;
    core.handleReport(buildUpstreamReport({ id, sequence, clockMs, labels: ['rack'], capacity }));
  }

  beforeEach(async () => {
    clock = new FakeClock();
    upstream = new FakeUpstream(clock);
    otherLives = new Map();
    results = [];
    told = [];
    core = new Executor(
      { agent: 'agent', life: '1', failureDomain: 'x', startedAt: 1_000_000 },
      { leaseMs: 500, maxLeaseMs: 1_000, stopMs: 50, orphanAfterMs: 10_000 },
      clock,
      {
        openApi: ({ id }) => otherLives.get(id) ?? upstream,
        sendResult: (_, { end, reason }) => void results.push(`${end} ${reason}`),
        sendCrashes: (life, { tasks }) => void results.push(`${life} crashes ${tasks.length}`),
        handleJoined: () => undefined,
        handleChange: () => undefined,
        handleCapacityChange: ({ capacity }) => void told.push(capacity.cpuMilli),
        log: () => undefined,
      },
    );
    report('u1', 1);
    await clock.advance(20);
    core.handleWelcome(ENTRY, clock.now());
  });

  afterEach(() => core.close());

  it('tells a link its room once, and what has changed of it', async () => {
    const first = core.buildPing(ENTRY, VERSION).room;
    expect(first?.description?.capacity).to.deep.equal(UPSTREAM_CAPACITY);
    expect(core.buildPing(ENTRY, VERSION)).to.deep.equal({
      type: 'ping',
      at: clock.now(),
      version: VERSION,
      room: undefined,
      progress: undefined,
    });
    core.handleStart(ENTRY, ORDER);
    const change = core.takeCapacityChange(ENTRY);
    expect(change?.description).to.equal(undefined);
    expect(change?.free.cpuMilli).to.equal(3_000);
    expect(core.takeCapacityChange(ENTRY)).to.equal(undefined);
  });

  it('tells the entry that it prefers, and only that one, with its room', () => {
    const other = 'entry-2@1';
    core.buildPing(ENTRY, VERSION);
    core.buildPing(other, VERSION);
    core.setPreferred(ENTRY);
    expect(core.buildPing(ENTRY, VERSION).room?.isHome).to.equal(true);
    expect(core.buildPing(other, VERSION).room).to.equal(undefined);
    core.setPreferred(other);
    expect(core.buildPing(ENTRY, VERSION).room?.isHome).to.equal(undefined);
    expect(core.buildPing(other, VERSION).room?.isHome).to.equal(true);
  });

  it('tells a new link everything', () => {
    core.buildPing(ENTRY, VERSION);
    core.handleWelcome(ENTRY, clock.now());
    expect(core.buildPing(ENTRY, VERSION).room?.description?.labels).to.deep.equal(['rack']);
  });

  it('tells each entry its room on its own', () => {
    core.buildPing(ENTRY, VERSION);
    core.handleWelcome('other@1', clock.now());
    expect(core.buildPing('other@1', VERSION).room?.description?.upstream).to.equal('u1');
  });

  it('tells the room again after a result, even if it is as before', async () => {
    upstream.taskMs = 40;
    core.handleStart(ENTRY, ORDER);
    expect(core.takeCapacityChange(ENTRY)?.free.cpuMilli).to.equal(3_000);
    core.handleWelcome('other@1', clock.now());
    await clock.advance(200);
    core.handleStart('other@1', { ...ORDER, name: { ...ORDER.name, job: 'another' } });
    const again = core.takeCapacityChange(ENTRY);
    expect([again?.free.cpuMilli, again?.startsSeen]).to.deep.equal([3_000, 1]);
  });

  // Heartbeats that a cut had held up came after their sender had crashed and a new life had reported itself at the same
  // address. The address alone told the agent that the newer life was gone: its tasks counted as lost while they ran.
  it('keeps an upstream when a heartbeat of an earlier life at its address comes late', async () => {
    const newer = new FakeUpstream(clock);
    newer.taskMs = 400;
    otherLives.set('u2', newer);
    upstream.isReplaced = true;
    report('u2', 1);
    await clock.advance(200);
    core.handleStart(ENTRY, ORDER);
    await clock.advance(20);
    report('u1', 9);
    await clock.advance(100);
    expect([...newer.running.keys()]).to.deep.equal(['job/0/0']);
    expect(core.countHeld(ENTRY)).to.equal(1);
    await clock.advance(500);
    expect(results).to.deep.equal(['done done']);
  });

  it('takes a new life at an address as soon as the earlier one is found to be gone', async () => {
    otherLives.set('u2', new FakeUpstream(clock));
    upstream.taskMs = 2_000;
    core.handleStart(ENTRY, ORDER);
    await clock.advance(20);
    upstream.isReplaced = true;
    report('u2', 1);
    await clock.advance(300);
    expect(results.map((result) => result.split(' ')[0])).to.deep.equal(['lost']);
    expect(core.takeCapacityChange(ENTRY)?.description?.upstream).to.equal('u2');
  });

  it('takes no new work from an entry whose link it gives up, and still runs what it holds', async () => {
    upstream.taskMs = 400;
    core.handleStart(ENTRY, ORDER);
    await clock.advance(20);
    core.setRetiring(ENTRY, true);
    expect(core.takeCapacityChange(ENTRY)?.state).to.equal('draining');
    expect(core.countHeld(ENTRY)).to.equal(1);
    core.setRetiring(ENTRY, false);
    expect(core.takeCapacityChange(ENTRY)?.state).to.equal('ready');
  });

  it('tells progress only of what stands still or crawls', async () => {
    upstream.taskMs = 400;
    core.handleStart(ENTRY, ORDER);
    for (let ms = 0; ms < 300; ms += 20) {
      await clock.advance(20);
      core.handlePong(ENTRY, {
        type: 'pong',
        version: VERSION,
        at: clock.now(),
        typicalSpeed: 1,
        isWaiting: false,
      });
    }
    expect(core.buildPing(ENTRY, VERSION).progress?.length ?? 0).to.equal(0);
    core.handlePong(ENTRY, {
      type: 'pong',
      version: VERSION,
      at: clock.now(),
      typicalSpeed: 4,
      isWaiting: false,
    });
    expect(core.buildPing(ENTRY, VERSION).progress?.map(({ name }) => name)).to.deep.equal([ORDER.name]);
    upstream.hangs = true;
    await clock.advance(300);
    core.handlePong(ENTRY, {
      type: 'pong',
      version: VERSION,
      at: clock.now(),
      typicalSpeed: 0.1,
      isWaiting: false,
    });
    expect(core.buildPing(ENTRY, VERSION).progress?.[0]?.stalledMs).to.be.greaterThan(160);
  });

  it('begins nothing while its failure domain is emptied, and lets what runs there end', async () => {
    upstream.taskMs = 100;
    core.handleStart(ENTRY, ORDER);
    await clock.advance(20);
    core.setEmptied(true);
    expect(core.buildPing(ENTRY, VERSION).room?.state).to.equal('draining');
    core.handleStart(ENTRY, { ...ORDER, name: { ...ORDER.name, index: 1, attempt: 2 } });
    await clock.advance(300);
    expect(results).to.deep.equal(['not-run domain-emptied', 'done done']);
    core.setEmptied(false);
    expect(core.buildPing(ENTRY, VERSION).room?.state).to.equal('ready');
    core.handleStart(ENTRY, { ...ORDER, name: { ...ORDER.name, index: 1, attempt: 3 } });
    await clock.advance(300);
    expect(upstream.starts).to.equal(2);
  });

  it('lets go what waits for room when its failure domain is emptied', async () => {
    upstream.taskMs = 1_000;
    for (let index = 0; index < 5; index += 1)
      core.handleStart(ENTRY, { ...ORDER, name: { ...ORDER.name, index, attempt: index + 1 } });
    core.setEmptied(true);
    expect(results).to.deep.equal(['not-run domain-emptied']);
  });

  it('runs one suspect at a time, and others beside it', async () => {
    const isSuspect = true;
    core.handleStart(ENTRY, { ...ORDER, isSuspect });
    core.handleStart(ENTRY, buildStartOrder(1, { isSuspect }));
    core.handleStart(ENTRY, buildStartOrder(2));
    await clock.advance(20);
    expect(results).to.deep.equal(['not-run other-suspect']);
    expect(upstream.running.size).to.equal(2);
    await clock.advance(400);
    core.handleStart(ENTRY, buildStartOrder(1, { isSuspect, expiresAt: Infinity }));
    await clock.advance(20);
    expect(upstream.running.has('job/0/1')).to.equal(true);
  });

  it('tells another entry of a crash that the one which ordered the task cannot hear of', async () => {
    const heir = 'entry-2@1';
    core.handleStart(ENTRY, ORDER);
    await clock.advance(20);
    core.handleWelcome(heir, clock.now());
    core.handleDispatcherReplaced(ENTRY);
    upstream.refuses = true;
    await clock.advance(1_500);
    core.tick();
    core.tick();
    expect(results).to.deep.equal(['lost upstream-crashed', `${heir} crashes 1`]);
  });

  it('tells nobody else of a crash that the entry has heard of', async () => {
    core.handleWelcome('entry-2@1', clock.now());
    core.handleStart(ENTRY, ORDER);
    await clock.advance(20);
    upstream.refuses = true;
    await clock.advance(1_500);
    core.handlePong(ENTRY, { type: 'pong', at: clock.now(), version: 1, typicalSpeed: 1, isWaiting: false });
    core.handleDispatcherReplaced(ENTRY);
    expect(results).to.deep.equal(['lost upstream-crashed']);
  });

  it('has a changed capacity told at once, and tells it with the room', () => {
    core.buildPing(ENTRY, VERSION);
    report('u1', 2, { ...UPSTREAM_CAPACITY, cpuMilli: 1_000 });
    expect(told).to.deep.equal([1_000]);
    const change = core.takeCapacityChange(ENTRY);
    expect([change?.free.cpuMilli, change?.description?.capacity.cpuMilli]).to.deep.equal([1_000, 1_000]);
    report('u1', 3, { ...UPSTREAM_CAPACITY, cpuMilli: 1_000 });
    expect(told).to.have.length(1);
  });
});
