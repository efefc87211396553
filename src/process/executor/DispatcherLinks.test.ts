import { setTimeout as sleep } from 'node:timers/promises';

import { expect } from 'chai';

import { SteadyClock } from '../../_lib/Clock.js';
import type { Clock } from '../../_lib/Clock.js';
import type { LineChannel } from '../../connection/peer/LineChannel.js';
import { PeerListener } from '../../connection/peer/PeerListener.js';
import type { ExecutorHello, PeerMessage, Ping, CapacityReport } from '../../connection/peer/peerMessages.js';
import { NO_RESOURCES } from '../../request/dispatch/resources.js';
import type { Executor } from './Executor.js';
import { DispatcherLinks } from './DispatcherLinks.js';

const HOST = '127.0.0.1';
/** So long that only the first ping of a link is ever due here. */
const PING_MS = 600_000;
/** Longer than a change of room is ever held back where it is told at all. */
const QUIET_MS = 150;

const ROOM: CapacityReport = {
  description: undefined,
  state: 'ready',
  trust: 'healthy',
  free: NO_RESOURCES,
  startsSeen: 0,
  speed: 1,
};
const HELLO: ExecutorHello = {
  type: 'agent-hello',
  agent: 'a1',
  life: '1',
  failureDomain: 'x',
  holding: [],
  results: [],
  entryLife: '',
  orphanMs: 1_000,
};
const FIRST_PING: Ping = { type: 'ping', at: 0, version: -1, room: ROOM, progress: undefined };

/** What the links ask of the agent's decisions. */
function createCore(handlePong: () => void): Executor {
  const core = {
    buildHello: () => HELLO,
    buildPing: () => FIRST_PING,
    handleWelcome: () => undefined,
    setPreferred: () => undefined,
    handlePong,
    countHeld: () => 0,
    takeCapacityChange: () => ROOM,
    handleDemand: () => undefined,
    needsCapacity: (_: string, isWaiting: boolean) => isWaiting,
    hasShare: () => false,
  };
  return core as unknown as Executor;
}

describe('EntryLinks', () => {
  let listener: PeerListener;
  let links: DispatcherLinks;
  let entry: LineChannel;
  let received: string[];
  let logged: string[];
  let wake: () => void;
  /** Time that the agent's clock is ahead of the steady one, ms. */
  let skippedMs: number;

  function note(what: string): void {
    received.push(what);
    wake();
  }

  /** Waits until the entry has received a message of a type, or the agent an echo. */
  async function waitFor(type: string): Promise<void> {
    while (!received.includes(type)) await new Promise<void>((resolve) => (wake = resolve));
  }

  function receive(channel: LineChannel, { type }: PeerMessage): void {
    entry = channel;
    note(type);
    if (type !== 'agent-hello') return;
    const place = { address: `${HOST}:1`, failureDomain: 'x' };
    channel.send({ type: 'entry-welcome', entry: 'e1', life: 'e1@1', place });
  }

  beforeEach(async () => {
    received = [];
    logged = [];
    skippedMs = 0;
    wake = () => undefined;
    listener = new PeerListener({ receive, close: () => undefined });
    const linkPort = await listener.start(HOST, 0);
    const options = {
      agent: 'a1',
      failureDomain: 'x',
      maxLinks: 6,
      smallFleet: 6,
      linkPort,
      pingMs: PING_MS,
      linkMbps: 1_000,
    };
    const log = (event: string): number => logged.push(event);
    const core = createCore(() => note('echo'));
    const steady = new SteadyClock();
    const clock: Clock = {
      now: () => steady.now() + skippedMs,
      readSteady: () => steady.now(),
      sleep: (ms) => steady.sleep(ms),
    };
    links = new DispatcherLinks(options, core, clock, log, () => 0.5);
    links.recordSeeds([`${HOST}:1`]);
    await waitFor('ping');
  });

  afterEach(async () => {
    links.stop();
    await listener.stop();
  });

  it('tells room at once to an entry at which tasks wait', async () => {
    entry.send({ type: 'demand' });
    await waitFor('room');
    received.length = 0;
    links.scheduleCapacityReports();
    await waitFor('room');
  });

  it('leaves room to the next ping where no tasks wait', async () => {
    links.scheduleCapacityReports();
    await sleep(QUIET_MS);
    expect(received).to.not.include('room');
  });

  it('tells a changed capacity at once, also where no tasks wait', async () => {
    received.length = 0;
    links.sendCapacity();
    await waitFor('room');
  });

  it('learns from an echo that no tasks wait any more', async () => {
    entry.send({ type: 'demand' });
    await waitFor('room');
    entry.send({ type: 'pong', at: 0, version: -1, typicalSpeed: 1, isWaiting: false });
    await waitFor('echo');
    received.length = 0;
    links.scheduleCapacityReports();
    await sleep(QUIET_MS);
    expect(received).to.not.include('room');
  });

  it('dials anew what has been silent on an open connection for longer than an echo ever takes', async () => {
    received.length = 0;
    skippedMs = 2_000;
    links.keep();
    await waitFor('agent-hello');
    expect(logged).to.include('entry-unlinked');
  });

  it('dials anew a connection on which an echo is overdue, before what its entry has running here is stopped', async () => {
    entry.send({ type: 'pong', at: 0, version: -1, typicalSpeed: 1, isWaiting: false });
    await waitFor('echo');
    received.length = 0;
    // The next ping gets no echo. Work is stopped three pings after the one that was echoed last.
    skippedMs += PING_MS;
    links.ping();
    await waitFor('ping');
    skippedMs += PING_MS * 1.5;
    links.ping();
    await sleep(QUIET_MS);
    expect(received).to.include('agent-hello');
  });

  it('keeps a connection whose entry has answered of late', async () => {
    skippedMs = 2_000;
    entry.send({ type: 'pong', at: 0, version: -1, typicalSpeed: 1, isWaiting: false });
    await waitFor('echo');
    received.length = 0;
    links.keep();
    await sleep(QUIET_MS);
    expect(received).to.not.include('agent-hello');
  });
});
