import { PassThrough } from 'node:stream';
import type { Socket } from 'node:net';

import { expect } from 'chai';

import { LineChannel } from './LineChannel.js';
import type { PeerMessage, StartOrder } from './peerMessages.js';

/** Socket that receives whatever is written to it. */
class EchoSocket extends PassThrough {
  readonly written: string[] = [];

  setNoDelay(): this {
    return this;
  }

  override write(text: string): boolean {
    this.written.push(text);
    return super.write(text);
  }
}

function buildStart(index: number): StartOrder {
  const name = { job: 'a', step: 0, index, attempt: index + 1 };
  const resources = { cpuMilli: 500, memoryMb: 10, gpus: 0 };
  return {
    type: 'start',
    name,
    service: 's',
    spec: 'text',
    resources,
    estimateMs: 80,
    rank: 5,
    expiresAt: 9,
  };
}

describe('LineChannel', () => {
  const starts = [buildStart(0), buildStart(1), buildStart(2)];
  let socket: EchoSocket;
  let channel: LineChannel;
  let received: PeerMessage[];
  let closed: string[];

  beforeEach(() => {
    socket = new EchoSocket();
    received = [];
    closed = [];
    channel = new LineChannel(socket as unknown as Socket, {
      receive: (message) => received.push(message),
      close: (reason) => closed.push(reason),
    });
  });

  async function exchange(): Promise<void> {
    for (const start of starts) channel.send(start);
    while (received.length < starts.length) await new Promise((resolve) => setImmediate(resolve));
  }

  it('sends each start separately before batches are allowed', async () => {
    await exchange();
    expect(socket.written.join('').trim().split('\n').length).to.equal(3);
    expect(received).to.deep.equal(starts);
  });

  it('sends the starts of a turn as one message when batches are allowed', async () => {
    channel.allowBatches();
    await exchange();
    expect(socket.written.join('').trim().split('\n').length).to.equal(1);
    expect(received).to.deep.equal(starts);
  });

  it('closes on an invalid batch and reports the invalid field', async () => {
    socket.write(
      '{"type":"starts","job":"a","service":"s","spec":"t","rank":1,"expiresAt":2,"tasks":[{}]}\n',
    );
    while (closed.length === 0) await new Promise((resolve) => setImmediate(resolve));
    expect(closed[0]).to.include('/tasks/0');
    expect(received).to.deep.equal([]);
  });

  it('delivers no further starts of a batch after it has closed', async () => {
    const delivered: PeerMessage[] = [];
    const failing = new LineChannel(socket as unknown as Socket, {
      receive: (message) => {
        delivered.push(message);
        throw new Error('test');
      },
      close: (reason) => closed.push(reason),
    });
    failing.allowBatches();
    for (const start of starts) failing.send(start);
    while (closed.length === 0) await new Promise((resolve) => setImmediate(resolve));
    await new Promise((resolve) => setImmediate(resolve));
    expect(delivered).to.deep.equal([starts[0]]);
  });
});
