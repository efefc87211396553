/**
 * Links of an executor to dispatchers: dials the dispatchers selected by the directory, handles their
 * messages, limits the rate of capacity reports, and closes links that are no longer wanted or have become
 * unresponsive.
 */
import type { Clock } from '../../_lib/Clock.js';
import { ClockTimeline } from '../../_lib/Timeline.js';
import type { LineChannel } from '../../connection/peer/LineChannel.js';
import type { FaultDirection, MessageFault } from '../../connection/peer/MessageFault.js';
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
import { CancellationExchange } from '../CancellationExchange.js';
import { CancelledJobs } from '../CancelledJobs.js';
import { MAX_MEMBERS_PER_MESSAGE } from '../MemberTable.js';
import { OperatorExchange } from '../OperatorExchange.js';
import type { EmptiedDomains } from '../../version/emptiedDomains.js';
import type { Executor } from './Executor.js';
import { DispatcherDirectory } from './DispatcherDirectory.js';
import { CapacityReportLimiter } from './CapacityReportLimiter.js';

/** Time for which an unwanted link stays open at least, so that its dispatcher receives the notice, ms. */
const MIN_RETIRING_MS = 600;
/**
 * Age of the newest ping, in ping intervals, at which the next one is due; below 1 to allow for the timer
 * interval.
 */
const PING_DUE_INTERVALS = 0.9;
/**
 * Age of the newest ping, in ping intervals, at which a link is pinged together with one that is due: pongs
 * that arrive together wake up the process only once, and a wake-up costs more than the messages.
 */
const BATCH_PING_INTERVALS = 0.5;
/**
 * Time to wait for the welcome message of a dispatcher before its link is dialed again, ms. It detects a
 * connection that is dead from the start; later, missing pongs do. Longer than the time after which an
 * unresponsive dispatcher is replaced, so that a frozen peer causes few connections.
 */
const WELCOME_TIMEOUT_MS = 1_500;
/**
 * Time to wait for the first pong, ms. An unresponsive connection has to be replaced before the dispatcher's
 * orphan timeout of three ping intervals stops its work: what was sent on it waits there, while both sides
 * reconcile their attempts on a new one. A ping interval is 170 ms where callers submit again after 1.3 s.
 */
const FIRST_PONG_TIMEOUT_MS = 170;

/** Options of the links. */
export interface DispatcherLinksOptions {
  /** Process id of the executor. */
  readonly executor: string;
  readonly failureDomain: string;
  readonly maxLinks: number;
  /** Number of dispatchers up to which all of them are linked. */
  readonly smallFleet: number;
  /** Port of the links, the same on every VM. */
  readonly linkPort: number;
  /** Ping interval of a link, ms. */
  readonly pingMs: number;
  /** Bandwidth of the VM's link, Mbit/s. */
  readonly linkMbps: number;
  /** How long a cancelled job is remembered, ms. */
  readonly cancelledMs: number;
}

/** Records of events on the links. */
export interface DispatcherLinkRecords {
  readonly log: (event: string, fields: LogFields) => void;
  readonly recordFault: (fault: MessageFault, direction: FaultDirection) => void;
}

interface DispatcherLink {
  readonly address: string;
  readonly channel: LineChannel;
  /** When the hello message was sent. */
  readonly openedAt: number;
  /** Incarnation of the dispatcher; empty until its welcome message arrives. */
  incarnation: string;
  readonly limiter: CapacityReportLimiter;
  /** Round-trip time of the newest pong, ms; undefined before the first. */
  roundTripMs: number | undefined;
  capacityTimer: NodeJS.Timeout | undefined;
  /** Whether the capacity is to be sent at the end of this turn of the event loop. */
  isCapacityDue: boolean;
  /** Whether tasks wait at the dispatcher. */
  isWaiting: boolean;
  pingedAt: number;
  /** Since when the link is unwanted; undefined while it is wanted. */
  retiringSince: number | undefined;
}

/** Links of one executor. */
export class DispatcherLinks {
  private readonly directory: DispatcherDirectory;
  private readonly dialer: PeerDialer;
  private readonly exchange: OperatorExchange;
  /** Cancelled jobs, kept for dispatchers that restart. */
  private readonly cancelled: CancelledJobs;
  private readonly cancellations: CancellationExchange;
  private readonly links = new Map<string, DispatcherLink>();
  /** Last known incarnation of the dispatcher at each address. */
  private readonly incarnations = new Map<string, string>();

  constructor(
    private readonly options: DispatcherLinksOptions,
    private readonly executor: Executor,
    private readonly clock: Clock,
    private readonly records: DispatcherLinkRecords,
    nextRandom: () => number,
  ) {
    this.directory = new DispatcherDirectory(options.executor, options.maxLinks, options.smallFleet);
    const { linkMbps } = options;
    const { log } = records;
    this.cancelled = new CancelledJobs(log, options.cancelledMs);
    this.cancellations = new CancellationExchange(this.cancelled, new ClockTimeline(clock), log);
    this.exchange = new OperatorExchange(
      {
        changeConfiguration: () => undefined,
        changeEmptied: (emptied) => this.handleEmptied(emptied),
        recordConfiguration: (version, before) => this.records.log('configuration-kept', { version, before }),
        recordServices: (version, services) => this.records.log('services-known', { version, services }),
        recordFault: (version, problem) =>
          this.records.log('configuration-unavailable', { version, problem }),
      },
      { usesRoutes: false, linkMbps, timeline: new ClockTimeline(clock), nextRandom },
    );
    const events = {
      open: (address: string, channel: LineChannel) => this.openLink(address, channel),
      receive: (address: string, message: PeerMessage) => this.receive(address, message),
      close: (address: string, reason: string) => this.closeLink(address, reason),
      recordFault: (address: string, fault: MessageFault, direction: FaultDirection) =>
        this.recordFault(address, fault, direction),
    };
    this.dialer = new PeerDialer(events, clock, nextRandom, FIRST_PONG_TIMEOUT_MS);
  }

  /** Services of the newest configuration; undefined while there is none. */
  get services(): ReadonlySet<string> | undefined {
    return this.exchange.services;
  }

  /** Version of the configuration that is stored here for dispatchers; -1 for none. */
  get keptVersion(): number {
    return this.exchange.versions.version;
  }

  /** Sets the seed VMs of the settings, `host:port`; only the host is used. */
  recordSeeds(seeds: readonly string[]): void {
    const { linkPort } = this.options;
    const addresses = seeds.map((seed) => `${splitAddress(seed).host}:${linkPort}`);
    this.directory.recordSeeds(addresses, this.clock.now());
    this.updateLinks();
  }

  /** Handles a pause of this process. */
  handlePause(): void {
    this.directory.handlePause(this.clock.now());
    this.dialer.handlePause();
  }

  /** Dials wanted dispatchers, and closes links that are unwanted or unresponsive. */
  updateLinks(): void {
    const now = this.clock.now();
    this.cancelled.tick(now);
    this.dialer.checkPongs();
    const wanted = this.directory.chooseLinks(now);
    for (const address of wanted) this.dialer.add(address);
    for (const address of this.dialer.addresses) this.updateLink(address, wanted.has(address), now);
    this.updatePreferred(now);
  }

  /** Sends the pings that are due, and dials dispatchers again whose pong is overdue. */
  sendDuePings(): void {
    const now = this.clock.now();
    this.dialer.checkPongs();
    const links = [...this.links.values()];
    if (!links.some((link) => this.isPingDue(link, now))) return;
    for (const link of links)
      if (this.isPingOlderThan(link, now, BATCH_PING_INTERVALS)) this.sendPing(link, now);
  }

  /**
   * Sends a result on the dispatcher's link, if it has one; the capacity follows all results of this turn.
   */
  sendResult(dispatcher: string, result: AttemptResult): void {
    for (const link of this.links.values()) {
      if (link.incarnation !== dispatcher) continue;
      link.channel.send(result);
      if (link.isCapacityDue) return;
      link.isCapacityDue = true;
      process.nextTick(() => this.sendCapacityChange(link));
    }
  }

  /** Sends crash notices on a dispatcher's link, if it has one. */
  sendCrashes(dispatcher: string, notice: CrashNotice): void {
    for (const link of this.links.values()) if (link.incarnation === dispatcher) link.channel.send(notice);
  }

  /**
   * Schedules reports of changed capacity, at a limited rate, to dispatchers at which tasks wait or whose
   * reported share is too large. The others get it with the next ping: they have enough capacity for their
   * tasks until then, or ask for it with a demand notice.
   */
  scheduleCapacityReports(): void {
    const now = this.clock.now();
    const due = [...this.links.values()].filter(
      ({ incarnation, isWaiting }) =>
        incarnation !== '' && this.executor.needsCapacity(incarnation, isWaiting),
    );
    for (const link of due) {
      const { incarnation, limiter } = link;
      const hasShare = this.executor.hasShare(incarnation);
      const waitMs = hasShare ? limiter.findShareWait(now, due.length) : limiter.findWait(now, due.length);
      link.capacityTimer ??= setTimeout(() => this.sendCapacityChange(link), waitMs);
    }
  }

  /** Sends a changed total capacity at once on all links, as dispatchers rely on the reported one. */
  sendCapacity(): void {
    for (const link of this.links.values()) if (link.incarnation !== '') this.sendCapacityChange(link);
  }

  /** Sends the list of dispatchers that this executor has a working link to, on all links. */
  sendMembers(): void {
    const entries = this.directory.listAlive(this.clock.now()).slice(0, MAX_MEMBERS_PER_MESSAGE);
    for (const { channel } of this.links.values()) channel.send({ type: 'members', entries });
  }

  /** Closes all links. */
  stop(): void {
    this.dialer.stop();
  }

  /** Selects the preferred dispatcher among the responsive ones on wanted links. */
  private updatePreferred(now: number): void {
    const links = [...this.links.values()].filter(
      ({ incarnation, retiringSince }) => incarnation !== '' && retiringSince === undefined,
    );
    const preferred = this.directory.choosePreferred(
      links.map(({ address }) => address),
      now,
    );
    this.executor.setPreferred(preferred === undefined ? '' : (this.links.get(preferred)?.incarnation ?? ''));
  }

  private updateLink(address: string, isWanted: boolean, now: number): void {
    const link = this.links.get(address);
    if (!link) {
      if (!isWanted) this.dialer.remove(address);
      return;
    }
    if (isWanted) return this.updateWantedLink(link, now);
    if (link.retiringSince === undefined) return this.setRetiring(link, now);
    if (now - link.retiringSince < MIN_RETIRING_MS || this.executor.countHeld(link.incarnation) > 0) return;
    this.dialer.remove(address);
  }

  private updateWantedLink(link: DispatcherLink, now: number): void {
    if (link.retiringSince !== undefined) this.setRetiring(link, undefined);
    if (link.incarnation === '' && now - link.openedAt > WELCOME_TIMEOUT_MS)
      this.dialer.reconnect(link.address, 'silent');
  }

  private setRetiring(link: DispatcherLink, since: number | undefined): void {
    link.retiringSince = since;
    this.records.log('entry-retiring', { address: link.address, retiring: since !== undefined });
    if (link.incarnation === '') return;
    this.executor.setRetiring(link.incarnation, since !== undefined);
    this.sendCapacityChange(link);
  }

  private openLink(address: string, channel: LineChannel): void {
    this.links.set(address, {
      address,
      channel,
      openedAt: this.clock.now(),
      incarnation: '',
      limiter: new CapacityReportLimiter(),
      roundTripMs: undefined,
      capacityTimer: undefined,
      isCapacityDue: false,
      isWaiting: false,
      pingedAt: -Infinity,
      retiringSince: undefined,
    });
    channel.send(this.executor.buildHello(this.incarnations.get(address) ?? ''));
  }

  private closeLink(address: string, reason: string): void {
    const link = this.links.get(address);
    clearTimeout(link?.capacityTimer);
    this.links.delete(address);
    if (link) this.exchange.handleClosed(link.channel);
    if (link) this.cancellations.close(link.channel);
    const incarnation = link?.incarnation ?? '';
    const unresponsiveMs = Math.round(this.directory.findUnresponsiveTime(address, this.clock.now()));
    this.records.log('entry-unlinked', {
      address,
      life: incarnation,
      reason,
      silentMs: unresponsiveMs,
      held: this.executor.countHeld(incarnation),
    });
  }

  /** Records a fault, and returns starts that could not be read. */
  private recordFault(address: string, fault: MessageFault, direction: FaultDirection): void {
    this.records.recordFault(fault, direction);
    const incarnation = this.links.get(address)?.incarnation ?? '';
    if (fault.starts && incarnation !== '') this.executor.handleUnreadableStarts(incarnation, fault);
  }

  private receive(address: string, message: PeerMessage): void {
    const link = this.links.get(address);
    if (!link) return;
    const now = this.clock.now();
    if (message.type === 'entry-welcome') return this.handleWelcome(link, message, now);
    if (message.type === 'members') return this.directory.recordMembers(message.entries, now);
    if (message.type === 'cancelled') return void this.cancellations.receive(message, link.channel);
    if (this.exchange.receive(message, link.channel)) return;
    if (link.incarnation === '') return;
    if (message.type === 'start') return this.executor.handleStart(link.incarnation, message);
    if (message.type === 'stop') return this.executor.handleStop(link.incarnation, message);
    if (message.type === 'demand') return this.handleDemand(link, message);
    if (message.type !== 'pong') return;
    link.isWaiting = message.isWaiting;
    this.directory.recordAlive(address, now);
    link.roundTripMs = Math.round(now - message.at);
    link.limiter.recordRoundTrip(link.roundTripMs);
    this.dialer.recordPong(address, message.at);
    this.executor.handlePong(link.incarnation, message);
    this.exchange.compareVersions(message, link.channel, now);
  }

  private handleWelcome(
    link: DispatcherLink,
    { life: incarnation, place, lagMs, earlierCapacity }: DispatcherWelcome,
    now: number,
  ): void {
    const { address } = link;
    const before = this.incarnations.get(address);
    if (before !== undefined && before !== incarnation) this.executor.handleDispatcherReplaced(before);
    this.incarnations.set(address, incarnation);
    link.incarnation = incarnation;
    this.records.log('entry-linked', { address, life: incarnation, before });
    this.directory.recordMembers([{ ...place, address }], now);
    this.directory.recordAlive(address, now);
    this.executor.handleWelcome(incarnation, link.openedAt, lagMs, earlierCapacity);
    if (link.retiringSince !== undefined) this.executor.setRetiring(incarnation, true);
    this.sendPing(link, now);
    this.sendMembers();
    this.cancellations.open(link.channel);
  }

  private handleEmptied({ domains, revision }: EmptiedDomains): void {
    const isEmptied = domains.includes(this.options.failureDomain);
    this.records.log('emptied-domains', { emptied: domains, revision, isEmptied });
    this.executor.setEmptied(isEmptied);
  }

  private handleDemand(link: DispatcherLink, notice: DemandNotice): void {
    link.isWaiting = true;
    this.executor.handleDemand(link.incarnation, notice);
    this.sendCapacityChange(link);
  }

  private sendCapacityChange(link: DispatcherLink): void {
    clearTimeout(link.capacityTimer);
    link.capacityTimer = undefined;
    link.isCapacityDue = false;
    const now = this.clock.now();
    if (this.isPingDue(link, now)) return this.sendPing(link, now);
    const capacity = this.executor.takeCapacityChange(link.incarnation);
    if (!capacity) return;
    link.limiter.recordReport(now);
    link.channel.send({ type: 'room', at: Math.floor(now), room: capacity });
  }

  private isPingDue(link: DispatcherLink, now: number): boolean {
    return this.isPingOlderThan(link, now, PING_DUE_INTERVALS);
  }

  /** Checks whether the newest ping of a link is at least the given number of ping intervals old. */
  private isPingOlderThan(
    { incarnation, pingedAt }: DispatcherLink,
    now: number,
    intervals: number,
  ): boolean {
    return incarnation !== '' && now - pingedAt >= this.options.pingMs * intervals;
  }

  /** Sends a ping, which includes any change of capacity. */
  private sendPing(link: DispatcherLink, now: number): void {
    link.pingedAt = now;
    this.dialer.recordPing(link.address);
    link.limiter.recordReport(now);
    const { version, emptiedRevision } = this.exchange.versions;
    const { roundTripMs } = link;
    link.channel.send({
      ...this.executor.buildPing(link.incarnation, version),
      emptiedRevision,
      echoMs: roundTripMs,
    });
  }
}
