/** Transfer of large configurations over loopback links that are slow, broken, or to peers of the previous version. */
import { setTimeout as sleep } from 'node:timers/promises';

import { expect } from 'chai';

import { SteadyClock } from '../src/_lib/Clock.js';
import { ClockTimeline } from '../src/_lib/Timeline.js';
import type { LineChannel } from '../src/connection/peer/LineChannel.js';
import { PeerListener } from '../src/connection/peer/PeerListener.js';
import type { PeerMessage } from '../src/connection/peer/peerMessages.js';
import type { Executor } from '../src/process/executor/Executor.js';
import { DispatcherLinks } from '../src/process/executor/DispatcherLinks.js';
import { OperatorExchange } from '../src/process/OperatorExchange.js';
import { NO_RESOURCES } from '../src/request/dispatch/resources.js';
import type { Configuration } from '../src/version/configuration.js';
import { buildRoutes } from './fakes/buildRoutes.js';
import { LoopbackProxy } from './fakes/LoopbackProxy.js';
import { createInputGuard } from './fakes/createInputGuard.js';

const HOST = '127.0.0.1';
const POLL_MS = 20;
const PING_MS = 100;
const ROUTES = 1_500;
const LIMITS = { maxBodyBytes: 1_000, headerTimeoutMs: 1_000, idleTimeoutMs: 1_000 };
const CAPACITY = {
  description: undefined,
  state: 'ready',
  trust: 'healthy',
  free: NO_RESOURCES,
  startsSeen: 0,
  speed: 1,
} as const;

function createConfiguration(version: number): Configuration {
  return { version, routes: buildRoutes(ROUTES, version), limits: LIMITS };
}

/** Creates a stub with the members of `Executor` that the links use. */
function createExecutor(): Executor {
  const holding = { holding: [], results: [], entryLife: '', orphanMs: 1_000 };
  const hello = { type: 'agent-hello', agent: 'a1', life: '1', failureDomain: 'x', ...holding } as const;
  const core = {
    buildHello: () => hello,
    buildPing: (_: string, version: number) => {
      return {
        type: 'ping',
        at: Math.floor(performance.now()),
        version,
        room: CAPACITY,
        progress: undefined,
      };
    },
    handleWelcome: () => undefined,
    handleDispatcherReplaced: () => undefined,
    setPreferred: () => undefined,
    setEmptied: () => undefined,
    handlePong: () => undefined,
    countHeld: () => 0,
    takeCapacityChange: () => undefined,
  };
  return core as unknown as Executor;
}

/** Dispatcher side of a link: answers pings and exchanges versions as the daemon does. */
class TestDispatcher {
  readonly received: PeerMessage[] = [];
  exchange: OperatorExchange;
  hellos = 0;
  /** Whether it requests the whole configuration on each message, as the previous version does. */
  asksWhole = false;
  /** Whether it sends the whole configuration at once, as the previous version does. */
  isOld = false;
  private readonly clock = new SteadyClock();
  private readonly listener = new PeerListener(
    {
      receive: (channel, message) => this.receive(channel, message),
      close: (channel) => this.exchange.handleClosed(channel),
    },
    createInputGuard(),
  );

  constructor(linkMbps: number) {
    const timeline = new ClockTimeline(this.clock);
    this.exchange = new OperatorExchange(
      { changeConfiguration: () => undefined, changeEmptied: () => undefined },
      { usesRoutes: true, linkMbps, timeline, nextRandom: () => 0 },
    );
    this.exchange.adoptEmptied({ revision: 0, domains: [] }, 'store');
  }

  start(port: number): Promise<number> {
    return this.listener.start(HOST, port);
  }

  stop(): Promise<void> {
    return this.listener.stop();
  }

  private receive(channel: LineChannel, message: PeerMessage): void {
    this.received.push(message);
    if (message.type === 'agent-hello') this.sendWelcome(channel);
    if (message.type === 'ping') {
      const { versions } = this.exchange;
      channel.send({ type: 'pong', at: message.at, ...versions, typicalSpeed: 1, isWaiting: false });
      if (!this.isOld) this.exchange.compareVersions(message, channel, this.clock.now());
    }
    if (this.asksWhole) channel.send({ type: 'configuration-request' });
    const { configuration } = this.exchange;
    if (!this.isOld) this.exchange.receive(message, channel);
    else if (message.type === 'configuration-request' && configuration)
      channel.send({ type: 'configuration', configuration });
  }

  private sendWelcome(channel: LineChannel): void {
    this.hellos += 1;
    const place = { address: `${HOST}:1`, failureDomain: 'x' };
    channel.send({ type: 'entry-welcome', entry: 'e1', life: 'e1@1', place });
  }
}

describe('a large configuration on real links', function () {
  this.timeout(60_000);
  let dispatcher: TestDispatcher;
  let proxy: LoopbackProxy;
  let links: DispatcherLinks;
  let timer: NodeJS.Timeout;
  let logged: string[];

  /** Opens an executor with one link of the given bandwidth, Mbit/s. */
  async function open(mbps: number): Promise<void> {
    logged = [];
    dispatcher = new TestDispatcher(mbps);
    proxy = new LoopbackProxy(HOST, 0, HOST, await dispatcher.start(0));
    proxy.setRate(mbps);
    const linkPort = await proxy.start();
    const fleet = { maxLinks: 3, smallFleet: 6, linkPort, cancelledMs: 120_000 };
    const options = { executor: 'a1', failureDomain: 'x', ...fleet, pingMs: PING_MS, linkMbps: mbps };
    const log = (event: string): number => logged.push(event);
    const records = { log, recordFault: () => undefined };
    links = new DispatcherLinks(options, createExecutor(), new SteadyClock(), records, () => 0);
    links.recordSeeds([`${HOST}:1`]);
    timer = setInterval(() => {
      links.sendDuePings();
      links.updateLinks();
    }, PING_MS / 3);
    await waitFor(() => dispatcher.received.some(({ type }) => type === 'ping'));
  }

  afterEach(async () => {
    clearInterval(timer);
    links.stop();
    proxy.stop();
    await dispatcher.stop();
  });

  async function waitFor(holds: () => boolean): Promise<void> {
    while (!holds()) await sleep(POLL_MS);
  }

  function countRequests(): number {
    return dispatcher.received.filter(({ type }) => type === 'configuration-request').length;
  }

  it('is kept by an executor on a slow link, and returned to a dispatcher that has lost it', async () => {
    await open(2);
    dispatcher.exchange.adoptConfiguration(createConfiguration(7), 'store');
    await waitFor(() => links.services?.has('service-of-7') ?? false);
    expect(links.keptVersion).to.equal(-1);
    await waitFor(() => links.keptVersion === 7);
    expect(logged).to.not.include('entry-unlinked');
    expect(logged).to.include.members(['services-known', 'configuration-kept']);
    const { exchange } = new TestDispatcher(2);
    dispatcher.exchange = exchange;
    await waitFor(() => exchange.configuration?.version === 7);
    expect(exchange.configuration).to.deep.equal(createConfiguration(7));
    expect(logged).to.not.include('entry-unlinked');
  });

  it('resumes after the link broke during the transfer', async () => {
    await open(2);
    dispatcher.exchange.adoptConfiguration(createConfiguration(7), 'store');
    await waitFor(() => countRequests() > 5);
    const before = countRequests();
    proxy.resetAll();
    await waitFor(() => links.keptVersion === 7);
    const [next] = dispatcher.received.filter(({ type }) => type === 'configuration-request').slice(before);
    expect(next).to.include({ version: 7 });
    expect((next as { position: number }).position, 'received pieces are kept').to.be.greaterThan(0);
    expect(logged).to.include('entry-unlinked');
  });

  it('resumes after the link became unresponsive during the transfer', async () => {
    await open(2);
    dispatcher.exchange.adoptConfiguration(createConfiguration(7), 'store');
    await waitFor(() => countRequests() > 5);
    proxy.silenceConnections();
    await waitFor(() => links.keptVersion === 7);
    expect(dispatcher.hellos).to.equal(2);
  });

  it('is superseded by a newer one during the transfer', async () => {
    await open(2);
    dispatcher.exchange.adoptConfiguration(createConfiguration(7), 'store');
    await waitFor(() => countRequests() > 5);
    dispatcher.exchange.adoptConfiguration(createConfiguration(9), 'store');
    await waitFor(() => links.services?.has('service-of-9') ?? false);
    await waitFor(() => links.keptVersion === 9);
    expect(logged.filter((event) => event === 'configuration-kept')).to.have.length(1);
  });

  it('is accepted whole from a dispatcher of the previous version without closing its link', async () => {
    await open(4);
    dispatcher.isOld = true;
    dispatcher.exchange.adoptConfiguration(createConfiguration(7), 'store');
    await waitFor(() => links.keptVersion === 7);
    expect(links.services?.has('service-of-7')).to.equal(true);
    expect(dispatcher.hellos).to.equal(1);
  });

  it('is sent whole to a dispatcher of the previous version', async () => {
    await open(17.5);
    dispatcher.exchange.adoptConfiguration(createConfiguration(7), 'store');
    await waitFor(() => links.keptVersion === 7);
    dispatcher.asksWhole = true;
    await waitFor(() => dispatcher.received.some(({ type }) => type === 'configuration'));
    const notice = dispatcher.received.find(({ type }) => type === 'configuration');
    expect(notice).to.deep.equal({ type: 'configuration', configuration: createConfiguration(7) });
  });
});
