import { PassThrough } from 'node:stream';
import type { Socket } from 'node:net';

import { expect } from 'chai';

import { LineChannel } from './LineChannel.js';
import type { FaultDirection, MessageFault } from './MessageFault.js';
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
  let faults: (MessageFault & { readonly direction: FaultDirection })[];

  beforeEach(() => {
    socket = new EchoSocket();
    received = [];
    closed = [];
    faults = [];
    channel = new LineChannel(socket as unknown as Socket, {
      receive: (message) => received.push(message),
      close: (reason) => closed.push(reason),
      recordFault: (fault, direction) => faults.push({ ...fault, direction }),
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

  it('reports an invalid row of a batch, and delivers the others on an open channel', async () => {
    channel.allowBatches();
    socket.write(
      '{"type":"starts","job":"a","service":"s","spec":"t","rank":1,"expiresAt":2,"tasks":[{}]}\n',
    );
    await exchange();
    expect(faults.map(({ field, count, problem }) => ({ field, count, problem }))).to.deep.equal([
      { field: 'tasks', count: 1, problem: '/step: is missing' },
    ]);
    expect(received).to.deep.equal(starts);
    expect(closed).to.deep.equal([]);
  });

  it('closes on a line that is no message', async () => {
    socket.write('7\n');
    while (closed.length === 0) await new Promise((resolve) => setImmediate(resolve));
    expect(closed).to.deep.equal(['not a message']);
  });

  // One message that no peer accepts was sent again on each new link.
  it('leaves out a message that is too long for its receiver, and sends the others', async () => {
    channel.send({ ...buildStart(0), spec: 'x'.repeat(5_000_000) });
    await exchange();
    expect(faults.map(({ direction, field }) => [direction, field])).to.deep.equal([['sent', '']]);
    expect(closed).to.deep.equal([]);
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
