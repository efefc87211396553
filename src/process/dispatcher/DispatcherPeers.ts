/**
 * Links that a dispatcher dials to other dispatchers to announce itself and to exchange members,
 * notices and configurations. Pings check that a link works and compare the configuration versions of both
 * sides.
 */
import type { Clock } from '../../_lib/Clock.js';
import type { LineChannel } from '../../connection/peer/LineChannel.js';
import type { FaultDirection, MessageFault } from '../../connection/peer/MessageFault.js';
import { PeerDialer } from '../../connection/peer/PeerDialer.js';
import type { DispatcherPlace, PeerMessage } from '../../connection/peer/peerMessages.js';
import { splitAddress } from '../../connection/splitAddress.js';
import type { LogFields } from '../logger.js';
import type { OperatorExchange } from '../OperatorExchange.js';
import { chooseNeighbours } from './chooseNeighbours.js';
import type { DispatcherNotices } from './DispatcherNotices.js';

/** Timeout of the first pong of another dispatcher, ms: a ping interval of these links. */
const FIRST_PONG_TIMEOUT_MS = 1_000;
/**
 * Number of working links that a dispatcher dials, if there are as many other dispatchers: where seeds are down,
 * neighbours take their place, so that what one dispatcher tells reaches all.
 */
const MIN_LINKS = 2;

/** Identity of the dispatcher that dials. */
export interface DispatcherPeersOptions {
  /** Process id of the dispatcher. */
  readonly id: string;
  readonly place: DispatcherPlace;
  /** Port of the links between daemons, the same on every VM. */
  readonly linkPort: number;
}

/** Handlers of received messages and of events on the links. */
export interface DispatcherPeersEvents {
  readonly recordMembers: (dispatchers: readonly DispatcherPlace[]) => void;
  /** What the dispatchers tell each other of their jobs. */
  readonly notices: Pick<DispatcherNotices, 'open' | 'close' | 'receive'>;
  readonly log: (event: string, fields: LogFields) => void;
  readonly recordFault: (fault: MessageFault, direction: FaultDirection) => void;
}

/** Links of one dispatcher to others. */
export class DispatcherPeers {
  private readonly dialer: PeerDialer;
  private readonly channels = new Map<string, LineChannel>();
  private readonly seeds = new Set<string>();

  constructor(
    private readonly options: DispatcherPeersOptions,
    private readonly exchange: OperatorExchange,
    private readonly clock: Clock,
    private readonly events: DispatcherPeersEvents,
    nextRandom: () => number,
  ) {
    const dialed = {
      open: (address: string, channel: LineChannel) => this.handleOpened(address, channel),
      receive: (address: string, message: PeerMessage) => this.receive(address, message),
      close: (address: string, reason: string) => this.handleClosed(address, reason),
      recordFault: (_address: string, fault: MessageFault, direction: FaultDirection) =>
        this.events.recordFault(fault, direction),
    };
    this.dialer = new PeerDialer(dialed, clock, nextRandom, FIRST_PONG_TIMEOUT_MS);
  }

  /**
   * Dials the dispatchers that the settings list as `host:port`; only the host is used. Executors learn of
   * this dispatcher from them.
   */
  recordSeeds(seeds: readonly string[]): void {
    const { linkPort, place } = this.options;
    for (const seed of seeds) {
      const address = `${splitAddress(seed).host}:${linkPort}`;
      if (address === place.address) continue;
      this.seeds.add(address);
      this.dialer.add(address);
    }
  }

  /** Links to neighbours while too few seeds are linked, and closes such links later. */
  updateMembers(members: readonly DispatcherPlace[]): void {
    const linkedSeeds = [...this.seeds].filter((address) => this.channels.has(address)).length;
    const others = members.map(({ address }) => address).filter((address) => !this.seeds.has(address));
    const isLinked = (address: string): boolean => this.channels.has(address);
    const { address: own } = this.options.place;
    const neighbours = chooseNeighbours(own, others, MIN_LINKS - linkedSeeds, isLinked);
    for (const address of neighbours) this.dialer.add(address);
    for (const address of this.dialer.addresses)
      if (!this.seeds.has(address) && !neighbours.has(address)) this.dialer.remove(address);
  }

  /** Pings all dispatchers, and redials those that are unresponsive. */
  ping(): void {
    this.dialer.checkPongs();
    const at = Math.floor(this.clock.now());
    const { versions } = this.exchange;
    for (const [address, channel] of this.channels) {
      channel.send({ type: 'ping', at, ...versions, room: undefined, progress: undefined });
      this.dialer.recordPing(address);
    }
  }

  /** Handles a pause of this process. */
  handlePause(): void {
    this.dialer.handlePause();
  }

  /** Closes all links. */
  stop(): void {
    this.dialer.stop();
  }

  private handleOpened(address: string, channel: LineChannel): void {
    const { id, place } = this.options;
    this.channels.set(address, channel);
    channel.send({ type: 'entry-hello', entry: id, place });
    this.exchange.sendVersions(channel);
    this.events.notices.open(channel);
  }

  private receive(address: string, message: PeerMessage): void {
    const channel = this.channels.get(address);
    if (!channel) return;
    if (this.exchange.receive(message, channel)) return;
    if (message.type === 'members') return this.events.recordMembers(message.entries);
    if (this.events.notices.receive(message, channel)) return;
    if (message.type !== 'pong') return;
    this.dialer.recordPong(address, message.at);
    this.exchange.compareVersions(message, channel, this.clock.now());
  }

  private handleClosed(address: string, reason: string): void {
    const channel = this.channels.get(address);
    if (channel) this.exchange.handleClosed(channel);
    if (channel) this.events.notices.close(channel);
    this.channels.delete(address);
    this.events.log('peer-unlinked', { address, reason });
  }
}
