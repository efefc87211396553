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
  EntryWelcome,
  PeerMessage,
} from '../../connection/peer/peerMessages.js';
import { splitAddress } from '../../connection/splitAddress.js';
import type { LogFields } from '../logger.js';
import { OperatorExchange } from '../OperatorExchange.js';
import type { EmptiedDomains } from '../../version/emptiedDomains.js';
import type { AgentCore } from './AgentCore.js';
import { EntryDirectory } from './EntryDirectory.js';
import { RoomPacer } from './RoomPacer.js';

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
export interface EntryLinksOptions {
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

interface EntryLink {
  readonly address: string;
  readonly channel: LineChannel;
  /** When our hello was sent. */
  readonly openedAt: number;
  /** Life of the entry; empty until it has said so. */
  life: string;
  readonly pacer: RoomPacer;
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
export class EntryLinks {
  private readonly directory: EntryDirectory;
  private readonly dialer: PeerDialer;
  private readonly exchange: OperatorExchange;
  private readonly links = new Map<string, EntryLink>();
  /** Life of the entry last met at each address. */
  private readonly lives = new Map<string, string>();

  constructor(
    private readonly options: EntryLinksOptions,
    private readonly core: AgentCore,
    private readonly clock: Clock,
    private readonly log: (event: string, fields: LogFields) => void,
    nextRandom: () => number,
  ) {
    this.directory = new EntryDirectory(options.agent, options.maxLinks, options.smallFleet);
    const { linkMbps } = options;
    this.exchange = new OperatorExchange(
      {
        changeConfiguration: () => undefined,
        changeEmptied: (emptied) => this.noteEmptied(emptied),
        keepConfiguration: (version, before) => this.log('configuration-kept', { version, before }),
        noteServices: (version, services) => this.log('services-known', { version, services }),
        noteFault: (version, problem) => this.log('configuration-unavailable', { version, problem }),
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
  noteSeeds(seeds: readonly string[]): void {
    const { linkPort } = this.options;
    const addresses = seeds.map((seed) => `${splitAddress(seed).host}:${linkPort}`);
    this.directory.noteSeeds(addresses, this.clock.now());
    this.keep();
  }

  /** This process stood still. */
  notePause(): void {
    this.directory.notePause(this.clock.now());
    this.dialer.notePause();
  }

  /** Dials what is wanted, and gives up what is not wanted any more or says nothing. */
  keep(): void {
    const now = this.clock.now();
    this.dialer.review();
    const wanted = this.directory.chooseLinks(now);
    for (const address of wanted) this.dialer.keep(address);
    for (const address of this.dialer.addresses) this.review(address, wanted.has(address), now);
    this.keepHome(now);
  }

  /** Pings the entries whose newest ping is old, and dials those anew whose echo is overdue. */
  ping(): void {
    const now = this.clock.now();
    this.dialer.review();
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
      process.nextTick(() => this.tellRoom(link));
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
  scheduleRoom(): void {
    const now = this.clock.now();
    const due = [...this.links.values()].filter(
      ({ life, isWaiting }) => life !== '' && this.core.needsRoom(life, isWaiting),
    );
    for (const link of due) {
      const { life, pacer } = link;
      const isPart = this.core.hasPart(life);
      const waitMs = isPart ? pacer.findPartWait(now, due.length) : pacer.findWait(now, due.length);
      link.roomTimer ??= setTimeout(() => this.tellRoom(link), waitMs);
    }
  }

  /** Capacity has changed: tells it at once on all links, as entries count on what they were told. */
  tellCapacity(): void {
    for (const link of this.links.values()) if (link.life !== '') this.tellRoom(link);
  }

  /** Tells every entry which ones this agent has a working link to. */
  tellMembers(): void {
    const entries = this.directory.listAlive(this.clock.now());
    for (const { channel } of this.links.values()) channel.send({ type: 'members', entries });
  }

  /** Ends all links. */
  stop(): void {
    this.dialer.stop();
  }

  /** Keeps to the entry that is preferred while it answers and its link is wanted. */
  private keepHome(now: number): void {
    const links = [...this.links.values()].filter(
      ({ life, retiringSince }) => life !== '' && retiringSince === undefined,
    );
    const home = this.directory.chooseHome(
      links.map(({ address }) => address),
      now,
    );
    this.core.setHome(home === undefined ? '' : (this.links.get(home)?.life ?? ''));
  }

  private review(address: string, isWanted: boolean, now: number): void {
    const link = this.links.get(address);
    if (!link) {
      if (!isWanted) this.dialer.forget(address);
      return;
    }
    if (isWanted) return this.reviewWanted(link, now);
    if (link.retiringSince === undefined) return this.setRetiring(link, now);
    if (now - link.retiringSince < RETIRE_MS || this.core.countHeld(link.life) > 0) return;
    this.dialer.forget(address);
  }

  private reviewWanted(link: EntryLink, now: number): void {
    if (link.retiringSince !== undefined) this.setRetiring(link, undefined);
    if (link.life === '' && now - link.openedAt > SILENT_OPENING_MS)
      this.dialer.renew(link.address, 'silent');
  }

  private setRetiring(link: EntryLink, since: number | undefined): void {
    link.retiringSince = since;
    this.log('entry-retiring', { address: link.address, retiring: since !== undefined });
    if (link.life === '') return;
    this.core.setRetiring(link.life, since !== undefined);
    this.tellRoom(link);
  }

  private open(address: string, channel: LineChannel): void {
    this.links.set(address, {
      address,
      channel,
      openedAt: this.clock.now(),
      life: '',
      pacer: new RoomPacer(),
      echoMs: undefined,
      roomTimer: undefined,
      isRoomDue: false,
      isWaiting: false,
      pingedAt: -Infinity,
      retiringSince: undefined,
    });
    channel.send(this.core.buildHello(this.lives.get(address) ?? ''));
  }

  private closeLink(address: string, reason: string): void {
    const link = this.links.get(address);
    clearTimeout(link?.roomTimer);
    this.links.delete(address);
    if (link) this.exchange.noteClosed(link.channel);
    const life = link?.life ?? '';
    const silentMs = Math.round(this.directory.findSilence(address, this.clock.now()));
    this.log('entry-unlinked', { address, life, reason, silentMs, held: this.core.countHeld(life) });
  }

  private receive(address: string, message: PeerMessage): void {
    const link = this.links.get(address);
    if (!link) return;
    const now = this.clock.now();
    if (message.type === 'entry-welcome') return this.noteWelcome(link, message, now);
    if (message.type === 'members') return this.directory.noteMembers(message.entries, now);
    if (this.exchange.receive(message, link.channel)) return;
    if (link.life === '') return;
    if (message.type === 'start') return this.core.handleStart(link.life, message);
    if (message.type === 'stop') return this.core.handleStop(link.life, message);
    if (message.type === 'demand') return this.noteDemand(link, message);
    if (message.type !== 'pong') return;
    link.isWaiting = message.isWaiting;
    this.directory.noteAlive(address, now);
    link.echoMs = Math.round(now - message.at);
    link.pacer.noteEcho(link.echoMs);
    this.dialer.noteEcho(address, message.at);
    this.core.noteEcho(link.life, message);
    this.exchange.compareVersions(message, link.channel, now);
  }

  private noteWelcome(link: EntryLink, { life, place }: EntryWelcome, now: number): void {
    const { address } = link;
    const before = this.lives.get(address);
    if (before !== undefined && before !== life) this.core.noteEntryReplaced(before);
    this.lives.set(address, life);
    link.life = life;
    this.log('entry-linked', { address, life, before });
    this.directory.noteMembers([{ ...place, address }], now);
    this.directory.noteAlive(address, now);
    this.core.noteWelcome(life, link.openedAt);
    if (link.retiringSince !== undefined) this.core.setRetiring(life, true);
    this.sendPing(link, now);
    this.tellMembers();
  }

  private noteEmptied({ domains, revision }: EmptiedDomains): void {
    const isEmptied = domains.includes(this.options.failureDomain);
    this.log('emptied-domains', { emptied: domains, revision, isEmptied });
    this.core.setEmptied(isEmptied);
  }

  private noteDemand(link: EntryLink, notice: DemandNotice): void {
    link.isWaiting = true;
    this.core.noteDemand(link.life, notice);
    this.tellRoom(link);
  }

  private tellRoom(link: EntryLink): void {
    clearTimeout(link.roomTimer);
    link.roomTimer = undefined;
    link.isRoomDue = false;
    const now = this.clock.now();
    if (this.isPingDue(link, now)) return this.sendPing(link, now);
    const room = this.core.takeRoomChange(link.life);
    if (!room) return;
    link.pacer.noteTold(now);
    link.channel.send({ type: 'room', at: Math.floor(now), room });
  }

  private isPingDue(link: EntryLink, now: number): boolean {
    return this.isOlderPing(link, now, PING_DUE);
  }

  /** Whether the newest ping of a link is older than so many ping intervals. */
  private isOlderPing({ life, pingedAt }: EntryLink, now: number, intervals: number): boolean {
    return life !== '' && now - pingedAt >= this.options.pingMs * intervals;
  }

  /** A ping tells the room as well, so that it stands for a change of room that is due. */
  private sendPing(link: EntryLink, now: number): void {
    link.pingedAt = now;
    this.dialer.notePing(link.address);
    link.pacer.noteTold(now);
    const { version, emptiedRevision } = this.exchange.versions;
    const { echoMs } = link;
    link.channel.send({ ...this.core.buildPing(link.life, version), emptiedRevision, echoMs });
  }
}
