/** TCP connection with one JSON message per line; the messages of an event loop turn are written together. */
import type { Socket } from 'node:net';

import { InvariantError } from '../../_lib/errors.js';
import { ByteCollector } from '../input/ByteCollector.js';
import type { InputAccount } from '../input/InputAccount.js';
import { encodePeerMessage, MAX_LINE_BYTES } from './encodePeerMessage.js';
import { listStarts, mergeStarts } from './mergeStarts.js';
import type { FaultDirection, MessageFault } from './MessageFault.js';
import { parsePeerMessage } from './parsePeerMessage.js';
import type { PeerMessage, WireMessage } from './peerMessages.js';

const LINE_BREAK = 0x0a;
/** Maximum number of bytes buffered for a peer that does not read. */
const MAX_UNSENT_BYTES = 8 * 1024 * 1024;

/** Callbacks of a channel to its owner. */
export interface ChannelEvents {
  readonly receive: (message: PeerMessage) => void;
  readonly close: (reason: string) => void;
  /** Called for all received data, also when no message is complete. */
  readonly receiveBytes?: () => void;
  /** Called for each part of a message that was left out or changed, before the rest is received. */
  readonly recordFault?: (fault: MessageFault, direction: FaultDirection) => void;
}

/** Sends and receives messages on a connection to a peer. */
export class LineChannel {
  private readonly incompleteLine: ByteCollector;
  private outgoing: PeerMessage[] = [];
  private closed = false;
  private sendsBatches = false;

  /**
   * @param socket - connection to the peer
   * @param events - callbacks to the owner
   * @param account - account of an accepted connection in the input budget
   */
  constructor(
    private readonly socket: Socket,
    private readonly events: ChannelEvents,
    private readonly account?: InputAccount,
  ) {
    this.incompleteLine = new ByteCollector(account);
    socket.setNoDelay(true);
    socket.on('data', (chunk: Buffer) => this.read(chunk));
    socket.on('error', (error: NodeJS.ErrnoException) => this.close(error.code ?? error.message));
    socket.on('end', () => this.close('ended'));
    socket.on('close', () => this.close('closed'));
  }

  /** Whether messages can still be sent. */
  get isOpen(): boolean {
    return !this.closed;
  }

  /** Merges the starts of a turn from now on; call it when the peer accepts batches of starts. */
  allowBatches(): void {
    this.sendsBatches = true;
  }

  /** Queues a message, which is written at the end of the turn. */
  send(message: PeerMessage): void {
    if (this.closed) return;
    if (this.outgoing.length === 0) setImmediate(() => this.flush());
    this.outgoing.push(message);
  }

  /** Writes the queued messages. */
  flush(): void {
    if (this.closed || this.outgoing.length === 0) return;
    const messages = this.sendsBatches ? mergeStarts(this.outgoing) : this.outgoing;
    this.outgoing = [];
    let text = '';
    for (const message of messages) text += this.encode(message);
    this.socket.write(text);
    if (this.socket.writableLength > MAX_UNSENT_BYTES) this.close('peer does not read');
  }

  /** Closes the connection immediately; the `close` callback is called once. */
  close(reason: string): void {
    if (this.closed) return;
    this.closed = true;
    this.incompleteLine.clear();
    this.account?.remove();
    this.socket.destroy();
    this.events.close(reason);
  }

  /** Encodes a message with its line break; empty for one that cannot be sent. */
  private encode(message: WireMessage): string {
    const { line, faults } = encodePeerMessage(message);
    for (const fault of faults) this.events.recordFault?.(fault, 'sent');
    return line === '' ? '' : `${line}\n`;
  }

  private read(chunk: Buffer): void {
    if (this.closed) return;
    this.events.receiveBytes?.();
    this.account?.recordInput(chunk.length, performance.now());
    const end = chunk.lastIndexOf(LINE_BREAK);
    if (end < 0) return this.keepIncomplete(chunk);
    const lines = this.takeText(chunk.subarray(0, end)).split('\n');
    this.keepIncomplete(chunk.subarray(end + 1));
    for (const line of lines) {
      if (this.closed) return;
      const { message, faults, problem } = parsePeerMessage(line);
      for (const fault of faults) this.events.recordFault?.(fault, 'received');
      if (message?.type === 'starts') for (const start of listStarts(message)) this.deliver(start);
      else if (message) this.deliver(message);
      else if (problem !== '') return this.close(problem);
    }
  }

  /** Takes the text of the incomplete line and what completes it. */
  private takeText(rest: Buffer): string {
    if (this.incompleteLine.length === 0) return rest.toString('utf8');
    this.incompleteLine.add(rest);
    return this.incompleteLine.take().toString('utf8');
  }

  private keepIncomplete(chunk: Buffer): void {
    this.incompleteLine.add(chunk);
    if (this.incompleteLine.length > MAX_LINE_BYTES) this.close('line too long');
  }

  /** Closes the channel when handling a message fails; only an InvariantError ends the process. */
  private deliver(message: PeerMessage): void {
    if (this.closed) return;
    try {
      this.events.receive(message);
    } catch (error) {
      if (error instanceof InvariantError) throw error;
      this.close(`failed to handle a ${message.type} message: ${String(error)}`);
    }
  }
}
