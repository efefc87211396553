/**
 * An agent's links to entries: dials those that the directory chooses, answers what comes on a link, paces what is told
 * on it, and gives up links that are not wanted any more or say nothing.
 */
import type { Clock } from '../../_lib/Clock.js';
import { ClockTimeline } from '../../_lib/Timeline.js';
import type { LineChannel } from '../../connection/peer/LineChannel.js';
import { PeerDialer } from '../../connection/peer/PeerDialer.js';
import type {
  AttemptResult,
  CrashNotice,
  DemandNotice,
  DispatcherWelcome,
  PeerMessage,
} from '../../connection/peer/peerMessages.js';
import { splitAddress } from '../../connection/splitAddress.js';
import type { LogFields } from '../logger.js';
import { OperatorExchange } from '../OperatorExchange.js';
import type { EmptiedDomains } from '../../version/emptiedDomains.js';
import type { Executor } from './Executor.js';
import { DispatcherDirectory } from './DispatcherDirectory.js';
import { CapacityReportLimiter } from './CapacityReportLimiter.js';

/** How long a link that is not wanted any more is kept at least, so that its entry has heard of it, ms. */
const RETIRE_MS = 600;
/**
 * Age of the newest ping, in ping intervals, from which on one is due; less than 1, as looks at it are some ms apart.
 */
const PING_DUE = 0.9;
/**
 * Age of the newest ping, in ping intervals, from which on a link is pinged along with one that is due: the echoes of all
 * links then come close together and wake the process once, which costs more than the messages.
 */
const TOGETHER = 0.5;
/**
 * A link whose entry has not said which life it is for so long is dialed anew, ms: the connection may have gone silent
 * as it opened. Longer than the second after which another entry is linked to in its place; a frozen peer costs one
 * connection in this time. Later silence is told by echoes.
 */
const SILENT_OPENING_MS = 1_500;
/**
 * How long the first echo of an entry is waited for, ms. What an entry has running here is stopped once its newest echo
 * is three pings old, and what it sends on a silent connection waits there; a new connection tells both sides what is
 * missing, so it is dialed before that: a ping comes every 170 ms where callers submit again after 1.3 s.
 */
const FIRST_ECHO_MS = 170;

/** Parameters of the links. */
export interface DispatcherLinksOptions {
  /** Process id of the agent. */
  readonly agent: string;
  readonly failureDomain: string;
  readonly maxLinks: number;
  /** Number of dispatchers up to which all are linked to. */
  readonly smallFleet: number;
  /** Port of the links between daemons, the same on every VM. */
  readonly linkPort: number;
  /** Time between two pings of a link, ms. */
  readonly pingMs: number;
  /** Bandwidth of the VM's link, Mbit/s. */
  readonly linkMbps: number;
}

interface DispatcherLink {
  readonly address: string;
  readonly channel: LineChannel;
  /** When our hello was sent. */
  readonly openedAt: number;
  /** Life of the entry; empty until it has said so. */
  life: string;
  readonly pacer: CapacityReportLimiter;
  /** Time that the newest echo took, ms; undefined before the first. */
  echoMs: number | undefined;
  roomTimer: NodeJS.Timeout | undefined;
  /** Whether the room is told at the end of this turn. */
  isRoomDue: boolean;
  /** Whether tasks wait at the entry. */
  isWaiting: boolean;
  pingedAt: number;
  /** Since when the link is not wanted; undefined while it is. */
  retiringSince: number | undefined;
}

/** Links of one agent. */
export class DispatcherLinks {
  private readonly directory: DispatcherDirectory;
  private readonly dialer: PeerDialer;
  private readonly exchange: OperatorExchange;
  private readonly links = new Map<string, DispatcherLink>();
  /** Life of the entry last met at each address. */
  private readonly incarnations = new Map<string, string>();

  constructor(
    private readonly options: DispatcherLinksOptions,
    private readonly core: Executor,
    private readonly clock: Clock,
    private readonly log: (event: string, fields: LogFields) => void,
    nextRandom: () => number,
  ) {
    this.directory = new DispatcherDirectory(options.agent, options.maxLinks, options.smallFleet);
    const { linkMbps } = options;
    this.exchange = new OperatorExchange(
      {
        changeConfiguration: () => undefined,
        changeEmptied: (emptied) => this.handleEmptied(emptied),
        keepConfiguration: (version, before) => this.log('configuration-kept', { version, before }),
        recordServices: (version, services) => this.log('services-known', { version, services }),
        recordFault: (version, problem) => this.log('configuration-unavailable', { version, problem }),
      },
      { usesRoutes: false, linkMbps, timeline: new ClockTimeline(clock), nextRandom },
    );
    const events = {
      open: (address: string, channel: LineChannel) => this.open(address, channel),
      receive: (address: string, message: PeerMessage) => this.receive(address, message),
      close: (address: string, reason: string) => this.closeLink(address, reason),
    };
    this.dialer = new PeerDialer(events, clock, nextRandom, FIRST_ECHO_MS);
  }

  /** Services of the newest configuration; undefined while none is known. */
  get services(): ReadonlySet<string> | undefined {
    return this.exchange.services;
  }

  /** Version of the configuration that is kept here for dispatchers; -1 for none. */
  get keptVersion(): number {
    return this.exchange.versions.version;
  }

  /** Takes the VMs that the settings name, `host:port`; only the host is used. */
  recordSeeds(seeds: readonly string[]): void {
    const { linkPort } = this.options;
    const addresses = seeds.map((seed) => `${splitAddress(seed).host}:${linkPort}`);
    this.directory.recordSeeds(addresses, this.clock.now());
    this.keep();
  }

  /** This process stood still. */
  handlePause(): void {
    this.directory.handlePause(this.clock.now());
    this.dialer.handlePause();
  }

  /** Dials what is wanted, and gives up what is not wanted any more or says nothing. */
  keep(): void {
    const now = this.clock.now();
    this.dialer.checkPongs();
    const wanted = this.directory.chooseLinks(now);
    for (const address of wanted) this.dialer.add(address);
    for (const address of this.dialer.addresses) this.review(address, wanted.has(address), now);
    this.updatePreferred(now);
  }

  /** Pings the entries whose newest ping is old, and dials those anew whose echo is overdue. */
  ping(): void {
    const now = this.clock.now();
    this.dialer.checkPongs();
    const links = [...this.links.values()];
    if (!links.some((link) => this.isPingDue(link, now))) return;
    for (const link of links) if (this.isOlderPing(link, now, TOGETHER)) this.sendPing(link, now);
  }

  /** Sends a result to the entry's link, if it has one, and the room with all results of this turn. */
  sendResult(life: string, result: AttemptResult): void {
    for (const link of this.links.values()) {
      if (link.life !== life) continue;
      link.channel.send(result);
      if (link.isRoomDue) return;
      link.isRoomDue = true;
      process.nextTick(() => this.sendCapacityChange(link));
    }
  }

  /** Sends crashes to an entry's link, if it has one. */
  sendCrashes(life: string, notice: CrashNotice): void {
    for (const link of this.links.values()) if (link.life === life) link.channel.send(notice);
  }

  /**
   * Room has changed: tells it in its pace on the links of entries at which tasks wait, or that were told too much. The
   * others hear of it with the next ping; they have room enough for what comes to them until then, or begin to wait and
   * say so.
   */
  scheduleCapacityReports(): void {
    const now = this.clock.now();
    const due = [...this.links.values()].filter(
      ({ life, isWaiting }) => life !== '' && this.core.needsCapacity(life, isWaiting),
    );
    for (const link of due) {
      const { life, pacer } = link;
      const isPart = this.core.hasShare(life);
      const waitMs = isPart ? pacer.findShareWait(now, due.length) : pacer.findWait(now, due.length);
      link.roomTimer ??= setTimeout(() => this.sendCapacityChange(link), waitMs);
    }
  }

  /** Capacity has changed: tells it at once on all links, as entries count on what they were told. */
  sendCapacity(): void {
    for (const link of this.links.values()) if (link.life !== '') this.sendCapacityChange(link);
  }

  /** Tells every entry which ones this agent has a working link to. */
  sendMembers(): void {
    const entries = this.directory.listAlive(this.clock.now());
    for (const { channel } of this.links.values()) channel.send({ type: 'members', entries });
  }

  /** Ends all links. */
  stop(): void {
    this.dialer.stop();
  }

  /** Keeps to the entry that is preferred while it answers and its link is wanted. */
  private updatePreferred(now: number): void {
    const links = [...this.links.values()].filter(
      ({ life, retiringSince }) => life !== '' && retiringSince === undefined,
    );
    const home = this.directory.choosePreferred(
      links.map(({ address }) => address),
      now,
    );
    this.core.setPreferred(home === undefined ? '' : (this.links.get(home)?.life ?? ''));
  }

  private review(address: string, isWanted: boolean, now: number): void {
    const link = this.links.get(address);
    if (!link) {
      if (!isWanted) this.dialer.remove(address);
      return;
    }
    if (isWanted) return this.reviewWanted(link, now);
    if (link.retiringSince === undefined) return this.setRetiring(link, now);
    if (now - link.retiringSince < RETIRE_MS || this.core.countHeld(link.life) > 0) return;
    this.dialer.remove(address);
  }

  private reviewWanted(link: DispatcherLink, now: number): void {
    if (link.retiringSince !== undefined) this.setRetiring(link, undefined);
    if (link.life === '' && now - link.openedAt > SILENT_OPENING_MS)
      this.dialer.reconnect(link.address, 'silent');
  }

  private setRetiring(link: DispatcherLink, since: number | undefined): void {
    link.retiringSince = since;
    this.log('entry-retiring', { address: link.address, retiring: since !== undefined });
    if (link.life === '') return;
    this.core.setRetiring(link.life, since !== undefined);
    this.sendCapacityChange(link);
  }

  private open(address: string, channel: LineChannel): void {
    this.links.set(address, {
      address,
      channel,
      openedAt: this.clock.now(),
      life: '',
      pacer: new CapacityReportLimiter(),
      echoMs: undefined,
      roomTimer: undefined,
      isRoomDue: false,
      isWaiting: false,
      pingedAt: -Infinity,
      retiringSince: undefined,
    });
    channel.send(this.core.buildHello(this.incarnations.get(address) ?? ''));
  }

  private closeLink(address: string, reason: string): void {
    const link = this.links.get(address);
    clearTimeout(link?.roomTimer);
    this.links.delete(address);
    if (link) this.exchange.handleClosed(link.channel);
    const life = link?.life ?? '';
    const silentMs = Math.round(this.directory.findSilence(address, this.clock.now()));
    this.log('entry-unlinked', { address, life, reason, silentMs, held: this.core.countHeld(life) });
  }

  private receive(address: string, message: PeerMessage): void {
    const link = this.links.get(address);
    if (!link) return;
    const now = this.clock.now();
    if (message.type === 'entry-welcome') return this.handleWelcome(link, message, now);
    if (message.type === 'members') return this.directory.recordMembers(message.entries, now);
    if (this.exchange.receive(message, link.channel)) return;
    if (link.life === '') return;
    if (message.type === 'start') return this.core.handleStart(link.life, message);
    if (message.type === 'stop') return this.core.handleStop(link.life, message);
    if (message.type === 'demand') return this.handleDemand(link, message);
    if (message.type !== 'pong') return;
    link.isWaiting = message.isWaiting;
    this.directory.recordAlive(address, now);
    link.echoMs = Math.round(now - message.at);
    link.pacer.recordRoundTrip(link.echoMs);
    this.dialer.recordPong(address, message.at);
    this.core.handlePong(link.life, message);
    this.exchange.compareVersions(message, link.channel, now);
  }

  private handleWelcome(link: DispatcherLink, { life, place }: DispatcherWelcome, now: number): void {
    const { address } = link;
    const before = this.incarnations.get(address);
    if (before !== undefined && before !== life) this.core.handleDispatcherReplaced(before);
    this.incarnations.set(address, life);
    link.life = life;
    this.log('entry-linked', { address, life, before });
    this.directory.recordMembers([{ ...place, address }], now);
    this.directory.recordAlive(address, now);
    this.core.handleWelcome(life, link.openedAt);
    if (link.retiringSince !== undefined) this.core.setRetiring(life, true);
    this.sendPing(link, now);
    this.sendMembers();
  }

  private handleEmptied({ domains, revision }: EmptiedDomains): void {
    const isEmptied = domains.includes(this.options.failureDomain);
    this.log('emptied-domains', { emptied: domains, revision, isEmptied });
    this.core.setEmptied(isEmptied);
  }

  private handleDemand(link: DispatcherLink, notice: DemandNotice): void {
    link.isWaiting = true;
    this.core.handleDemand(link.life, notice);
    this.sendCapacityChange(link);
  }

  private sendCapacityChange(link: DispatcherLink): void {
    clearTimeout(link.roomTimer);
    link.roomTimer = undefined;
    link.isRoomDue = false;
    const now = this.clock.now();
    if (this.isPingDue(link, now)) return this.sendPing(link, now);
    const room = this.core.takeCapacityChange(link.life);
    if (!room) return;
    link.pacer.recordReport(now);
    link.channel.send({ type: 'room', at: Math.floor(now), room });
  }

  private isPingDue(link: DispatcherLink, now: number): boolean {
    return this.isOlderPing(link, now, PING_DUE);
  }

  /** Whether the newest ping of a link is older than so many ping intervals. */
  private isOlderPing({ life, pingedAt }: DispatcherLink, now: number, intervals: number): boolean {
    return life !== '' && now - pingedAt >= this.options.pingMs * intervals;
  }

  /** A ping tells the room as well, so that it stands for a change of room that is due. */
  private sendPing(link: DispatcherLink, now: number): void {
    link.pingedAt = now;
    this.dialer.recordPing(link.address);
    link.pacer.recordReport(now);
    const { version, emptiedRevision } = this.exchange.versions;
    const { echoMs } = link;
    link.channel.send({ ...this.core.buildPing(link.life, version), emptiedRevision, echoMs });
  }
}
