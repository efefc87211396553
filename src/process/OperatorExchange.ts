/**
 * What one process knows of the operators' word: the newest configuration, and which failure domains are emptied. Both
 * travel on the links between processes, each with a version of its own, so that a process without a path to the store
 * learns them from any peer.
 */
import type { PeerMessage } from '../connection/peer/peerMessages.js';
import type { Configuration } from '../version/configuration.js';
import { applyDomainChange } from '../version/emptiedDomains.js';
import type { DomainChange, EmptiedDomains } from '../version/emptiedDomains.js';
import { ConfigurationExchange } from './ConfigurationExchange.js';
import { DomainExchange } from './DomainExchange.js';
import type { PeerChannel } from './NewestExchange.js';

/** Where a process has the operators' word from. */
export type WordSource = 'store' | 'peer';

/** What the process does with what is new. */
export interface OperatorEvents {
  readonly changeConfiguration: (configuration: Configuration, before: number, from: WordSource) => void;
  /** The list is newer than the one before; it may name the same domains. */
  readonly changeEmptied: (emptied: EmptiedDomains, from: WordSource) => void;
}

/** Versions that both sides of a link tell. */
export interface ToldVersions {
  /** Of the configuration; -1 for none. */
  readonly version: number;
  /** Of the list of emptied failure domains; -1 for none. Processes of earlier versions tell none. */
  readonly emptiedRevision?: number | undefined;
}

/** The operators' word in one process. */
export class OperatorExchange {
  private readonly configurations = new ConfigurationExchange();
  private readonly domains = new DomainExchange();

  constructor(private readonly events: OperatorEvents) {}

  /**
   * The configuration in force; undefined until it is also known which failure domains are emptied, since nothing may
   * be started before.
   */
  get configuration(): Configuration | undefined {
    return this.domains.newest && this.configurations.newest;
  }

  /** Emptied failure domains, undefined until they are known. */
  get emptied(): EmptiedDomains | undefined {
    return this.domains.newest;
  }

  /** Versions to tell with a ping or an echo. */
  get versions(): Required<ToldVersions> {
    return { version: this.configurations.version, emptiedRevision: this.domains.version };
  }

  /** Takes a configuration, unless it is older than the one that is held. */
  adoptConfiguration(configuration: Configuration, from: WordSource): void {
    const before = this.configurations.version;
    if (this.configurations.adopt(configuration))
      this.events.changeConfiguration(configuration, before, from);
  }

  /** Takes a list of emptied failure domains, unless it is older than the one that is held. */
  adoptEmptied(emptied: EmptiedDomains, from: WordSource): void {
    if (this.domains.adopt(emptied)) this.events.changeEmptied(emptied, from);
  }

  /** Takes a record on one failure domain; before the first whole list it says too little. */
  changeDomain(change: DomainChange, from: WordSource): void {
    const { newest } = this.domains;
    if (newest) this.adoptEmptied(applyDomainChange(newest, change), from);
  }

  /** A peer has told its versions: asks for what is newer there. */
  compareVersions({ version, emptiedRevision }: ToldVersions, channel: PeerChannel, now: number): void {
    this.configurations.compareVersion(version, channel, now);
    if (emptiedRevision !== undefined) this.domains.compareVersion(emptiedRevision, channel, now);
  }

  /** Sends all that is known to a peer. */
  tell(channel: PeerChannel): void {
    this.domains.tell(channel);
    this.configurations.tell(channel);
  }

  /**
   * Takes a message about the operators' word.
   *
   * @returns false if the message is about something else
   */
  receive(message: PeerMessage, channel: PeerChannel): boolean {
    switch (message.type) {
      case 'configuration-request':
        this.configurations.tell(channel);
        return true;
      case 'emptied-request':
        this.domains.tell(channel);
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
}
