/**
 * Keeps the newest configuration of a process and brings peers up to date: both sides of a link tell the version they
 * hold with each ping and echo, and the one that is behind asks for it. So a change crosses a link once, and only where
 * it is news.
 */
import type { PeerMessage } from '../connection/peer/peerMessages.js';
import type { Configuration } from '../version/configuration.js';

/** Time after which another peer is asked, ms. */
const ASK_AGAIN_MS = 150;

/** Version that a process without a configuration tells. */
const NO_VERSION = -1;

/** Takes a message to one peer. */
export interface PeerChannel {
  send(message: PeerMessage): void;
}

/** Newest configuration of one process. */
export class ConfigurationExchange {
  private newest: Configuration | undefined;
  private askedAt = -Infinity;

  /** The newest configuration. */
  get configuration(): Configuration | undefined {
    return this.newest;
  }

  /** Its version; `NO_VERSION` before the first. */
  get version(): number {
    return this.newest?.version ?? NO_VERSION;
  }

  /**
   * Takes a configuration if it is newer: a process never goes back.
   *
   * @returns whether it is the newest now
   */
  adopt(configuration: Configuration): boolean {
    if (configuration.version <= this.version) return false;
    this.newest = configuration;
    this.askedAt = -Infinity;
    return true;
  }

  /** A peer has told its version: asks for it if it is newer, unless another peer was asked just now. */
  compareVersion(version: number, channel: PeerChannel, now: number): void {
    if (version <= this.version || now - this.askedAt < ASK_AGAIN_MS) return;
    this.askedAt = now;
    channel.send({ type: 'configuration-request' });
  }

  /** Sends the newest configuration to a peer. */
  tell(channel: PeerChannel): void {
    if (this.newest) channel.send({ type: 'configuration', configuration: this.newest });
  }
}
