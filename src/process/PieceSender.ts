/**
 * Sends pieces of large messages to peers at a limited total rate, to limit the delay of other messages. At
 * most one piece is queued per peer; it is built when it is sent, so that it is up to date.
 */
import type { Timeline } from '../_lib/Timeline.js';
import type { PeerMessage } from '../connection/peer/peerMessages.js';
import type { PeerChannel } from './VersionExchange.js';
import type { PieceRateLimiter } from './PieceRateLimiter.js';

/** A message and the length that determines the interval to the next piece. */
export interface SizedMessage {
  readonly message: PeerMessage;
  /** Length of the encoded message, characters; may leave out its header. */
  readonly length: number;
}

/** Builds the message to send; returns undefined if there is none. */
export type PieceBuilder = () => SizedMessage | undefined;

/** Sends pieces to all peers, one at a time. */
export class PieceSender {
  /** Queued pieces for peers that cannot serve callers until they receive them; sent first. */
  private readonly urgent = new Map<PeerChannel, PieceBuilder>();
  /** Queued pieces for all other peers. */
  private readonly regular = new Map<PeerChannel, PieceBuilder>();
  /** Earliest time of the next piece, ms. */
  private nextSendAt = -Infinity;
  private isScheduled = false;

  constructor(
    private readonly rateLimiter: PieceRateLimiter,
    private readonly timeline: Timeline,
  ) {}

  /** Queues a piece for a peer, replacing its queued one. */
  add(channel: PeerChannel, isUrgent: boolean, build: PieceBuilder): void {
    this.drop(channel);
    (isUrgent ? this.urgent : this.regular).set(channel, build);
    this.sendDue();
  }

  /** Removes the queued piece of a peer. */
  drop(channel: PeerChannel): void {
    this.urgent.delete(channel);
    this.regular.delete(channel);
  }

  private sendDue(): void {
    const queue = this.urgent.size > 0 ? this.urgent : this.regular;
    const [next] = queue;
    if (!next || this.isScheduled) return;
    const now = this.timeline.now();
    if (now < this.nextSendAt) return this.schedule(this.nextSendAt - now);
    const [channel, build] = next;
    queue.delete(channel);
    const sized = build();
    if (sized) {
      this.nextSendAt = now + this.rateLimiter.computeIntervalMs(sized.length);
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
