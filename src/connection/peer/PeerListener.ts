/** Accepts channels that peers dial. */
import { createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';

import { LineChannel } from './LineChannel.js';
import type { PeerMessage } from './peerMessages.js';

/** How long an accepted connection may stay without a first message, ms. */
const HELLO_TIMEOUT_MS = 5_000;

/**
 * Between two looks at which channels have said something, ms, and looks in a row without a word after which one is
 * closed. Peers say something every second at least. What is written to a connection that carries nothing any more is
 * kept for it, up to 8 MiB, and its peer may have given it up without a word that arrives. Looks are counted, not time,
 * so that a process that stood still reads what waits before it closes anything.
 */
const LOOK_MS = 2_500;
const LOOKS = 4;

/** What a listener tells its owner. */
export interface ListenerEvents {
  readonly receive: (channel: LineChannel, message: PeerMessage) => void;
  readonly close: (channel: LineChannel, reason: string) => void;
}

/** Accepts peers. */
export class PeerListener {
  /** Looks in a row at which a channel had said nothing. */
  private readonly idleLooks = new Map<LineChannel, number>();
  private readonly server: Server;
  private timer: NodeJS.Timeout | undefined;

  /**
   * @param events - what to tell
   * @param lookMs - between two looks at which channels have said something
   */
  constructor(
    private readonly events: ListenerEvents,
    private readonly lookMs = LOOK_MS,
  ) {
    this.server = createServer((socket) => this.accept(socket));
  }

  /** Starts to listen and returns the port. */
  async start(host: string, port: number): Promise<number> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, resolve);
    });
    this.timer = setInterval(() => this.look(), this.lookMs);
    return (this.server.address() as AddressInfo).port;
  }

  /** Ends all channels. */
  async stop(): Promise<void> {
    clearInterval(this.timer);
    const closed = new Promise<void>((resolve) => this.server.close(() => resolve()));
    for (const channel of this.idleLooks.keys()) channel.close('stopped');
    await closed;
  }

  private accept(socket: Socket): void {
    const channel: LineChannel = new LineChannel(socket, {
      receive: (message) => {
        clearTimeout(timer);
        this.idleLooks.set(channel, 0);
        this.events.receive(channel, message);
      },
      close: (reason) => {
        clearTimeout(timer);
        this.idleLooks.delete(channel);
        this.events.close(channel, reason);
      },
    });
    const timer = setTimeout(() => channel.close('no hello'), HELLO_TIMEOUT_MS);
    this.idleLooks.set(channel, 0);
  }

  private look(): void {
    for (const [channel, looks] of [...this.idleLooks]) {
      if (looks >= LOOKS) channel.close('idle');
      else this.idleLooks.set(channel, looks + 1);
    }
  }
}
