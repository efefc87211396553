/** Maintains a channel to each of a changing set of addresses and redials closed or unresponsive ones. */
import { connect } from 'node:net';
import type { Socket } from 'node:net';

import type { Clock } from '../../_lib/Clock.js';
import { splitAddress } from '../splitAddress.js';
import { PongMonitor } from './PongMonitor.js';
import { LineChannel } from './LineChannel.js';
import type { FaultDirection, MessageFault } from './MessageFault.js';
import type { PeerMessage } from './peerMessages.js';
import { RedialBackoff } from './RedialBackoff.js';

/** Timeout of a connection attempt, ms; an attempt across a partition gets no reply. */
const DIAL_TIMEOUT_MS = 500;

/** Callbacks of a dialer to its owner. */
export interface DialerEvents {
  readonly open: (address: string, channel: LineChannel) => void;
  readonly receive: (address: string, message: PeerMessage) => void;
  readonly close: (address: string, reason: string) => void;
  /** Called for each part of a message that was left out or changed. */
  readonly recordFault?: (address: string, fault: MessageFault, direction: FaultDirection) => void;
}

interface DialedPeer {
  channel: LineChannel | undefined;
  socket: Socket | undefined;
  /** Monitors the pongs of the peer over all its successive channels. */
  readonly pongs: PongMonitor;
  readonly backoff: RedialBackoff;
  /** Whether the next attempt follows at once. */
  isRedialedAtOnce: boolean;
  timer: NodeJS.Timeout | undefined;
}

/** Dials peers and redials them with exponential backoff. */
export class PeerDialer {
  private readonly peers = new Map<string, DialedPeer>();
  private stopped = false;

  /**
   * @param events - callbacks to the owner
   * @param clock - monotonic clock of this process
   * @param nextRandom - random numbers from 0 to 1, for the jitter
   * @param firstPongMs - timeout of the first pong of a peer, ms
   */
  constructor(
    private readonly events: DialerEvents,
    private readonly clock: Clock,
    private readonly nextRandom: () => number,
    private readonly firstPongMs: number,
  ) {}

  /** Addresses to which channels are maintained, connected or not. */
  get addresses(): string[] {
    return [...this.peers.keys()];
  }

  /** Starts to maintain a channel to an address. */
  add(address: string): void {
    if (this.peers.has(address) || this.stopped) return;
    const peer: DialedPeer = {
      channel: undefined,
      socket: undefined,
      pongs: new PongMonitor(this.firstPongMs),
      backoff: new RedialBackoff(),
      isRedialedAtOnce: false,
      timer: undefined,
    };
    this.peers.set(address, peer);
    this.dial(address, peer);
  }

  /**
   * Closes the channel to an address and redials it immediately: the connection may be dead although the peer
   * is not.
   */
  reconnect(address: string, reason: string): void {
    const peer = this.peers.get(address);
    if (!peer?.channel) return;
    peer.isRedialedAtOnce = true;
    peer.channel.close(reason);
  }

  /** Records a ping sent on the channel to an address. */
  recordPing(address: string): void {
    this.peers.get(address)?.pongs.recordPing(this.clock.now());
  }

  /** Records the pong to a ping that was sent `at`, on the clock of this process. */
  recordPong(address: string, at: number): void {
    this.peers.get(address)?.pongs.recordPong(this.clock.now() - at);
  }

  /**
   * Restarts the waits for pongs after this process was paused, since pongs may be received but not read yet.
   */
  handlePause(): void {
    const now = this.clock.now();
    for (const { pongs } of this.peers.values()) pongs.handlePause(now);
  }

  /**
   * Redials peers whose pong is overdue, since their connection may be dead although a new one would work.
   */
  checkPongs(): void {
    const now = this.clock.now();
    for (const [address, peer] of this.peers) {
      // Lets the event loop read a pong that has already arrived before the connection is closed.
      if (peer.pongs.isOverdue(now)) setImmediate(() => this.reconnectUnresponsive(address, peer));
    }
  }

  /** Closes the channel to an address and stops maintaining it. */
  remove(address: string): void {
    const peer = this.peers.get(address);
    if (!peer) return;
    this.peers.delete(address);
    clearTimeout(peer.timer);
    peer.socket?.destroy();
    peer.channel?.close('forgotten');
  }

  /** Closes all channels and stops redialing. */
  stop(): void {
    this.stopped = true;
    for (const address of this.addresses) this.remove(address);
  }

  private reconnectUnresponsive(address: string, peer: DialedPeer): void {
    if (this.peers.get(address) !== peer || !peer.pongs.isOverdue(this.clock.now())) return;
    peer.pongs.recordTimeout();
    this.reconnect(address, 'silent');
  }

  private dial(address: string, peer: DialedPeer): void {
    const socket = connect(splitAddress(address));
    peer.socket = socket;
    let settled = false;
    const settle = (): boolean => {
      if (settled) return false;
      settled = true;
      clearTimeout(timer);
      peer.socket = undefined;
      return true;
    };
    const fail = (): void => {
      if (!settle()) return;
      socket.destroy();
      peer.backoff.recordFailed();
      this.scheduleDial(address, peer);
    };
    const timer = setTimeout(fail, DIAL_TIMEOUT_MS);
    socket.on('error', fail);
    socket.once('close', fail);
    socket.once('connect', () => {
      if (settle()) this.open(address, peer, socket);
    });
  }

  private open(address: string, peer: DialedPeer, socket: Socket): void {
    if (this.peers.get(address) !== peer) return void socket.destroy();
    const channel = new LineChannel(socket, {
      receiveBytes: () => peer.pongs.recordArrival(this.clock.now()),
      receive: (message) => this.events.receive(address, message),
      recordFault: (fault, direction) => this.events.recordFault?.(address, fault, direction),
      close: (reason) => {
        peer.channel = undefined;
        this.events.close(address, reason);
        if (!peer.isRedialedAtOnce) peer.backoff.recordClosed(reason, this.clock.now());
        if (this.peers.get(address) === peer) this.scheduleDial(address, peer);
      },
    });
    peer.channel = channel;
    peer.pongs.handleOpened();
    peer.backoff.recordOpened(this.clock.now());
    this.events.open(address, channel);
  }

  private scheduleDial(address: string, peer: DialedPeer): void {
    if (this.stopped || this.peers.get(address) !== peer) return;
    const pauseMs = peer.isRedialedAtOnce ? 0 : peer.backoff.computePauseMs(this.nextRandom());
    peer.isRedialedAtOnce = false;
    peer.timer = setTimeout(() => this.dial(address, peer), pauseMs);
  }
}
