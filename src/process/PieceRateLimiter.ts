/** How large a piece of a large message may be, and how soon another one may follow, on a link of some bandwidth. */

/** Share of the link that pieces may take: the rest is for pings, starts and results. */
const LINK_SHARE = 0.2;
/** Time that one piece may take on the link, ms: what comes just behind it is late by as much. */
const PIECE_MS = 8;
/** Least and most characters of a piece: each costs a message, and the loops of both sides some time. */
const MIN_PIECE = 512;
const MAX_PIECE = 8_192;
/** Bytes of a piece beside its text. */
const HEAD_BYTES = 120;

/** Pace on one VM's link. */
export class PieceRateLimiter {
  private readonly bytesPerMs: number;

  /** @param linkMbps - of the VM's link, Mbit/s */
  constructor(linkMbps: number) {
    this.bytesPerMs = (linkMbps * 1_000) / 8;
  }

  /** Most characters of a piece. */
  get pieceLength(): number {
    return Math.min(MAX_PIECE, Math.max(MIN_PIECE, Math.floor(this.bytesPerMs * PIECE_MS) - HEAD_BYTES));
  }

  /** Time from one piece to the next, ms. */
  findMs(length: number): number {
    return (length + HEAD_BYTES) / (this.bytesPerMs * LINK_SHARE);
  }
}
