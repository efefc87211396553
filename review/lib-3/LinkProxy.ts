/**
 * TCP proxy in front of the link port of one daemon. It reads the first message of a connection to know which daemon
 * has opened it, and can cut daemons off: what they send and what is sent to them waits until the cut ends.
 */
import { connect, createServer } from 'node:net';
import type { Server, Socket } from 'node:net';

/** Longest first message that is looked at, bytes. */
const MAX_HELLO_BYTES = 65_536;

interface Pair {
  readonly near: Socket;
  readonly far: Socket;
  /** Daemon that has opened the connection; empty until its first message is read. */
  opener: string;
  first: string;
}

/** Proxy of one daemon. */
export class LinkProxy {
  private readonly pairs = new Set<Pair>();
  private readonly server: Server;
  private isCut: (opener: string) => boolean = () => false;

  /**
   * @param host - address to listen at
   * @param port - port to listen at
   * @param target - address of the daemon, or of the store
   * @param targetPort - its port
   * @param opener - the only daemon that opens connections; empty to read it from the first message
   */
  constructor(
    private readonly host: string,
    private readonly port: number,
    private readonly target: string,
    private readonly targetPort = port,
    private readonly opener = '',
  ) {
    this.server = createServer((near) => this.accept(near));
  }

  start(): Promise<void> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(this.port, this.host, resolve);
    });
  }

  /** Cuts off the connections of the daemons that match; of none ends the cut. */
  setCut(isCut: (opener: string) => boolean): void {
    this.isCut = isCut;
    for (const pair of [...this.pairs]) this.updatePair(pair);
  }

  stop(): void {
    this.server.close();
    for (const pair of [...this.pairs]) this.close(pair);
  }

  private accept(near: Socket): void {
    const far = connect({ host: this.target, port: this.targetPort });
    const pair: Pair = { near, far, opener: this.opener, first: '' };
    this.pairs.add(pair);
    this.pass(pair, near, far);
    this.pass(pair, far, near);
  }

  private pass(pair: Pair, source: Socket, sink: Socket): void {
    source.setNoDelay(true);
    source.on('data', (bytes: Buffer) => {
      if (pair.opener === '' && source === pair.near) this.readOpener(pair, bytes);
      if (this.isCut(pair.opener)) source.unshift(bytes);
      else sink.write(bytes);
    });
    source.on('error', () => undefined);
    source.on('close', () => {
      // Nothing passes a cut, not even the end of a connection; it follows when the cut ends.
      if (!this.isCut(pair.opener)) this.close(pair);
    });
    this.updatePair(pair);
  }

  private readOpener(pair: Pair, bytes: Buffer): void {
    pair.first += bytes.toString('utf8');
    const name = /"(?:agent|entry)":"([^"]+)"/.exec(pair.first)?.[1];
    pair.opener = name ?? (pair.first.length > MAX_HELLO_BYTES ? 'unknown' : '');
    pair.first = pair.opener === '' ? pair.first : '';
    this.updatePair(pair);
  }

  private updatePair(pair: Pair): void {
    const { near, far, opener } = pair;
    const isCut = this.isCut(opener);
    if (!isCut && (near.destroyed || far.destroyed)) return this.close(pair);
    for (const socket of [near, far]) {
      if (isCut) socket.pause();
      else socket.resume();
    }
  }

  private close(pair: Pair): void {
    this.pairs.delete(pair);
    pair.near.destroy();
    pair.far.destroy();
  }
}
