/**
 * Fetches an encoded configuration in pieces, from one peer at a time; each piece is requested once the
 * previous one has arrived. When the peer is lost, the transfer continues from another one.
 */
import type { Timeline } from '../_lib/Timeline.js';
import type { ConfigurationPiece } from '../connection/peer/peerMessages.js';
import type { PeerChannel } from './VersionExchange.js';
import type { PieceRateLimiter } from './PieceRateLimiter.js';

/** Events of a receiver. */
export interface ReceiverEvents {
  /** The transfer has ended; the last piece came from this peer. The text may be invalid. */
  readonly finish: (version: number, text: string, channel: PeerChannel) => void;
  /** No piece has arrived from a peer within the timeout. */
  readonly handleStalled: (version: number, channel: PeerChannel) => void;
}

/** Options of a receiver. */
export interface ReceiverOptions {
  /** Whether peers serve its requests before others. */
  readonly isUrgent: boolean;
  /** Time without a piece after which another peer is used, ms. */
  readonly pieceTimeoutMs: number;
}

/** Longest accepted text, characters. */
const MAX_TEXT_LENGTH = 8 * 1024 * 1024;

/** Receives one configuration at a time. */
export class PieceReceiver {
  private wantedVersion = -1;
  private parts: string[] = [];
  private position = 0;
  /** Length of the whole text, characters; undefined before the first piece. */
  private length: number | undefined;
  private source: PeerChannel | undefined;
  private receivedAt = -Infinity;

  constructor(
    private readonly options: ReceiverOptions,
    private readonly rateLimiter: PieceRateLimiter,
    private readonly timeline: Timeline,
    private readonly events: ReceiverEvents,
  ) {}

  /** Discards the received pieces and sets the version to fetch; -1 for none. */
  setVersion(version: number): void {
    this.wantedVersion = version;
    this.source = undefined;
    this.clearParts();
  }

  /** Starts to fetch from a peer that has the version, unless another peer is sending pieces. */
  offer(channel: PeerChannel, now: number): void {
    if (this.wantedVersion < 0) return;
    if (this.source) {
      if (now - this.receivedAt <= this.options.pieceTimeoutMs) return;
      const stalled = this.source;
      this.source = undefined;
      this.events.handleStalled(this.wantedVersion, stalled);
      if (stalled === channel) return;
    }
    this.source = channel;
    this.receivedAt = now;
    this.askNext(channel);
  }

  /** Stops using a peer that is lost or no longer has the version. */
  drop(channel: PeerChannel): void {
    if (this.source === channel) this.source = undefined;
  }

  /** Handles a piece; unexpected and duplicate pieces are ignored. */
  receive({ version, position, length, text }: ConfigurationPiece, channel: PeerChannel): void {
    if (channel !== this.source || version !== this.wantedVersion || position !== this.position) return;
    this.receivedAt = this.timeline.now();
    if (this.length !== undefined && this.length !== length) return this.askFromStart(channel);
    this.length = length;
    const end = position + text.length;
    if (text === '' || end > length || length > MAX_TEXT_LENGTH) return this.end(channel);
    this.parts.push(text);
    this.position = end;
    if (end === length) return this.end(channel);
    this.timeline.schedule(this.rateLimiter.computeIntervalMs(text.length), () => {
      if (this.source === channel && this.wantedVersion === version && this.position === end)
        this.askNext(channel);
    });
  }

  /** Ends the transfer. After an invalid piece the text is truncated, which is detected on decoding. */
  private end(channel: PeerChannel): void {
    const text = this.parts.join('');
    this.source = undefined;
    this.clearParts();
    this.events.finish(this.wantedVersion, text, channel);
  }

  /** Restarts the transfer when a peer's text differs in length from that of the previous peer. */
  private askFromStart(channel: PeerChannel): void {
    this.clearParts();
    this.askNext(channel);
  }

  private clearParts(): void {
    this.parts = [];
    this.position = 0;
    this.length = undefined;
  }

  private askNext(channel: PeerChannel): void {
    const { position, wantedVersion: version } = this;
    const { isUrgent } = this.options;
    channel.send({
      type: 'configuration-request',
      version,
      position,
      length: this.rateLimiter.pieceLength,
      isUrgent,
    });
  }
}
