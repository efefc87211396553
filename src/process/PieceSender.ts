/**
 * Sends pieces of large messages to peers at a limited total rate, so that they do not delay other messages.
 * Each peer has at most one pending request, and a piece is built only when it is sent, so that it is up to
 * date.
 */
import type { Timeline } from '../_lib/Timeline.js';
import type { PeerMessage } from '../connection/peer/peerMessages.js';
import type { PeerChannel } from './VersionExchange.js';
import type { PieceRateLimiter } from './PieceRateLimiter.js';

/** A message and its size. */
export interface SizedMessage {
  readonly message: PeerMessage;
  readonly bytes: number;
}

/** Builds the message to send; undefined for none. */
export type PieceBuilder = () => SizedMessage | undefined;

/** Sends pieces to all peers, one at a time. */
export class PieceSender {
  /** Requests of peers that cannot serve without the answer; they are handled first. */
  private readonly urgent = new Map<PeerChannel, PieceBuilder>();
  private readonly others = new Map<PeerChannel, PieceBuilder>();
  /** Earliest time of the next piece, ms. */
  private nextSendAt = -Infinity;
  private isScheduled = false;

  constructor(
    private readonly rateLimiter: PieceRateLimiter,
    private readonly timeline: Timeline,
  ) {}

  /** Queues a piece for a peer, replacing its pending request. */
  add(channel: PeerChannel, isUrgent: boolean, build: PieceBuilder): void {
    this.drop(channel);
    (isUrgent ? this.urgent : this.others).set(channel, build);
    this.sendDue();
  }

  /** Removes the pending request of a peer. */
  drop(channel: PeerChannel): void {
    this.urgent.delete(channel);
    this.others.delete(channel);
  }

  private sendDue(): void {
    const queue = this.urgent.size > 0 ? this.urgent : this.others;
    const [next] = queue;
    if (!next || this.isScheduled) return;
    const now = this.timeline.now();
    if (now < this.nextSendAt) return this.schedule(this.nextSendAt - now);
    const [channel, build] = next;
    queue.delete(channel);
    const sized = build();
    if (sized) {
      this.nextSendAt = now + this.rateLimiter.computeIntervalMs(sized.bytes);
      channel.send(sized.message);
    }
    this.sendDue();
  }

  private schedule(waitMs: number): void {
    this.isScheduled = true;
    this.timeline.schedule(waitMs, () => {
      this.isScheduled = false;
      this.sendDue();
    });
  }
}
