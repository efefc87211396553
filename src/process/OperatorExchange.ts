/**
 * What one process knows of the operators' word: the newest configuration, and which failure domains are emptied. Both
 * travel on the links between processes, each with a version of its own, so that a process without a path to the store
 * learns them from any peer.
 */
import type { PeerMessage } from '../connection/peer/peerMessages.js';
import type { Configuration } from '../version/configuration.js';
import { applyDomainChange } from '../version/emptiedDomains.js';
import type { DomainChange, EmptiedDomains } from '../version/emptiedDomains.js';
import { ClockTimeline } from '../_lib/Timeline.js';
import { SteadyClock } from '../_lib/Clock.js';
import { ConfigurationExchange } from './ConfigurationExchange.js';
import type { ExchangeOptions } from './ConfigurationExchange.js';
import { DomainExchange } from './DomainExchange.js';
import type { PeerChannel } from './NewestExchange.js';

/** Where a process has the operators' word from. */
export type UpdateSource = 'store' | 'peer';

/** What the process does with what is new. */
export interface OperatorEvents {
  readonly changeConfiguration: (configuration: Configuration, before: number, from: UpdateSource) => void;
  /** The list is newer than the one before; it may name the same domains. */
  readonly changeEmptied: (emptied: EmptiedDomains, from: UpdateSource) => void;
  /** A version has come whole to a process that keeps it only to pass it on. */
  readonly keepConfiguration?: (version: number, before: number) => void;
  /** The services of a version are known. */
  readonly recordServices?: (version: number, count: number) => void;
  /** A configuration could not be fetched from a peer. */
  readonly recordFault?: (version: number, problem: string) => void;
}

/** A process that uses the routes, on a link that pieces never fill. */
const DEFAULT_OPTIONS: ExchangeOptions = {
  usesRoutes: true,
  linkMbps: 1_000,
  timeline: new ClockTimeline(new SteadyClock()),
  nextRandom: () => 0.5,
};

/** Versions that both sides of a link tell. */
export interface ReportedVersions {
  /** Of the configuration; -1 for none. */
  readonly version: number;
  /** Of the list of emptied failure domains; -1 for none. Processes of earlier versions tell none. */
  readonly emptiedRevision?: number | undefined;
}

/** The operators' word in one process. */
export class OperatorExchange {
  private readonly configurations: ConfigurationExchange;
  private readonly domains = new DomainExchange();

  constructor(
    private readonly events: OperatorEvents,
    options: ExchangeOptions = DEFAULT_OPTIONS,
  ) {
    this.configurations = new ConfigurationExchange(options, {
      noteAdopted: (version, before) => this.noteAdopted(version, before),
      noteServices: (version, count) => this.events.recordServices?.(version, count),
      noteFault: (version, problem) => this.events.recordFault?.(version, problem),
    });
  }

  /**
   * The configuration in force; undefined until it is also known which failure domains are emptied, since nothing may
   * be started before.
   */
  get configuration(): Configuration | undefined {
    return this.domains.newest && this.configurations.newest;
  }

  /** Services of the newest configuration that is known, held whole or not; undefined before the first. */
  get services(): ReadonlySet<string> | undefined {
    return this.configurations.services;
  }

  /** Emptied failure domains, undefined until they are known. */
  get emptied(): EmptiedDomains | undefined {
    return this.domains.newest;
  }

  /** Versions to tell with a ping or an echo. */
  get versions(): Required<ReportedVersions> {
    return { version: this.configurations.version, emptiedRevision: this.domains.version };
  }

  /** Takes a configuration, unless it is older than the one that is held. */
  adoptConfiguration(configuration: Configuration, from: UpdateSource): void {
    const before = this.configurations.version;
    if (!this.configurations.adopt(configuration)) return;
    if (this.configurations.newest) this.events.changeConfiguration(configuration, before, from);
    else this.events.keepConfiguration?.(configuration.version, before);
  }

  /** Takes a list of emptied failure domains, unless it is older than the one that is held. */
  adoptEmptied(emptied: EmptiedDomains, from: UpdateSource): void {
    if (this.domains.adopt(emptied)) this.events.changeEmptied(emptied, from);
  }

  /** Takes a record on one failure domain; before the first whole list it says too little. */
  changeDomain(change: DomainChange, from: UpdateSource): void {
    const { newest } = this.domains;
    if (newest) this.adoptEmptied(applyDomainChange(newest, change), from);
  }

  /** A peer has told its versions: asks for what is newer there. */
  compareVersions({ version, emptiedRevision }: ReportedVersions, channel: PeerChannel, now: number): void {
    this.configurations.compareVersion(version, channel, now);
    if (emptiedRevision !== undefined) this.domains.compareVersion(emptiedRevision, channel, now);
  }

  /** A link is gone. */
  handleClosed(channel: PeerChannel): void {
    this.configurations.handleClosed(channel);
  }

  /** Tells a peer what is known: all emptied failure domains, and which configuration. */
  sendVersions(channel: PeerChannel): void {
    this.domains.sendNewest(channel);
    this.configurations.sendVersion(channel);
  }

  /**
   * Takes a message about the operators' word.
   *
   * @returns false if the message is about something else
   */
  receive(message: PeerMessage, channel: PeerChannel): boolean {
    switch (message.type) {
      case 'configuration-request':
        this.configurations.answer(message, channel);
        return true;
      case 'configuration-summary':
        this.configurations.takeSummary(message, channel);
        return true;
      case 'configuration-piece':
        this.configurations.takePiece(message, channel);
        return true;
      case 'emptied-request':
        this.domains.sendNewest(channel);
        return true;
      case 'configuration':
        this.adoptConfiguration(message.configuration, 'peer');
        return true;
      case 'emptied':
        this.adoptEmptied(message.emptied, 'peer');
        return true;
      default:
        return false;
    }
  }

  /** What has come in pieces is in force like what has come from the store. */
  private noteAdopted(version: number, before: number): void {
    const { newest } = this.configurations;
    if (newest) this.events.changeConfiguration(newest, before, 'peer');
    else this.events.keepConfiguration?.(version, before);
  }
}
