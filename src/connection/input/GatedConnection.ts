/**
 * An accepted connection whose input is passed on in pieces, under the input budget of the process. It stands
 * between the socket and the HTTP server, which would parse all that a socket has received in one go.
 */
import { Duplex } from 'node:stream';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

import type { InputAccount } from './InputAccount.js';
import type { InputSource, InputTurns } from './InputTurns.js';

/** Largest input that is passed on as it was read while the turn has time, bytes; most requests fit in it. */
const DIRECT_BYTES = 4_096;
/** Pieces in which other input is passed on, bytes; each may hold dozens of requests. */
const PIECE_BYTES = 1_024;
/** Memory of pending input above which the socket is read no further, bytes. */
const MAX_PENDING_BYTES = 65_536;
/** Memory of a pending chunk besides its bytes, bytes; a client may have each byte arrive by itself. */
const CHUNK_BYTES = 512;
/** Input that a socket may have read already when it is told to read no further, bytes. */
const READ_AHEAD_BYTES = 65_536;
/** Requests of a connection that are handled at the same time; the input of further ones waits. */
const MAX_OPEN_REQUESTS = 1;
/** Memory of a request that waits for its turn to be answered, bytes. */
const REQUEST_BYTES = 4_096;
/** Memory of each byte of an incomplete header, in which each short line is kept as texts of its own. */
const HEADER_FACTOR = 10;
/** Memory of a field name or value of a header besides its text, bytes. */
const HEADER_TEXT_BYTES = 48;
/** Memory of a usual header, which counts as a part of its connection, bytes. */
const USUAL_HEADER_BYTES = 2_048;
/** Seconds after which a client that was refused may come back. */
const RETRY_AFTER_S = 1;

const REFUSAL_BODY = '{"error":"too much unfinished input"}';
const REFUSAL = [
  'HTTP/1.1 503 Service Unavailable',
  'content-type: application/json',
  `content-length: ${REFUSAL_BODY.length}`,
  `retry-after: ${RETRY_AFTER_S}`,
  'connection: close',
  '',
  REFUSAL_BODY,
].join('\r\n');

/** Connection of a client of an HTTP server. */
export class GatedConnection extends Duplex implements InputSource {
  private readonly pending: Buffer[] = [];
  /** Memory of the pending chunks, bytes. */
  private pendingBytes = 0;
  /** Part of the first pending chunk that has been passed on, bytes. */
  private passedBytes = 0;
  /** Answers that are due, in their order, with the memory that each holds until it is sent, bytes. */
  private readonly openResponses = new Map<ServerResponse, number>();
  private admittedRequests = 0;
  /** Bytes passed on since the last request or body part was complete. */
  private unparsedBytes = 0;
  private unsentBytes = 0;
  private isRefused = false;
  private isReadingStopped = false;

  constructor(
    private readonly socket: Socket,
    readonly account: InputAccount,
    private readonly turns: InputTurns,
    private readonly now: () => number,
  ) {
    super({ decodeStrings: false });
    socket.on('data', (chunk: Buffer) => this.receive(chunk));
    socket.on('end', () => this.endInput());
    socket.on('error', (error) => this.destroy(error));
    socket.on('close', () => this.destroy());
    socket.on('timeout', () => this.emit('timeout'));
  }

  /** Address of the client, for the HTTP server. */
  get remoteAddress(): string | undefined {
    return this.socket.remoteAddress;
  }

  /** Sets the time without traffic after which the HTTP server closes the connection, ms. */
  setTimeout(timeoutMs: number): this {
    this.socket.setTimeout(timeoutMs);
    return this;
  }

  /** Closes the connection once all answers are sent, as the HTTP server asks for. */
  destroySoon(): void {
    if (this.writable) this.end();
    if (this.writableFinished) this.destroy();
    else this.once('finish', () => this.destroy());
  }

  /** Closes the connection, with a refusal if its only request is incomplete, so that nothing of it has been done. */
  refuse(): void {
    const [response] = this.openResponses.keys();
    const isIncomplete = response?.req.complete === false && !response.headersSent;
    this.isRefused = isIncomplete && this.openResponses.size === 1 && this.unsentBytes === 0;
    this.destroy();
  }

  /** Records a request of this connection until it is answered. */
  trackRequest(response: ServerResponse): void {
    const waitingBytes = this.openResponses.size > 0 ? REQUEST_BYTES : 0;
    const bytes = waitingBytes + estimateHeaderBytes(response.req);
    this.openResponses.set(response, bytes);
    this.setUnparsed(0);
    response.once('close', () => this.endRequest(response, bytes));
    this.account.hold(bytes);
  }

  /** Marks a request as admitted until it is answered, so that the limits of jobs count it. */
  admit(response: ServerResponse): void {
    this.admittedRequests += 1;
    this.account.setAdmitted(true);
    response.once('close', () => {
      this.admittedRequests -= 1;
      if (this.admittedRequests === 0) this.account.setAdmitted(false);
    });
  }

  /** Records that a part of a body has been read. */
  recordBodyPart(): void {
    if (this.unparsedBytes > 0) this.setUnparsed(0);
  }

  deliverNext(): boolean {
    if (this.pending.length === 0 || !this.canDeliver) return false;
    this.deliver(this.takePiece());
    if (this.pendingBytes < MAX_PENDING_BYTES) this.continueReading();
    return this.pending.length > 0 && this.canDeliver;
  }

  override resume(): this {
    super.resume();
    if (this.pending.length > 0) this.turns.add(this);
    return this;
  }

  /** Does nothing, as input is passed on as it comes. */
  override _read(): void {}

  override _write(
    chunk: Buffer | string,
    encoding: BufferEncoding,
    done: (error?: Error | null) => void,
  ): void {
    this.socket.write(chunk, encoding, (error) => this.endWrite(done, error));
    this.updateUnsent();
  }

  override _writev(
    chunks: { chunk: Buffer | string; encoding: BufferEncoding }[],
    done: (error?: Error | null) => void,
  ): void {
    this.socket.cork();
    const last = chunks.length - 1;
    chunks.forEach(({ chunk, encoding }, index) => {
      if (index < last) this.socket.write(chunk, encoding);
      else this.socket.write(chunk, encoding, (error) => this.endWrite(done, error));
    });
    this.socket.uncork();
    this.updateUnsent();
  }

  override _final(done: (error?: Error | null) => void): void {
    this.socket.end(() => done());
  }

  override _destroy(error: Error | null, done: (error?: Error | null) => void): void {
    this.account.remove();
    this.turns.remove(this);
    this.pending.length = 0;
    if (this.isRefused && this.socket.writable) {
      this.socket.write(REFUSAL);
      this.socket.destroySoon();
    } else this.socket.destroy();
    this.closeQueuedResponses();
    done(error);
  }

  private get canDeliver(): boolean {
    return !this.destroyed && !this.isPaused() && this.openResponses.size <= MAX_OPEN_REQUESTS;
  }

  private receive(chunk: Buffer): void {
    if (this.destroyed) return;
    this.account.recordInput(chunk.length, this.now());
    const isShort = this.pending.length === 0 && chunk.length <= DIRECT_BYTES;
    if (isShort && this.canDeliver && this.turns.take()) return this.deliver(chunk);
    this.pending.push(chunk);
    this.turns.add(this);
    this.holdPending(chunk.length + CHUNK_BYTES);
    if (this.pendingBytes >= MAX_PENDING_BYTES) this.stopReading();
  }

  private stopReading(): void {
    if (this.destroyed || this.isReadingStopped) return;
    // An unread end of the connection would keep the tasks of its job running.
    if (this.account.isAdmitted) return this.account.close('pipelined');
    this.isReadingStopped = true;
    this.socket.pause();
    this.account.hold(READ_AHEAD_BYTES);
  }

  private continueReading(): void {
    if (!this.isReadingStopped) return;
    this.isReadingStopped = false;
    this.account.hold(-READ_AHEAD_BYTES);
    this.socket.resume();
  }

  private deliver(piece: Buffer): void {
    this.setUnparsed(this.unparsedBytes + piece.length);
    if (!this.destroyed) this.push(piece);
  }

  /** Closes the responses behind the one that is being sent, which the HTTP server does not close. */
  private closeQueuedResponses(): void {
    for (const response of [...this.openResponses.keys()]) {
      if (response.socket !== null) continue;
      response.destroy();
      response.emit('close');
    }
  }

  /** Takes a piece of the pending input, which may be a part of a chunk or several chunks. */
  private takePiece(): Buffer {
    const parts: Buffer[] = [];
    let size = 0;
    for (let [chunk] = this.pending; chunk && size < PIECE_BYTES; [chunk] = this.pending) {
      const part = chunk.subarray(this.passedBytes, this.passedBytes + PIECE_BYTES - size);
      parts.push(part);
      size += part.length;
      this.passedBytes += part.length;
      if (this.passedBytes >= chunk.length) this.dropFirstChunk(chunk);
    }
    return parts.length === 1 && parts[0] ? parts[0] : Buffer.concat(parts);
  }

  private dropFirstChunk(chunk: Buffer): void {
    this.pending.shift();
    this.passedBytes = 0;
    this.holdPending(-chunk.length - CHUNK_BYTES);
  }

  private holdPending(bytes: number): void {
    this.pendingBytes += bytes;
    this.account.hold(bytes);
  }

  /** The client sends no more: input that is still pending can no longer be answered, since its request is dropped. */
  private endInput(): void {
    if (this.pending.length > 0) this.destroy();
    else this.push(null);
  }

  private endRequest(response: ServerResponse, bytes: number): void {
    this.openResponses.delete(response);
    this.account.hold(-bytes);
    if (this.pending.length > 0) this.turns.add(this);
  }

  private endWrite(done: (error?: Error | null) => void, error: Error | null | undefined): void {
    this.updateUnsent();
    done(error);
  }

  private updateUnsent(): void {
    const unsentBytes = this.socket.writableLength;
    if (unsentBytes === this.unsentBytes) return;
    this.account.hold(unsentBytes - this.unsentBytes);
    this.unsentBytes = unsentBytes;
  }

  private setUnparsed(bytes: number): void {
    this.account.hold((bytes - this.unparsedBytes) * HEADER_FACTOR);
    this.unparsedBytes = bytes;
  }
}

/** Estimates the memory of the header of a request beyond that of a usual one, bytes. */
function estimateHeaderBytes({ url = '', rawHeaders }: IncomingMessage): number {
  let bytes = url.length + rawHeaders.length * HEADER_TEXT_BYTES;
  for (const text of rawHeaders) bytes += text.length;
  return Math.max(0, bytes - USUAL_HEADER_BYTES);
}
