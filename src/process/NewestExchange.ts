/**
 * Keeps the newest version of something the operators write, and brings peers up to date: both sides of a link tell the
 * version they hold with each ping and echo, and the one that is behind asks for it. So a change crosses a link once,
 * and only where it is news.
 */
import type { PeerMessage } from '../connection/peer/peerMessages.js';

/** Time after which another peer is asked, ms. */
const ASK_AGAIN_MS = 150;

/** Version that a process tells which holds none. */
const NO_VERSION = -1;

/** Takes a message to one peer. */
export interface PeerChannel {
  send(message: PeerMessage): void;
}

/** Newest version that one process holds. */
export abstract class NewestExchange<Value> {
  private held: Value | undefined;
  private askedAt = -Infinity;

  protected abstract readVersion(value: Value): number;
  protected abstract buildRequest(): PeerMessage;
  protected abstract buildNotice(value: Value): PeerMessage;

  /** What is held; undefined before the first. */
  get newest(): Value | undefined {
    return this.held;
  }

  /** Its version; -1 before the first. */
  get version(): number {
    return this.held === undefined ? NO_VERSION : this.readVersion(this.held);
  }

  /**
   * Takes a version if it is newer: a process never goes back.
   *
   * @returns whether it is the newest now
   */
  adopt(value: Value): boolean {
    if (this.readVersion(value) <= this.version) return false;
    this.held = value;
    this.askedAt = -Infinity;
    return true;
  }

  /** A peer has told its version: asks for it if it is newer, unless another peer was asked just now. */
  compareVersion(version: number, channel: PeerChannel, now: number): void {
    if (version <= this.version || now - this.askedAt < ASK_AGAIN_MS) return;
    this.askedAt = now;
    channel.send(this.buildRequest());
  }

  /** Sends the newest version to a peer. */
  sendNewest(channel: PeerChannel): void {
    if (this.held !== undefined) channel.send(this.buildNotice(this.held));
  }
}
