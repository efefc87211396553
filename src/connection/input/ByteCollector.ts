/**
 * Collects bytes in a few large blocks, whatever the size of the chunks in which they arrive: a chunk that is kept as
 * an object takes hundreds of bytes.
 */
import type { InputAccount } from './InputAccount.js';

/** Sizes of the first block and of the largest ones, bytes; each block is twice as large as the one before. */
const FIRST_BLOCK_BYTES = 1_024;
const MAX_BLOCK_BYTES = 65_536;

/** Collected bytes of one body or line. */
export class ByteCollector {
  private first: Buffer | undefined;
  private readonly blocks: Buffer[] = [];
  /** Free bytes at the end of the last block. */
  private freeBytes = 0;
  private size = 0;
  private charged = 0;

  /** @param account - account that holds the collected bytes; undefined for input of a trusted peer */
  constructor(private readonly account: InputAccount | undefined) {}

  /** Number of collected bytes. */
  get length(): number {
    return this.size;
  }

  /** Adds a chunk. */
  add(chunk: Buffer): void {
    if (chunk.length === 0) return;
    // A small part of a large buffer would keep all of it.
    if (this.size === 0 && chunk.length * 2 > chunk.buffer.byteLength) {
      this.first = chunk;
      this.size = chunk.length;
      return this.charge(chunk.buffer.byteLength);
    }
    const { first } = this;
    if (first) {
      this.first = undefined;
      this.size = 0;
      this.copy(first);
    }
    this.copy(chunk);
  }

  /** Takes all collected bytes, which the account no longer holds. */
  take(): Buffer {
    const bytes = this.first ?? this.join();
    this.clear();
    return bytes;
  }

  /** Drops all. */
  clear(): void {
    this.first = undefined;
    this.blocks.length = 0;
    this.freeBytes = 0;
    this.size = 0;
    this.account?.hold(-this.charged);
    this.charged = 0;
  }

  private join(): Buffer {
    const last = this.blocks.at(-1);
    if (!last) return Buffer.alloc(0);
    return Buffer.concat([...this.blocks.slice(0, -1), last.subarray(0, last.length - this.freeBytes)]);
  }

  private copy(chunk: Buffer): void {
    let at = 0;
    while (at < chunk.length) {
      if (this.freeBytes === 0) this.addBlock();
      const block = this.blocks.at(-1);
      // The budget may close the connection, which drops all.
      if (!block) return;
      const copied = chunk.copy(block, block.length - this.freeBytes, at);
      this.freeBytes -= copied;
      this.size += copied;
      at += copied;
    }
  }

  private addBlock(): void {
    const bytes = Math.min(FIRST_BLOCK_BYTES * 2 ** this.blocks.length, MAX_BLOCK_BYTES);
    this.blocks.push(Buffer.allocUnsafeSlow(bytes));
    this.freeBytes = bytes;
    this.charge(bytes);
  }

  private charge(bytes: number): void {
    this.charged += bytes;
    this.account?.hold(bytes);
  }
}
