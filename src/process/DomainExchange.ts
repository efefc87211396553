import type { PeerMessage } from '../connection/peer/peerMessages.js';
import type { EmptiedDomains } from '../version/emptiedDomains.js';
import { VersionExchange } from './VersionExchange.js';

/** Holds the newest list of emptied failure domains and exchanges it with peers. */
export class DomainExchange extends VersionExchange<EmptiedDomains> {
  protected override readVersion({ revision }: EmptiedDomains): number {
    return revision;
  }

  protected override buildRequest(): PeerMessage {
    return { type: 'emptied-request' };
  }

  protected override buildNotice(emptied: EmptiedDomains): PeerMessage {
    return { type: 'emptied', emptied };
  }
}
