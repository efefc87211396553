/** Accepts channels that peers dial. */
import { createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';

import { LineChannel } from './LineChannel.js';
import type { PeerMessage } from './peerMessages.js';

/** How long an accepted connection may stay without a first message, ms. */
const HELLO_TIMEOUT_MS = 5_000;

/** What a listener tells its owner. */
export interface ListenerEvents {
  readonly receive: (channel: LineChannel, message: PeerMessage) => void;
  readonly close: (channel: LineChannel, reason: string) => void;
}

/** Accepts peers. */
export class PeerListener {
  private readonly channels = new Set<LineChannel>();
  private readonly server: Server;

  constructor(private readonly events: ListenerEvents) {
    this.server = createServer((socket) => this.accept(socket));
  }

  /** Starts to listen and returns the port. */
  async start(host: string, port: number): Promise<number> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, resolve);
    });
    return (this.server.address() as AddressInfo).port;
  }

  /** Ends all channels. */
  async stop(): Promise<void> {
    const closed = new Promise<void>((resolve) => this.server.close(() => resolve()));
    for (const channel of this.channels) channel.close('stopped');
    await closed;
  }

  private accept(socket: Socket): void {
    const channel: LineChannel = new LineChannel(socket, {
      receive: (message) => {
        clearTimeout(timer);
        this.events.receive(channel, message);
      },
      close: (reason) => {
        clearTimeout(timer);
        this.channels.delete(channel);
        this.events.close(channel, reason);
      },
    });
    const timer = setTimeout(() => channel.close('no hello'), HELLO_TIMEOUT_MS);
    this.channels.add(channel);
  }
}
