import type { PeerMessage } from '../connection/peer/peerMessages.js';
import type { Configuration } from '../version/configuration.js';
import { NewestExchange } from './NewestExchange.js';

/** Newest configuration of one process. */
export class ConfigurationExchange extends NewestExchange<Configuration> {
  protected override readVersion({ version }: Configuration): number {
    return version;
  }

  protected override buildRequest(): PeerMessage {
    return { type: 'configuration-request' };
  }

  protected override buildNotice(configuration: Configuration): PeerMessage {
    return { type: 'configuration', configuration };
  }
}
