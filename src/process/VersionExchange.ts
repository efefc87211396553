/**
 * Replicates a versioned value between processes. Both sides of a link report their version with each ping
 * and pong, and the side that is behind requests the newer value, so that a change crosses a link only once.
 */
import type { PeerMessage } from '../connection/peer/peerMessages.js';

/** Shortest interval between two requests, ms. */
const REQUEST_RETRY_MS = 150;

/** Version reported by a process without a value. */
const NO_VERSION = -1;

/** Sends messages to one peer. */
export interface PeerChannel {
  send(message: PeerMessage): void;
  /** Writes what was sent, which otherwise is written at the end of the turn. */
  flush?(): void;
}

/** Holds the newest version of a value and exchanges it with peers. */
export abstract class VersionExchange<Value> {
  private held: Value | undefined;
  private requestedAt = -Infinity;

  protected abstract readVersion(value: Value): number;
  protected abstract buildRequest(): PeerMessage;
  protected abstract buildNotice(value: Value): PeerMessage;

  /** Newest value; undefined before the first. */
  get newest(): Value | undefined {
    return this.held;
  }

  /** Version of the newest value; -1 before the first. */
  get version(): number {
    return this.held === undefined ? NO_VERSION : this.readVersion(this.held);
  }

  /**
   * Adopts a value if it is newer than the held one.
   *
   * @returns whether it was adopted
   */
  adopt(value: Value): boolean {
    if (this.readVersion(value) <= this.version) return false;
    this.held = value;
    this.requestedAt = -Infinity;
    return true;
  }

  /**
   * Compares the version reported by a peer, and requests it if it is newer, unless a request was just sent.
   */
  compareVersion(version: number, channel: PeerChannel, now: number): void {
    if (version <= this.version || now - this.requestedAt < REQUEST_RETRY_MS) return;
    this.requestedAt = now;
    channel.send(this.buildRequest());
  }

  /** Sends the newest value to a peer. */
  sendNewest(channel: PeerChannel): void {
    if (this.held !== undefined) channel.send(this.buildNotice(this.held));
  }
}
