/** Keeps a channel to each of a changing set of addresses, dialing again when one breaks or goes silent. */
import { connect } from 'node:net';
import type { Socket } from 'node:net';

import type { Clock } from '../../_lib/Clock.js';
import { splitAddress } from '../splitAddress.js';
import { PongMonitor } from './PongMonitor.js';
import { LineChannel } from './LineChannel.js';
import type { PeerMessage } from './peerMessages.js';

/** How long one dial may take, ms: a cut link says nothing. */
const DIAL_TIMEOUT_MS = 500;
/** Shortest and longest pause between two dials, ms. */
const FIRST_RETRY_MS = 50;
const LAST_RETRY_MS = 800;

/** What a dialer tells its owner. */
export interface DialerEvents {
  readonly open: (address: string, channel: LineChannel) => void;
  readonly receive: (address: string, message: PeerMessage) => void;
  readonly close: (address: string, reason: string) => void;
}

interface DialedPeer {
  channel: LineChannel | undefined;
  socket: Socket | undefined;
  /** Echoes on the channels to it, one after another. */
  readonly echoes: PongMonitor;
  retryMs: number;
  timer: NodeJS.Timeout | undefined;
}

/** Dials peers. */
export class PeerDialer {
  private readonly peers = new Map<string, DialedPeer>();
  private stopped = false;

  /**
   * @param events - what to tell
   * @param clock - of this process
   * @param nextRandom - from 0 to 1
   * @param firstEchoMs - how long the first echo of a peer is waited for, ms
   */
  constructor(
    private readonly events: DialerEvents,
    private readonly clock: Clock,
    private readonly nextRandom: () => number,
    private readonly firstEchoMs: number,
  ) {}

  /** Addresses that are kept, linked or not. */
  get addresses(): string[] {
    return [...this.peers.keys()];
  }

  /** Starts to keep a channel to an address. */
  keep(address: string): void {
    if (this.peers.has(address) || this.stopped) return;
    const peer: DialedPeer = {
      channel: undefined,
      socket: undefined,
      echoes: new PongMonitor(this.firstEchoMs),
      retryMs: FIRST_RETRY_MS,
      timer: undefined,
    };
    this.peers.set(address, peer);
    this.dial(address, peer);
  }

  /** Ends the channel to an address and dials it at once: the peer may answer, though not on this connection. */
  renew(address: string, reason: string): void {
    const peer = this.peers.get(address);
    if (!peer?.channel) return;
    peer.retryMs = 0;
    peer.channel.close(reason);
  }

  /** A ping was sent on the channel to an address. */
  recordPing(address: string): void {
    this.peers.get(address)?.echoes.recordPing(this.clock.now());
  }

  /** The echo of a ping came that was sent `at`, our time in ms. */
  recordPong(address: string, at: number): void {
    this.peers.get(address)?.echoes.recordPong(this.clock.now() - at);
  }

  /** This process stood still: echoes may wait to be read. */
  handlePause(): void {
    const now = this.clock.now();
    for (const { echoes } of this.peers.values()) echoes.handlePause(now);
  }

  /** Dials those anew whose echo is overdue: an open connection may carry nothing any more while new ones work. */
  review(): void {
    const now = this.clock.now();
    for (const [address, peer] of this.peers) {
      // An echo that has already arrived is read before the connection is given up.
      if (peer.echoes.isOverdue(now)) setImmediate(() => this.renewSilent(address, peer));
    }
  }

  /** Ends the channel to an address and forgets it. */
  forget(address: string): void {
    const peer = this.peers.get(address);
    if (!peer) return;
    this.peers.delete(address);
    clearTimeout(peer.timer);
    peer.socket?.destroy();
    peer.channel?.close('forgotten');
  }

  /** Ends all channels. */
  stop(): void {
    this.stopped = true;
    for (const address of this.addresses) this.forget(address);
  }

  private renewSilent(address: string, peer: DialedPeer): void {
    if (this.peers.get(address) !== peer || !peer.echoes.isOverdue(this.clock.now())) return;
    peer.echoes.recordTimeout();
    this.renew(address, 'silent');
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
      noteBytes: () => peer.echoes.recordArrival(this.clock.now()),
      receive: (message) => this.events.receive(address, message),
      close: (reason) => {
        peer.channel = undefined;
        this.events.close(address, reason);
        if (this.peers.get(address) === peer) this.scheduleDial(address, peer);
      },
    });
    peer.channel = channel;
    peer.echoes.handleOpened();
    peer.retryMs = FIRST_RETRY_MS;
    this.events.open(address, channel);
  }

  private scheduleDial(address: string, peer: DialedPeer): void {
    if (this.stopped || this.peers.get(address) !== peer) return;
    const pause = peer.retryMs * (0.75 + 0.5 * this.nextRandom());
    peer.retryMs = Math.min(LAST_RETRY_MS, Math.max(FIRST_RETRY_MS, peer.retryMs * 2));
    peer.timer = setTimeout(() => this.dial(address, peer), pause);
  }
}
