/**
 * Holds the operators' state in one process: the newest configuration and the list of emptied failure
 * domains. Both are versioned and replicated over the links, so that a process without access to the store
 * receives them from any peer.
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
import type { PeerChannel } from './VersionExchange.js';

/** Source of an update. */
export type UpdateSource = 'store' | 'peer';

/** Handlers of updates. */
export interface OperatorEvents {
  readonly changeConfiguration: (configuration: Configuration, before: number, from: UpdateSource) => void;
  /** The list is newer than the previous one; it may contain the same domains. */
  readonly changeEmptied: (emptied: EmptiedDomains, from: UpdateSource) => void;
  /** A process that does not use the routes has stored a version, in order to forward it. */
  readonly recordConfiguration?: (version: number, before: number) => void;
  /** The services of a version are known. */
  readonly recordServices?: (version: number, count: number) => void;
  /** A configuration could not be fetched from a peer. */
  readonly recordFault?: (version: number, problem: string) => void;
}

/** Options of a process that uses the routes, on a fast link. */
const DEFAULT_OPTIONS: ExchangeOptions = {
  usesRoutes: true,
  linkMbps: 1_000,
  timeline: new ClockTimeline(new SteadyClock()),
  nextRandom: () => 0.5,
};

/** Versions that both sides of a link report. */
export interface ReportedVersions {
  /** Version of the configuration; -1 for none. */
  readonly version: number;
  /**
   * Revision of the list of emptied failure domains; -1 for none; undefined for peers of earlier versions.
   */
  readonly emptiedRevision?: number | undefined;
}

/** Newest operators' state of one process. */
export class OperatorExchange {
  private readonly configurations: ConfigurationExchange;
  private readonly domains = new DomainExchange();

  constructor(
    private readonly events: OperatorEvents,
    options: ExchangeOptions = DEFAULT_OPTIONS,
  ) {
    this.configurations = new ConfigurationExchange(options, {
      handleAdopted: (version, before) => this.handleAdopted(version, before),
      recordServices: (version, count) => this.events.recordServices?.(version, count),
      recordFault: (version, problem) => this.events.recordFault?.(version, problem),
    });
  }

  /**
   * The configuration in force; undefined until the list of emptied failure domains is known, since no task
   * may be started before.
   */
  get configuration(): Configuration | undefined {
    return this.domains.newest && this.configurations.newest;
  }

  /** Services of the newest known configuration, complete or not; undefined before the first. */
  get services(): ReadonlySet<string> | undefined {
    return this.configurations.services;
  }

  /** Emptied failure domains, undefined until they are known. */
  get emptied(): EmptiedDomains | undefined {
    return this.domains.newest;
  }

  /** Versions to report with a ping or pong. */
  get versions(): Required<ReportedVersions> {
    return { version: this.configurations.version, emptiedRevision: this.domains.version };
  }

  /** Adopts a configuration if it is newer than the held one. */
  adoptConfiguration(configuration: Configuration, from: UpdateSource): void {
    const before = this.configurations.version;
    if (!this.configurations.adopt(configuration)) return;
    if (this.configurations.newest) this.events.changeConfiguration(configuration, before, from);
    else this.events.recordConfiguration?.(configuration.version, before);
  }

  /** Adopts a list of emptied failure domains if it is newer than the held one. */
  adoptEmptied(emptied: EmptiedDomains, from: UpdateSource): void {
    if (this.domains.adopt(emptied)) this.events.changeEmptied(emptied, from);
  }

  /** Applies a change of one failure domain; ignored before the first complete list. */
  changeDomain(change: DomainChange, from: UpdateSource): void {
    const { newest } = this.domains;
    if (newest) this.adoptEmptied(applyDomainChange(newest, change), from);
  }

  /** Compares the versions reported by a peer, and requests what is newer. */
  compareVersions({ version, emptiedRevision }: ReportedVersions, channel: PeerChannel, now: number): void {
    this.configurations.compareVersion(version, channel, now);
    if (emptiedRevision !== undefined) this.domains.compareVersion(emptiedRevision, channel, now);
  }

  /** Handles a closed link. */
  handleClosed(channel: PeerChannel): void {
    this.configurations.handleClosed(channel);
  }

  /** Sends a peer the list of emptied failure domains and the summary of the configuration. */
  sendVersions(channel: PeerChannel): void {
    this.domains.sendNewest(channel);
    this.configurations.sendVersion(channel);
  }

  /**
   * Handles a message about the configuration or emptied failure domains.
   *
   * @returns false if the message is of another type
   */
  receive(message: PeerMessage, channel: PeerChannel): boolean {
    switch (message.type) {
      case 'configuration-request':
        this.configurations.handleRequest(message, channel);
        return true;
      case 'configuration-summary':
        this.configurations.handleSummary(message, channel);
        return true;
      case 'configuration-piece':
        this.configurations.handlePiece(message, channel);
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

  /** Reports a version received in pieces in the same way as one from the store. */
  private handleAdopted(version: number, before: number): void {
    const { newest } = this.configurations;
    if (newest) this.events.changeConfiguration(newest, before, 'peer');
    else this.events.recordConfiguration?.(version, before);
  }
}
