/**
 * Sends large messages to peers so that they never hold up others: pieces go over all links together at no more than a
 * share of what the VM's link carries, one peer after another. A peer has one order at a time, and a piece is built when
 * its turn comes, so that nothing old is sent.
 */
import type { Timeline } from '../_lib/Timeline.js';
import type { PeerMessage } from '../connection/peer/peerMessages.js';
import type { PeerChannel } from './NewestExchange.js';
import type { PieceRateLimiter } from './PieceRateLimiter.js';

/** A message and what it costs. */
export interface SizedMessage {
  readonly message: PeerMessage;
  readonly bytes: number;
}

/** Builds what a peer is sent when its turn comes; undefined for nothing. */
export type PieceBuilder = () => SizedMessage | undefined;

/** Paces what is sent to all peers. */
export class PieceSender {
  /** Orders of peers that cannot serve without what they ask for; they go first. */
  private readonly urgent = new Map<PeerChannel, PieceBuilder>();
  private readonly others = new Map<PeerChannel, PieceBuilder>();
  /** When the next piece may be sent, ms. */
  private freeAt = -Infinity;
  private isScheduled = false;

  constructor(
    private readonly pace: PieceRateLimiter,
    private readonly timeline: Timeline,
  ) {}

  /** Sends a piece to a peer when its turn comes, in place of what it waits for. */
  add(channel: PeerChannel, isUrgent: boolean, build: PieceBuilder): void {
    this.drop(channel);
    (isUrgent ? this.urgent : this.others).set(channel, build);
    this.sendDue();
  }

  /** A peer waits for nothing any more. */
  drop(channel: PeerChannel): void {
    this.urgent.delete(channel);
    this.others.delete(channel);
  }

  private sendDue(): void {
    const orders = this.urgent.size > 0 ? this.urgent : this.others;
    const [next] = orders;
    if (!next || this.isScheduled) return;
    const now = this.timeline.now();
    if (now < this.freeAt) return this.schedule(this.freeAt - now);
    const [channel, build] = next;
    orders.delete(channel);
    const sized = build();
    if (sized) {
      this.freeAt = now + this.pace.findMs(sized.bytes);
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
