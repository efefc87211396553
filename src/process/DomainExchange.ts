import type { PeerMessage } from '../connection/peer/peerMessages.js';
import type { EmptiedDomains } from '../version/emptiedDomains.js';
import { NewestExchange } from './NewestExchange.js';

/** Newest list of emptied failure domains of one process. */
export class DomainExchange extends NewestExchange<EmptiedDomains> {
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
