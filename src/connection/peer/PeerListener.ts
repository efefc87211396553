/** Accepts channels from peers and closes idle ones. */
import { createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';

import { LINK_LISTENER } from '../input/InputBudget.js';
import type { InputGuard } from '../input/InputGuard.js';
import { LineChannel } from './LineChannel.js';
import type { FaultDirection, MessageFault } from './MessageFault.js';
import type { PeerMessage } from './peerMessages.js';

/** Timeout for the first message on an accepted connection, ms. */
const HELLO_TIMEOUT_MS = 5_000;

/** Default interval of the checks for idle channels, ms. */
const IDLE_CHECK_INTERVAL_MS = 2_500;
/**
 * Number of consecutive checks without a message after which the next check closes a channel; peers send a
 * message at least every second. This releases the buffers, up to 8 MiB each, of connections whose FIN or RST
 * was lost. Checks are counted instead of elapsed time, so that a process resumed after a pause reads pending
 * messages before it closes a channel.
 */
const MAX_IDLE_CHECKS = 4;

/** Callbacks of a listener to its owner. */
export interface ListenerEvents {
  readonly receive: (channel: LineChannel, message: PeerMessage) => void;
  readonly close: (channel: LineChannel, reason: string) => void;
  /** Called for each part of a message that was left out or changed. */
  readonly recordFault?: (fault: MessageFault, direction: FaultDirection) => void;
}

/** Server for channels that peers dial. */
export class PeerListener {
  /** Number of consecutive checks without a message, by channel. */
  private readonly idleChecks = new Map<LineChannel, number>();
  private readonly server: Server;
  private timer: NodeJS.Timeout | undefined;

  /**
   * @param events - callbacks to the owner
   * @param guard - bounds what clients make the process keep
   * @param checkIntervalMs - interval of the checks for idle channels, ms
   */
  constructor(
    private readonly events: ListenerEvents,
    private readonly guard: InputGuard,
    private readonly checkIntervalMs = IDLE_CHECK_INTERVAL_MS,
  ) {
    this.server = createServer((socket) => this.accept(socket));
  }

  /** Starts to listen and returns the bound port. */
  async start(host: string, port: number): Promise<number> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, resolve);
    });
    this.timer = setInterval(() => this.closeIdle(), this.checkIntervalMs);
    return (this.server.address() as AddressInfo).port;
  }

  /** Stops listening and closes all channels. */
  async stop(): Promise<void> {
    clearInterval(this.timer);
    const closed = new Promise<void>((resolve) => this.server.close(() => resolve()));
    for (const channel of this.idleChecks.keys()) channel.close('stopped');
    await closed;
  }

  private accept(socket: Socket): void {
    const { budget, limits } = this.guard;
    const account = budget.open(LINK_LISTENER, limits.maxLinks, () => socket.destroy());
    if (!account) return;
    let isAdmitted = false;
    const channel: LineChannel = new LineChannel(
      socket,
      {
        receive: (message) => {
          clearTimeout(timer);
          if (!isAdmitted && !isHello(message)) return channel.close('no hello');
          if (!isAdmitted) account.setAdmitted(true);
          if (!channel.isOpen) return;
          isAdmitted = true;
          this.idleChecks.set(channel, 0);
          this.events.receive(channel, message);
        },
        recordFault: (fault, direction) => this.events.recordFault?.(fault, direction),
        close: (reason) => {
          clearTimeout(timer);
          this.idleChecks.delete(channel);
          this.events.close(channel, reason);
        },
      },
      account,
    );
    account.closeWith((reason) => channel.close(`input limit: ${reason}`));
    const timer = setTimeout(() => channel.close('no hello'), HELLO_TIMEOUT_MS);
    this.idleChecks.set(channel, 0);
  }

  private closeIdle(): void {
    for (const [channel, checks] of [...this.idleChecks]) {
      if (checks >= MAX_IDLE_CHECKS) channel.close('idle');
      else this.idleChecks.set(channel, checks + 1);
    }
  }
}

/** Whether a message announces its sender, as the first message on a link must. */
function isHello({ type }: PeerMessage): boolean {
  return type === 'agent-hello' || type === 'entry-hello';
}
