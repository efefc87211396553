import { expect } from 'chai';

import { SteadyClock } from '../../_lib/Clock.js';
import type { Clock } from '../../_lib/Clock.js';
import type { LineChannel } from '../../connection/peer/LineChannel.js';
import { PeerListener } from '../../connection/peer/PeerListener.js';
import type { PeerMessage, Ping } from '../../connection/peer/peerMessages.js';
import { OperatorExchange } from '../OperatorExchange.js';
import { DispatcherPeers } from './DispatcherPeers.js';
import { createInputGuard } from '../../../test/fakes/createInputGuard.js';

const HOST = '127.0.0.1';
const VERSION = 7;

describe('DispatcherPeers', () => {
  let listener: PeerListener;
  let peers: DispatcherPeers;
  let received: PeerMessage[];
  let logged: string[];
  /** Whether the other dispatcher replies to pings. */
  let repliesToPings: boolean;
  let resolveWait: () => void;
  /** Offset of the dispatcher's clock from the steady clock, ms. */
  let skippedMs: number;

  async function waitFor(type: PeerMessage['type']): Promise<void> {
    while (!received.some((message) => message.type === type)) {
      await new Promise<void>((resolve) => (resolveWait = resolve));
    }
  }

  function sendPong(channel: LineChannel, { at }: Ping): void {
    channel.send({ type: 'pong', at, version: VERSION, typicalSpeed: 1, isWaiting: false });
  }

  beforeEach(async () => {
    received = [];
    logged = [];
    repliesToPings = true;
    skippedMs = 0;
    resolveWait = () => undefined;
    const receive = (channel: LineChannel, message: PeerMessage): void => {
      received.push(message);
      if (message.type === 'ping' && repliesToPings) sendPong(channel, message);
      resolveWait();
    };
    listener = new PeerListener({ receive, close: () => undefined }, createInputGuard());
    const linkPort = await listener.start(HOST, 0);
    const steady = new SteadyClock();
    const clock: Clock = {
      now: () => steady.now() + skippedMs,
      readSteady: () => steady.now(),
      sleep: (ms) => steady.sleep(ms),
    };
    const place = { address: `${HOST}:1`, failureDomain: 'x' };
    const events = {
      recordMembers: () => undefined,
      notices: { receive: () => false, open: () => undefined, close: () => undefined },
      log: (event: string) => void logged.push(event),
      recordFault: () => undefined,
    };
    const options = { id: 'e1', place, linkPort };
    const exchange = new OperatorExchange({
      changeConfiguration: () => undefined,
      changeEmptied: () => undefined,
    });
    peers = new DispatcherPeers(options, exchange, clock, events, () => 0.5);
    peers.recordSeeds([`${HOST}:1`]);
    await waitFor('entry-hello');
  });

  afterEach(async () => {
    peers.stop();
    await listener.stop();
  });

  it('redials a link without pongs', async () => {
    repliesToPings = false;
    peers.ping();
    await waitFor('ping');
    received.length = 0;
    skippedMs = 1_100;
    peers.ping();
    await waitFor('entry-hello');
    expect(logged).to.deep.equal(['peer-unlinked']);
  });

  // Guards against dispatchers that hear nothing of each other once all seeds of the settings are gone.
  it('links to a neighbour while it has too few links, as long as that is a member', async () => {
    const other = new PeerListener(
      { receive: () => void (reached += 1), close: () => undefined },
      createInputGuard(),
    );
    let reached = 0;
    const port = await other.start(HOST, 0);
    const member = { address: `${HOST}:${port}`, failureDomain: 'x' };
    const wait = async (): Promise<void> => {
      while (reached === 0) await new Promise((resolve) => setTimeout(resolve, 5));
    };
    peers.updateMembers([member]);
    await wait();
    peers.updateMembers([]);
    expect(logged).to.deep.equal(['peer-unlinked']);
    await other.stop();
  });

  it('requests the configuration of a dispatcher that reports a newer version', async () => {
    peers.ping();
    await waitFor('configuration-request');
    expect(logged).to.deep.equal([]);
  });
});
