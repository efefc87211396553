/**
 * Network between the daemons: each link to a dispatcher passes a proxy, which can be cut for single machines. A cut is
 * silent: nothing passes in either direction, not even a close, and new connections get no answer. When it heals, new
 * connections work. Those that were dialed during the cut end, and are dialed again. Those that it struck stay silent until
 * the next retransmission of what was sent on them, whose interval has grown to seconds by then, and are reset.
 *
 * The proxy learns the machine that dials from the name in the first line that it sends, which is read for that only.
 */
import { connect, createServer, Socket } from 'node:net';
import type { Server } from 'node:net';

/** Time after the end of a cut at which a connection that it struck is reset, ms. */
const RETRANSMISSION_MS = 2_000;

interface Link {
  readonly near: Socket;
  readonly far: Socket;
  readonly to: string;
  /** Machine that dials; empty until its first line has arrived. */
  from: string;
  /** Bytes received before the machine that dials is known. */
  head: Buffer;
  /** Whether a cut has struck it, so that it carries nothing any more. */
  isStruck: boolean;
}

/** Proxies in front of the dispatchers. */
export class PeerNetwork {
  private readonly servers: Server[] = [];
  private readonly links = new Set<Link>();
  private readonly cutMachines = new Set<string>();

  /**
   * Starts a proxy.
   *
   * @param name - machine of the dispatcher
   * @param ip - address of the proxy, which the dispatcher advertises
   * @param target - address of the dispatcher
   * @param port - port of both
   */
  async add(name: string, ip: string, target: string, port: number): Promise<void> {
    const server = createServer((near) => this.accept(near, name, target, port));
    this.servers.push(server);
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(port, ip, resolve);
    });
  }

  /** Cuts a machine off from all others. */
  cut(name: string): void {
    this.cutMachines.add(name);
    for (const link of this.links) if (this.isCut(link)) strike(link);
  }

  /** Heals the cut of a machine. */
  heal(name: string): void {
    this.cutMachines.delete(name);
    for (const link of [...this.links]) {
      if (!link.isStruck || this.isCut(link)) continue;
      if (link.from === '') this.drop(link);
      else setTimeout(() => this.drop(link), RETRANSMISSION_MS);
    }
  }

  /** Stops all proxies. */
  stop(): void {
    for (const server of this.servers) server.close();
    for (const link of [...this.links]) this.drop(link);
  }

  private isCut({ from, to }: Link): boolean {
    return this.cutMachines.has(to) || this.cutMachines.has(from);
  }

  private accept(near: Socket, to: string, host: string, port: number): void {
    const isCutOff = this.cutMachines.has(to);
    const far = isCutOff ? new Socket() : connect({ host, port });
    const link: Link = { near, far, to, from: '', head: Buffer.alloc(0), isStruck: false };
    this.links.add(link);
    for (const socket of [near, far]) {
      socket.setNoDelay(true);
      socket.on('error', () => undefined);
      socket.on('close', () => !link.isStruck && this.drop(link));
    }
    near.on('data', (bytes: Buffer) => this.forward(link, bytes));
    far.on('data', (bytes: Buffer) => !link.isStruck && near.write(bytes));
    if (this.isCut(link)) strike(link);
  }

  private forward(link: Link, bytes: Buffer): void {
    if (link.from !== '') return void (!link.isStruck && link.far.write(bytes));
    link.head = Buffer.concat([link.head, bytes]);
    const end = link.head.indexOf('\n');
    if (end < 0) return;
    const hello = JSON.parse(link.head.toString('utf8', 0, end)) as { agent?: string; entry?: string };
    link.from = hello.agent ?? hello.entry ?? 'unknown';
    if (this.isCut(link)) strike(link);
    else link.far.write(link.head);
  }

  private drop(link: Link): void {
    this.links.delete(link);
    link.near.destroy();
    link.far.destroy();
  }
}

function strike(link: Link): void {
  link.isStruck = true;
  link.near.pause();
  link.far.pause();
}
