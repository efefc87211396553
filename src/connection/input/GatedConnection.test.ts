import { EventEmitter } from 'node:events';
import type { Socket } from 'node:net';

import { expect } from 'chai';

import { createInputGuard } from '../../../test/fakes/createInputGuard.js';
import { GatedConnection } from './GatedConnection.js';

/** Socket whose input comes from the test. */
class FakeSocket extends EventEmitter {
  isPaused = false;
  pause(): void {
    this.isPaused = true;
  }
  resume(): void {
    this.isPaused = false;
  }
  destroy(): void {
    this.emit('close');
  }
}

describe('GatedConnection', () => {
  const { budget, turns, now } = createInputGuard();
  let socket: FakeSocket;
  let connection: GatedConnection;
  let empty: number;
  let received: string;

  beforeEach(() => {
    socket = new FakeSocket();
    const account = budget.open('callers', 10, () => undefined);
    if (!account) throw new Error('there is no room');
    empty = budget.heldBytes;
    connection = new GatedConnection(socket as unknown as Socket, account, turns, now);
    received = '';
    connection.on('data', (bytes: Buffer) => (received += bytes.toString()));
  });

  afterEach(() => {
    connection.destroy();
  });

  function emit(text: string): void {
    socket.emit('data', Buffer.from(text));
  }

  async function until(holds: () => boolean): Promise<void> {
    while (!holds()) await new Promise((resolve) => setImmediate(resolve));
  }

  // Each byte that arrives by itself is a buffer of its own: 2,000 such clients took 356 MB on a VM of 350.
  it('counts the memory of chunks that wait, however small, and reads no further above its limit', async () => {
    connection.pause();
    let sent = '';
    for (let number = 0; number < 120; number += 1) {
      emit(String(number % 10));
      sent += String(number % 10);
    }
    expect(budget.heldBytes - empty).to.be.at.least(120 * 350);
    expect(socket.isPaused).to.equal(false);
    for (let number = 0; number < 10; number += 1) emit('x');
    expect(socket.isPaused).to.equal(true);
    connection.resume();
    await until(() => received === `${sent}${'x'.repeat(10)}`);
    expect(socket.isPaused).to.equal(false);
  });

  it('passes on all input in its order, in chunks of any size', async () => {
    const sizes = [1, 1_023, 1_024, 1_025, 5_000, 1, 2, 3, 70_000, 4_096, 4_097];
    const texts = sizes.map((size, index) => String.fromCharCode(97 + index).repeat(size));
    for (const text of texts) emit(text);
    await until(() => received.length === texts.join('').length);
    expect(received).to.equal(texts.join(''));
  });
});
