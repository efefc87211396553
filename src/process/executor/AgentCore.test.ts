import { expect } from 'chai';

import { FakeClock } from '../../../test/fakes/FakeClock.js';
import { FakeUpstream } from '../../../test/fakes/FakeUpstream.js';
import type { StartOrder } from '../../connection/peer/peerMessages.js';
import { AgentCore } from './AgentCore.js';

const VERSION = 7;
const ENTRY = 'entry@1';
const CAPACITY = { cpuMilli: 4_000, memoryMb: 1_000, gpus: 0 };

const ORDER: StartOrder = {
  type: 'start',
  name: { job: 'job', step: 0, index: 0, attempt: 1 },
  service: 'service',
  spec: 'text',
  resources: { cpuMilli: 1_000, memoryMb: 10, gpus: 0 },
  estimateMs: 400,
  rank: 0,
  expiresAt: Infinity,
};

describe('AgentCore', () => {
  let clock: FakeClock;
  let upstream: FakeUpstream;
  let core: AgentCore;

  beforeEach(async () => {
    clock = new FakeClock();
    upstream = new FakeUpstream(clock);
    core = new AgentCore(
      { agent: 'agent', life: '1', failureDomain: 'x' },
      { leaseMs: 500, stopMs: 50, orphanAfterMs: 10_000 },
      clock,
      {
        openExecutor: () => upstream,
        sendResult: () => undefined,
        noteChange: () => undefined,
        log: () => undefined,
      },
    );
    const base = { id: 'u1', service: 'service', address: '127.0.0.1:1', labels: ['rack'], sequence: 1 };
    core.noteReport({ ...base, capacity: CAPACITY, isDraining: false, clockMs: upstream.clockMs });
    await clock.advance(20);
    core.noteWelcome(ENTRY, clock.now());
  });

  afterEach(() => core.close());

  it('tells a link its room once, and what has changed of it', async () => {
    const first = core.buildPing(ENTRY, VERSION).room;
    expect(first?.description?.capacity).to.deep.equal(CAPACITY);
    expect(core.buildPing(ENTRY, VERSION)).to.deep.equal({
      type: 'ping',
      at: clock.now(),
      version: VERSION,
      room: undefined,
      progress: undefined,
    });
    core.handleStart(ENTRY, ORDER);
    const change = core.takeRoomChange(ENTRY);
    expect(change?.description).to.equal(undefined);
    expect(change?.free.cpuMilli).to.equal(3_000);
    expect(core.takeRoomChange(ENTRY)).to.equal(undefined);
  });

  it('tells the entry that it prefers, and only that one, with its room', () => {
    const other = 'entry-2@1';
    core.buildPing(ENTRY, VERSION);
    core.buildPing(other, VERSION);
    core.setHome(ENTRY);
    expect(core.buildPing(ENTRY, VERSION).room?.isHome).to.equal(true);
    expect(core.buildPing(other, VERSION).room).to.equal(undefined);
    core.setHome(other);
    expect(core.buildPing(ENTRY, VERSION).room?.isHome).to.equal(undefined);
    expect(core.buildPing(other, VERSION).room?.isHome).to.equal(true);
  });

  it('tells a new link everything', () => {
    core.buildPing(ENTRY, VERSION);
    core.noteWelcome(ENTRY, clock.now());
    expect(core.buildPing(ENTRY, VERSION).room?.description?.labels).to.deep.equal(['rack']);
  });

  it('tells each entry its room on its own', () => {
    core.buildPing(ENTRY, VERSION);
    core.noteWelcome('other@1', clock.now());
    expect(core.buildPing('other@1', VERSION).room?.description?.upstream).to.equal('u1');
  });

  it('tells the room again after a result, even if it is as before', async () => {
    upstream.taskMs = 40;
    core.handleStart(ENTRY, ORDER);
    expect(core.takeRoomChange(ENTRY)?.free.cpuMilli).to.equal(3_000);
    core.noteWelcome('other@1', clock.now());
    await clock.advance(200);
    core.handleStart('other@1', { ...ORDER, name: { ...ORDER.name, job: 'another' } });
    const again = core.takeRoomChange(ENTRY);
    expect([again?.free.cpuMilli, again?.startsSeen]).to.deep.equal([3_000, 1]);
  });

  it('takes no new work from an entry whose link it gives up, and still runs what it holds', async () => {
    upstream.taskMs = 400;
    core.handleStart(ENTRY, ORDER);
    await clock.advance(20);
    core.setRetiring(ENTRY, true);
    expect(core.takeRoomChange(ENTRY)?.state).to.equal('draining');
    expect(core.countHeld(ENTRY)).to.equal(1);
    core.setRetiring(ENTRY, false);
    expect(core.takeRoomChange(ENTRY)?.state).to.equal('ready');
  });

  it('tells progress only of what stands still or crawls', async () => {
    upstream.taskMs = 400;
    core.handleStart(ENTRY, ORDER);
    for (let ms = 0; ms < 300; ms += 20) {
      await clock.advance(20);
      core.noteEcho(ENTRY, {
        type: 'pong',
        version: VERSION,
        at: clock.now(),
        typicalSpeed: 1,
        isWaiting: false,
      });
    }
    expect(core.buildPing(ENTRY, VERSION).progress?.length ?? 0).to.equal(0);
    core.noteEcho(ENTRY, {
      type: 'pong',
      version: VERSION,
      at: clock.now(),
      typicalSpeed: 4,
      isWaiting: false,
    });
    expect(core.buildPing(ENTRY, VERSION).progress?.map(({ name }) => name)).to.deep.equal([ORDER.name]);
    upstream.hangs = true;
    await clock.advance(300);
    core.noteEcho(ENTRY, {
      type: 'pong',
      version: VERSION,
      at: clock.now(),
      typicalSpeed: 0.1,
      isWaiting: false,
    });
    expect(core.buildPing(ENTRY, VERSION).progress?.[0]?.stalledMs).to.be.greaterThan(160);
  });
});
