/** One TCP connection that carries a JSON message a line, written together once a turn. */
import type { Socket } from 'node:net';

import { InvariantError } from '../../_lib/errors.js';
import { listStarts, mergeStarts } from './mergeStarts.js';
import { parsePeerMessage } from './parsePeerMessage.js';
import type { PeerMessage } from './peerMessages.js';

/** Longest line that is read, characters. */
const MAX_LINE = 4 * 1024 * 1024;
/** Bytes that may wait for a peer that does not read. */
const MAX_UNSENT_BYTES = 8 * 1024 * 1024;

/** What a channel tells its owner. */
export interface ChannelEvents {
  readonly receive: (message: PeerMessage) => void;
  readonly close: (reason: string) => void;
  /** Bytes came, whether or not a message is whole by now. */
  readonly noteBytes?: () => void;
}

/** A connection to a peer. */
export class LineChannel {
  private rest = '';
  private outgoing: PeerMessage[] = [];
  private closed = false;
  private takesBatches = false;

  constructor(
    private readonly socket: Socket,
    private readonly events: ChannelEvents,
  ) {
    socket.setNoDelay(true);
    socket.setEncoding('utf8');
    socket.on('data', (text: string) => this.read(text));
    socket.on('error', (error: NodeJS.ErrnoException) => this.close(error.code ?? error.message));
    socket.on('end', () => this.close('ended'));
    socket.on('close', () => this.close('closed'));
  }

  /** Whether messages can still be sent. */
  get isOpen(): boolean {
    return !this.closed;
  }

  /** The peer reads batches of starts: those of a turn are merged from now on. */
  allowBatches(): void {
    this.takesBatches = true;
  }

  /** Queues a message; all of a turn are written together. */
  send(message: PeerMessage): void {
    if (this.closed) return;
    if (this.outgoing.length === 0) setImmediate(() => this.flush());
    this.outgoing.push(message);
  }

  /** Writes what is queued. */
  flush(): void {
    if (this.closed || this.outgoing.length === 0) return;
    const messages = this.takesBatches ? mergeStarts(this.outgoing) : this.outgoing;
    this.outgoing = [];
    let text = '';
    for (const message of messages) text += `${JSON.stringify(message)}\n`;
    this.socket.write(text);
    if (this.socket.writableLength > MAX_UNSENT_BYTES) this.close('peer does not read');
  }

  /** Ends the connection at once; `close` is told once. */
  close(reason: string): void {
    if (this.closed) return;
    this.closed = true;
    this.socket.destroy();
    this.events.close(reason);
  }

  private read(text: string): void {
    this.events.noteBytes?.();
    const lines = (this.rest + text).split('\n');
    this.rest = lines.pop() ?? '';
    if (this.rest.length > MAX_LINE) return this.close('line too long');
    for (const line of lines) {
      if (this.closed) return;
      const { message, problem } = parsePeerMessage(line);
      if (message?.type === 'starts') for (const start of listStarts(message)) this.deliver(start);
      else if (message) this.deliver(message);
      else if (problem !== '') return this.close(problem);
    }
  }

  /** What one peer sends must not end the process; only a broken invariant does. */
  private deliver(message: PeerMessage): void {
    if (this.closed) return;
    try {
      this.events.receive(message);
    } catch (error) {
      if (error instanceof InvariantError) throw error;
      this.close(`failed to take a ${message.type}: ${String(error)}`);
    }
  }
}
