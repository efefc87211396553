import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

import { expect } from 'chai';

import { PeerListener } from './PeerListener.js';
import { createInputGuard } from '../../../test/fakes/createInputGuard.js';

const HOST = '127.0.0.1';
const CHECK_INTERVAL_MS = 20;
const HELLO = '{"type":"entry-hello","entry":"e","place":{"address":"127.0.0.1:1","failureDomain":"d"}}\n';
const LINE = '{"type":"demand"}\n';

describe('PeerListener', () => {
  let listener: PeerListener;
  let received: number;
  let closed: string[];
  let socket: Socket;

  beforeEach(async () => {
    received = 0;
    closed = [];
    const events = { receive: () => (received += 1), close: (_: unknown, why: string) => closed.push(why) };
    listener = new PeerListener(events, createInputGuard(), CHECK_INTERVAL_MS);
    socket = connect(await listener.start(HOST, 0), HOST);
    socket.on('error', () => undefined);
  });

  afterEach(async () => {
    socket.destroy();
    await listener.stop();
  });

  it('closes a channel that receives no more messages', async () => {
    socket.write(HELLO + LINE);
    while (closed.length === 0) await sleep(CHECK_INTERVAL_MS);
    expect(closed).to.deep.equal(['idle']);
  });

  // Anyone who reached the port could hand in members, cancellings and configurations.
  it('closes a channel whose first message is not a hello', async () => {
    socket.write(LINE + HELLO);
    while (closed.length === 0) await sleep(CHECK_INTERVAL_MS);
    expect(closed).to.deep.equal(['no hello']);
    expect(received).to.equal(0);
  });

  it('keeps a channel that receives messages', async () => {
    socket.write(HELLO);
    for (let checks = 0; checks < 20; checks += 1) {
      socket.write(LINE);
      const before = received;
      while (received === before) await sleep(1);
      await sleep(CHECK_INTERVAL_MS);
    }
    expect(closed).to.deep.equal([]);
  });
});
