/**
 * The links that an entry dials to other entries, to make itself known there and to bring configurations on. Pings tell
 * whether a link still carries anything, and which configuration each side holds.
 */
import type { Clock } from '../../_lib/Clock.js';
import type { LineChannel } from '../../connection/peer/LineChannel.js';
import { PeerDialer } from '../../connection/peer/PeerDialer.js';
import type {
  DispatcherPlace,
  PeerMessage,
  SuspectNotice,
  SuspectTask,
} from '../../connection/peer/peerMessages.js';
import { splitAddress } from '../../connection/splitAddress.js';
import type { LogFields } from '../logger.js';
import type { OperatorExchange } from '../OperatorExchange.js';

/** How long the first echo of another entry is waited for, ms: a ping interval of these links. */
const FIRST_ECHO_MS = 1_000;

/** Who dials. */
export interface DispatcherPeersOptions {
  /** Process id of the entry. */
  readonly id: string;
  readonly place: DispatcherPlace;
  /** Port of the links between daemons, the same on every VM. */
  readonly linkPort: number;
}

/** What the links tell their entry. */
export interface DispatcherPeersEvents {
  readonly recordMembers: (entries: readonly DispatcherPlace[]) => void;
  readonly recordSuspects: (tasks: readonly SuspectTask[]) => void;
  /** A link to another entry is open. */
  readonly sendFirstMessages: (channel: LineChannel) => void;
  readonly log: (event: string, fields: LogFields) => void;
}

/** Links of one entry to others. */
export class DispatcherPeers {
  private readonly dialer: PeerDialer;
  private readonly channels = new Map<string, LineChannel>();

  constructor(
    private readonly options: DispatcherPeersOptions,
    private readonly exchange: OperatorExchange,
    private readonly clock: Clock,
    private readonly events: DispatcherPeersEvents,
    nextRandom: () => number,
  ) {
    const dialed = {
      open: (address: string, channel: LineChannel) => this.greet(address, channel),
      receive: (address: string, message: PeerMessage) => this.receive(address, message),
      close: (address: string, reason: string) => this.noteClosed(address, reason),
    };
    this.dialer = new PeerDialer(dialed, clock, nextRandom, FIRST_ECHO_MS);
  }

  /** Dials the entries that the settings name, `host:port`; only the host is used. Agents learn of this one from them. */
  recordSeeds(seeds: readonly string[]): void {
    const { linkPort, place } = this.options;
    for (const seed of seeds) {
      const address = `${splitAddress(seed).host}:${linkPort}`;
      if (address !== place.address) this.dialer.add(address);
    }
  }

  /** Pings all, and dials those anew that have gone silent. */
  ping(): void {
    this.dialer.checkPongs();
    const at = Math.floor(this.clock.now());
    const { versions } = this.exchange;
    for (const [address, channel] of this.channels) {
      channel.send({ type: 'ping', at, ...versions, room: undefined, progress: undefined });
      this.dialer.recordPing(address);
    }
  }

  /** Tells all of tasks that may crash upstreams. */
  sendNotice(notice: SuspectNotice): void {
    for (const channel of this.channels.values()) channel.send(notice);
  }

  /** This process stood still. */
  handlePause(): void {
    this.dialer.handlePause();
  }

  /** Ends all links. */
  stop(): void {
    this.dialer.stop();
  }

  private greet(address: string, channel: LineChannel): void {
    const { id, place } = this.options;
    this.channels.set(address, channel);
    channel.send({ type: 'entry-hello', entry: id, place });
    this.exchange.sendVersions(channel);
    this.events.sendFirstMessages(channel);
  }

  private receive(address: string, message: PeerMessage): void {
    const channel = this.channels.get(address);
    if (!channel) return;
    if (this.exchange.receive(message, channel)) return;
    if (message.type === 'members') return this.events.recordMembers(message.entries);
    if (message.type === 'suspects') return this.events.recordSuspects(message.tasks);
    if (message.type !== 'pong') return;
    this.dialer.recordPong(address, message.at);
    this.exchange.compareVersions(message, channel, this.clock.now());
  }

  private noteClosed(address: string, reason: string): void {
    const channel = this.channels.get(address);
    if (channel) this.exchange.handleClosed(channel);
    this.channels.delete(address);
    this.events.log('peer-unlinked', { address, reason });
  }
}
