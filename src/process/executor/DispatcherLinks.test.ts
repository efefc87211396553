import type { Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

import { expect } from 'chai';

import { SteadyClock } from '../../_lib/Clock.js';
import type { Clock } from '../../_lib/Clock.js';
import type { LineChannel } from '../../connection/peer/LineChannel.js';
import type { MessageFault } from '../../connection/peer/MessageFault.js';
import { PeerListener } from '../../connection/peer/PeerListener.js';
import type { ExecutorHello, PeerMessage, Ping, CapacityReport } from '../../connection/peer/peerMessages.js';
import { NO_RESOURCES } from '../../request/dispatch/resources.js';
import type { Executor } from './Executor.js';
import { DispatcherLinks } from './DispatcherLinks.js';
import { createInputGuard } from '../../../test/fakes/createInputGuard.js';

const HOST = '127.0.0.1';
/** Long enough that only the first ping of a link is due during a test. */
const PING_MS = 600_000;
/** Longer than any delay of a capacity report. */
const MAX_REPORT_DELAY_MS = 150;

const CAPACITY: CapacityReport = {
  description: undefined,
  state: 'ready',
  trust: 'healthy',
  free: NO_RESOURCES,
  startsSeen: 0,
  speed: 1,
};
/** Amount beyond what a message may hold. */
const EXCESSIVE = 3_000_000_000;

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
const FIRST_PING: Ping = { type: 'ping', at: 0, version: -1, room: CAPACITY, progress: undefined };

/** Creates a stub with the methods that the links call. */
function createExecutor(handlePong: () => void): Executor {
  const executor = {
    buildHello: () => HELLO,
    buildPing: () => FIRST_PING,
    handleWelcome: () => undefined,
    setPreferred: () => undefined,
    handlePong,
    countHeld: () => 0,
    takeCapacityChange: () => CAPACITY,
    handleDemand: () => undefined,
    needsCapacity: (_: string, isWaiting: boolean) => isWaiting,
    hasShare: () => false,
  };
  return executor as unknown as Executor;
}

describe('DispatcherLinks', () => {
  let listener: PeerListener;
  let links: DispatcherLinks;
  let dispatcher: LineChannel;
  let received: string[];
  let logged: string[];
  /** Type and field of the faults of messages. */
  let faults: string[];
  let wake: () => void;
  /** Time by which the executor's clock is ahead of the steady one, ms. */
  let skippedMs: number;

  function record(what: string): void {
    received.push(what);
    wake();
  }

  /** Waits for a message of a type at the dispatcher; `pong-received` is a pong at the executor. */
  async function waitFor(type: string): Promise<void> {
    while (!received.includes(type)) await new Promise<void>((resolve) => (wake = resolve));
  }

  function receive(channel: LineChannel, { type }: PeerMessage): void {
    dispatcher = channel;
    record(type);
    if (type !== 'agent-hello') return;
    const place = { address: `${HOST}:1`, failureDomain: 'x' };
    channel.send({ type: 'entry-welcome', entry: 'e1', life: 'e1@1', place });
  }

  beforeEach(async () => {
    received = [];
    logged = [];
    faults = [];
    skippedMs = 0;
    wake = () => undefined;
    listener = new PeerListener({ receive, close: () => undefined }, createInputGuard());
    const linkPort = await listener.start(HOST, 0);
    const options = {
      executor: 'a1',
      failureDomain: 'x',
      maxLinks: 6,
      smallFleet: 6,
      linkPort,
      pingMs: PING_MS,
      linkMbps: 1_000,
      cancelledMs: 120_000,
    };
    const log = (event: string): number => logged.push(event);
    const executor = createExecutor(() => record('pong-received'));
    const steady = new SteadyClock();
    const clock: Clock = {
      now: () => steady.now() + skippedMs,
      readSteady: () => steady.now(),
      sleep: (ms) => steady.sleep(ms),
    };
    const recordFault = ({ type, field }: MessageFault): number => faults.push(`${type}/${field}`);
    const records = { log, recordFault };
    links = new DispatcherLinks(options, executor, clock, records, () => 0.5);
    links.recordSeeds([`${HOST}:1`]);
    await waitFor('ping');
  });

  afterEach(async () => {
    links.stop();
    await listener.stop();
  });

  it('reports capacity at once to a dispatcher at which tasks wait', async () => {
    dispatcher.send({ type: 'demand' });
    await waitFor('room');
    received.length = 0;
    links.scheduleCapacityReports();
    await waitFor('room');
  });

  it('defers the capacity report to the next ping if no tasks wait', async () => {
    links.scheduleCapacityReports();
    await sleep(MAX_REPORT_DELAY_MS);
    expect(received).to.not.include('room');
  });

  it('reports a changed total capacity at once, even if no tasks wait', async () => {
    received.length = 0;
    links.sendCapacity();
    await waitFor('room');
  });

  it('stops immediate reports when a pong shows that no tasks wait any more', async () => {
    dispatcher.send({ type: 'demand' });
    await waitFor('room');
    dispatcher.send({ type: 'pong', at: 0, version: -1, typicalSpeed: 1, isWaiting: false });
    await waitFor('pong-received');
    received.length = 0;
    links.scheduleCapacityReports();
    await sleep(MAX_REPORT_DELAY_MS);
    expect(received).to.not.include('room');
  });

  it('dials an unresponsive connection again when its pong is overdue', async () => {
    received.length = 0;
    skippedMs = 2_000;
    links.updateLinks();
    await waitFor('agent-hello');
    expect(logged).to.include('entry-unlinked');
  });

  it('dials again when a pong is overdue, before the tasks of the dispatcher are stopped', async () => {
    dispatcher.send({ type: 'pong', at: 0, version: -1, typicalSpeed: 1, isWaiting: false });
    await waitFor('pong-received');
    received.length = 0;
    // The next ping gets no pong. Tasks are stopped three ping intervals after the last acknowledged ping.
    skippedMs += PING_MS;
    links.sendDuePings();
    await waitFor('ping');
    skippedMs += PING_MS * 1.5;
    links.sendDuePings();
    await sleep(MAX_REPORT_DELAY_MS);
    expect(received).to.include('agent-hello');
  });

  it('keeps a connection whose dispatcher has answered recently', async () => {
    skippedMs = 2_000;
    dispatcher.send({ type: 'pong', at: 0, version: -1, typicalSpeed: 1, isWaiting: false });
    await waitFor('pong-received');
    received.length = 0;
    links.updateLinks();
    await sleep(MAX_REPORT_DELAY_MS);
    expect(received).to.not.include('agent-hello');
  });

  // A dispatcher of an earlier version still sends such a sum: each pong closed the link, with all starts behind it.
  it('keeps a link on which an amount cannot be read, and handles the rest of the message', async () => {
    const written = { type: 'pong', at: 0, version: -1, typicalSpeed: 1, isWaiting: true } as const;
    const line = JSON.stringify({ ...written, waitingCpuMilli: EXCESSIVE });
    (dispatcher as unknown as { readonly socket: Socket }).socket.write(`${line}\n`);
    await waitFor('pong-received');
    expect(faults).to.deep.equal(['pong/waitingCpuMilli']);
    expect(logged).to.not.include('entry-unlinked');
  });
});
