import { createServer } from 'node:net';
import type { AddressInfo, Server } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

import { expect } from 'chai';

import { SteadyClock } from '../../_lib/Clock.js';
import { PeerDialer } from './PeerDialer.js';

const HOST = '127.0.0.1';
const FIRST_PONG_MS = 10_000;
const OBSERVED_MS = 3_000;
/** Links that fit the pauses of 50, 50, 100, 200, 400 and then 800 ms, less a quarter, and one more. */
const MAX_LINKS = 9;

describe('PeerDialer', () => {
  let server: Server;
  let dialer: PeerDialer;
  let links: number;
  let reasons: string[];

  /** Maintains a link to a server that writes a text on each connection. */
  async function dial(text: string): Promise<void> {
    server = createServer((socket) => {
      links += 1;
      socket.on('error', () => undefined);
      socket.write(text);
    });
    await new Promise<void>((resolve) => server.listen(0, HOST, resolve));
    const events = {
      open: () => undefined,
      receive: () => undefined,
      close: (_address: string, reason: string) => void reasons.push(reason),
    };
    dialer = new PeerDialer(events, new SteadyClock(), () => 0, FIRST_PONG_MS);
    dialer.add(`${HOST}:${(server.address() as AddressInfo).port}`);
  }

  beforeEach(() => {
    links = 0;
    reasons = [];
  });

  afterEach(() => {
    dialer.stop();
    server.close();
  });

  // A link that its first message closed was opened again some 50 ms later, for good.
  it('backs off while links close for the same reason', async function () {
    this.timeout(2 * OBSERVED_MS);
    await dial('7\n');
    await sleep(OBSERVED_MS);
    expect(links).to.be.within(3, MAX_LINKS);
    expect(new Set(reasons)).to.deep.equal(new Set(['not a message']));
  });

  it('keeps a link on which a message cannot be read', async () => {
    await dial('{"type":"pong","at":null}\n{"type":"demand","waitingCpuMilli":-1}\n');
    await sleep(300);
    expect([links, reasons]).to.deep.equal([1, []]);
  });
});
