/** Many raw connections to one listener, whose clients do not behave. */
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

import type { Listener } from './PlatformBench.js';

/** Time without any progress after which a crowd counts as held up, ms. */
const STALL_MS = 1_500;
const POLL_MS = 25;
/** Bytes that a client hands to its socket at once. */
const WINDOW_BYTES = 65_536;

/** What a client of the crowd sends. */
export interface ClientInput {
  /** Parts that are written one after the other; the last one is followed by silence, the connection stays open. */
  readonly parts: Iterable<string | Buffer>;
  /** Whether each part is written by itself, in a packet of its own where the kernel allows. */
  readonly isPiecemeal?: boolean;
  /** Whether answers are left unread. */
  readonly ignoresAnswers?: boolean;
}

/** Connections that are kept open until `close`. */
export class ClientCrowd {
  private readonly sockets = new Set<Socket>();
  private readonly listener: Listener;
  private isOver = false;
  private progress = 0;
  private unfinished = 0;

  /** Number of connections that the server has closed. */
  closed = 0;
  /** Number of answers by status. */
  readonly statuses = new Map<string, number>();

  constructor(listener: Listener) {
    this.listener = listener;
  }

  /** Number of open connections. */
  get open(): number {
    return this.sockets.size;
  }

  /**
   * Opens connections that send the same.
   *
   * @param comesBack - whether a client whose connection is closed opens another one
   */
  add(count: number, build: () => ClientInput, comesBack = false): void {
    for (let number = 0; number < count; number += 1) this.connect(build, comesBack);
  }

  /** Waits until all is sent, or nothing moves any more. */
  async settle(): Promise<void> {
    let seen = -1;
    let stalledMs = 0;
    while (this.unfinished > 0 && stalledMs < STALL_MS) {
      stalledMs = this.progress === seen ? stalledMs + POLL_MS : 0;
      seen = this.progress;
      await sleep(POLL_MS);
    }
  }

  /** Closes all connections. */
  close(): void {
    this.isOver = true;
    for (const socket of this.sockets) socket.destroy();
  }

  private connect(build: () => ClientInput, comesBack: boolean): void {
    const input = build();
    const socket = connect(this.listener);
    this.sockets.add(socket);
    this.unfinished += 1;
    let isSending = true;
    const finish = (): void => {
      if (isSending) this.unfinished -= 1;
      isSending = false;
    };
    socket.setNoDelay(true);
    socket.on('error', () => undefined);
    socket.on('close', () => {
      this.sockets.delete(socket);
      finish();
      if (this.isOver) return;
      this.closed += 1;
      this.progress += 1;
      if (comesBack) setTimeout(() => this.isOver || this.connect(build, true), POLL_MS);
    });
    if (input.ignoresAnswers === true) socket.pause();
    else socket.on('data', (bytes: Buffer) => this.recordStatus(bytes));
    socket.once('connect', () => {
      this.progress += 1;
      this.send(socket, input, input.parts[Symbol.iterator](), finish);
    });
  }

  private recordStatus(bytes: Buffer): void {
    const status = /^HTTP\/1\.1 (\d+)/.exec(bytes.toString('latin1', 0, 16))?.[1];
    if (status !== undefined) this.statuses.set(status, (this.statuses.get(status) ?? 0) + 1);
  }

  private send(
    socket: Socket,
    input: ClientInput,
    parts: Iterator<string | Buffer>,
    finish: () => void,
  ): void {
    if (socket.destroyed) return;
    for (;;) {
      const { done, value } = parts.next();
      if (done === true) return finish();
      this.progress += 1;
      socket.write(value);
      if (input.isPiecemeal === true) {
        return void setImmediate(() => this.send(socket, input, parts, finish));
      }
      if (socket.writableLength < WINDOW_BYTES) continue;
      return void socket.once('drain', () => this.send(socket, input, parts, finish));
    }
  }
}

/** Repeats a part. */
export function* repeatPart<T>(part: T, count: number): Generator<T> {
  for (let number = 0; number < count; number += 1) yield part;
}

/** Joins sequences of parts. */
export function* joinParts<T>(...sequences: readonly Iterable<T>[]): Generator<T> {
  for (const sequence of sequences) yield* sequence;
}
