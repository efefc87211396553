/**
 * Fetches one packed configuration piece by piece: the next piece is asked for once the one before it has come, from one
 * peer at a time. What has come is kept when its peer is lost, and continued from another one.
 */
import type { Timeline } from '../_lib/Timeline.js';
import type { ConfigurationPiece } from '../connection/peer/peerMessages.js';
import type { PeerChannel } from './NewestExchange.js';
import type { PieceRateLimiter } from './PieceRateLimiter.js';

/** What a receiver tells its owner. */
export interface ReceiverEvents {
  /** All has come; the last piece is of this peer. */
  readonly finish: (version: number, text: string, channel: PeerChannel) => void;
  /** Nothing has come from a peer for too long. */
  readonly noteStalled: (version: number, channel: PeerChannel) => void;
}

/** How a receiver asks. */
export interface ReceiverOptions {
  /** Whether peers serve it before others. */
  readonly isUrgent: boolean;
  /** Time without a piece after which another peer is asked, ms. */
  readonly patienceMs: number;
}

/** Longest text that is taken, characters. */
const MAX_LENGTH = 8 * 1024 * 1024;

/** The one transfer to this process. */
export class PieceReceiver {
  private wanted = -1;
  private parts: string[] = [];
  private position = 0;
  /** Characters of the whole; undefined before the first piece. */
  private length: number | undefined;
  private source: PeerChannel | undefined;
  private heardAt = -Infinity;

  constructor(
    private readonly options: ReceiverOptions,
    private readonly pace: PieceRateLimiter,
    private readonly timeline: Timeline,
    private readonly events: ReceiverEvents,
  ) {}

  /** Gives up what has come, and fetches another version from now on; -1 for none. */
  replace(version: number): void {
    this.wanted = version;
    this.source = undefined;
    this.dropParts();
  }

  /** A peer has the version: asks it, unless pieces come from another one. */
  offer(channel: PeerChannel, now: number): void {
    if (this.wanted < 0) return;
    if (this.source) {
      if (now - this.heardAt <= this.options.patienceMs) return;
      const stalled = this.source;
      this.source = undefined;
      this.events.noteStalled(this.wanted, stalled);
      if (stalled === channel) return;
    }
    this.source = channel;
    this.heardAt = now;
    this.askNext(channel);
  }

  /** A peer is gone, or has the version no more. */
  drop(channel: PeerChannel): void {
    if (this.source === channel) this.source = undefined;
  }

  /** A piece has come. One that was not asked for, or asked for twice, is passed over. */
  receive({ version, position, length, text }: ConfigurationPiece, channel: PeerChannel): void {
    if (channel !== this.source || version !== this.wanted || position !== this.position) return;
    this.heardAt = this.timeline.now();
    if (this.length !== undefined && this.length !== length) return this.askFromStart(channel);
    this.length = length;
    const end = position + text.length;
    if (text === '' || end > length || length > MAX_LENGTH) return this.end(channel);
    this.parts.push(text);
    this.position = end;
    if (end === length) return this.end(channel);
    this.timeline.schedule(this.pace.findMs(text.length), () => {
      if (this.source === channel && this.wanted === version && this.position === end) this.askNext(channel);
    });
  }

  /** Hands over what has come; a text that is cut off or too long does not unpack. */
  private end(channel: PeerChannel): void {
    const text = this.parts.join('');
    this.source = undefined;
    this.dropParts();
    this.events.finish(this.wanted, text, channel);
  }

  /** The peer has packed the version in another way than the one before it. */
  private askFromStart(channel: PeerChannel): void {
    this.dropParts();
    this.askNext(channel);
  }

  private dropParts(): void {
    this.parts = [];
    this.position = 0;
    this.length = undefined;
  }

  private askNext(channel: PeerChannel): void {
    const { position, wanted: version } = this;
    const { isUrgent } = this.options;
    channel.send({
      type: 'configuration-request',
      version,
      position,
      length: this.pace.pieceLength,
      isUrgent,
    });
  }
}
