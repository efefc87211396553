/** Limits the size and rate of the pieces of a large message by the bandwidth of the link. */

/** Share of the link's bandwidth for pieces; the rest is for pings, starts and results. */
const PIECES_LINK_SHARE = 0.2;
/** Longest transmission time of one piece, ms; a message behind it is delayed by as much. */
const MAX_PIECE_MS = 8;
/**
 * Shortest and longest piece, characters. Each piece costs a message, and time in the event loops of both
 * sides.
 */
const MIN_PIECE_LENGTH = 512;
const MAX_PIECE_LENGTH = 8_192;
/** Bytes of a piece besides its text. */
const HEADER_BYTES = 120;

/** Rate limiter for the pieces on one VM's link. */
export class PieceRateLimiter {
  private readonly bytesPerMs: number;

  /** @param linkMbps - bandwidth of the VM's link, Mbit/s */
  constructor(linkMbps: number) {
    this.bytesPerMs = (linkMbps * 1_000) / 8;
  }

  /** Longest piece on this link, characters. */
  get pieceLength(): number {
    return Math.min(
      MAX_PIECE_LENGTH,
      Math.max(MIN_PIECE_LENGTH, Math.floor(this.bytesPerMs * MAX_PIECE_MS) - HEADER_BYTES),
    );
  }

  /** Computes the interval from a piece of the given length to the next one, ms. */
  computeIntervalMs(length: number): number {
    return (length + HEADER_BYTES) / (this.bytesPerMs * PIECES_LINK_SHARE);
  }
}
