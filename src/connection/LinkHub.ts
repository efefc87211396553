/** The dialed and accepted links of a process, with one outgoing batch per link and event loop turn. */
import { createServer } from 'node:net';
import type { AddressInfo, Server as SocketServer, Socket } from 'node:net';

import { Client, Server, ServerCredentials, credentials } from '@grpc/grpc-js';
import type { ClientDuplexStream, ConnectionInjector, ServerDuplexStream } from '@grpc/grpc-js';
import { createActor } from 'xstate';
import type { ActorRefFrom } from 'xstate';

import { equalSecrets } from '../_lib/equalSecrets.js';
import type { InputAccount } from './input/InputAccount.js';
import { LINK_LISTENER } from './input/InputBudget.js';
import type { InputGuard } from './input/InputGuard.js';
import { linkMachine } from './linkMachine.js';
import {
  buildLinkMetadata,
  buildLinkMethod,
  LINK_OPTIONS,
  LINK_PATH,
  readLinkSecret,
} from './linkProtocol.js';
import type { Hello, Message } from './messages.js';

/** Callbacks of a hub to its owner. */
export interface LinkEvents {
  /** Builds the first message of a new link. */
  readonly buildHello: () => Hello;
  /** A link was opened. */
  readonly open: (hello: Hello) => void;
  /** The newest link of a peer was closed. */
  readonly close: (peer: string) => void;
  /** A batch of messages was received. */
  readonly receive: (peer: string, messages: readonly Message[]) => void;
  /** A link was rejected; for the log. */
  readonly refuse: (reason: string) => void;
}

type Stream =
  ClientDuplexStream<readonly Message[], Message[]> | ServerDuplexStream<Message[], readonly Message[]>;

interface DialedLink {
  readonly address: string;
  readonly client: Client;
  readonly actor: ActorRefFrom<typeof linkMachine>;
  stream: Stream | undefined;
  peer: string;
}

/** Counters of sent data, for metrics and reports. */
export interface LinkCounts {
  readonly messages: Map<string, number>;
  batches: number;
  /** Bytes of encoded batches on dialed and accepted links. */
  bytes: number;
}

/** Maximum number of accepted links, which bounds the resources that peers can use up. */
const MAX_ACCEPTED_LINKS = 4_096;
/** Concurrent streams of an accepted connection; a peer uses one. */
const MAX_STREAMS = 4;
/** Timeout for the hello message of an accepted connection or stream, ms. */
const HELLO_TIMEOUT_MS = 5_000;

/** Opens, accepts and closes the links of one process. */
export class LinkHub {
  readonly counts: LinkCounts = { messages: new Map(), batches: 0, bytes: 0 };
  private readonly method = buildLinkMethod((bytes) => (this.counts.bytes += bytes));
  private readonly server = new Server({ ...LINK_OPTIONS, 'grpc.max_concurrent_streams': MAX_STREAMS });
  private readonly listener: SocketServer;
  /** Accepted connections with their accounts, by the peer's address as gRPC names it. */
  private readonly connections = new Map<
    string,
    { readonly socket: Socket; readonly account: InputAccount }
  >();
  private readonly streams = new Map<string, Stream>();
  private readonly dialed = new Map<string, DialedLink>();
  private readonly outgoing = new Map<string, Message[]>();
  private accepted = 0;
  private stopping = false;

  constructor(
    private readonly secret: string,
    private readonly guard: InputGuard,
    private readonly events: LinkEvents,
  ) {
    const injector = this.server.createConnectionInjector(ServerCredentials.createInsecure());
    this.listener = createServer((socket) => this.acceptConnection(socket, injector));
  }

  /** Starts accepting links and returns the bound port. */
  async listen(host: string, port: number): Promise<number> {
    const definition = { link: { ...this.method, originalName: 'link' } };
    this.server.addService(definition as never, {
      link: (stream: ServerDuplexStream<Message[], readonly Message[]>) => this.accept(stream),
    });
    await new Promise<void>((resolve, reject) => {
      this.listener.once('error', reject);
      this.listener.listen(port, host, resolve);
    });
    return (this.listener.address() as AddressInfo).port;
  }

  /** Opens a link to an address and reopens it until `hangUp`. */
  dial(address: string): void {
    if (this.dialed.has(address) || this.stopping) return;
    const client = new Client(address, credentials.createInsecure(), LINK_OPTIONS);
    const actor = createActor(linkMachine);
    const link: DialedLink = { address, client, actor, stream: undefined, peer: '' };
    this.dialed.set(address, link);
    actor.subscribe((snapshot) => {
      if (snapshot.value === 'dialing') this.connect(link);
    });
    actor.start();
  }

  /** Closes the link to an address. */
  hangUp(address: string): void {
    const link = this.dialed.get(address);
    if (!link) return;
    this.dialed.delete(address);
    link.actor.send({ type: 'stop' });
    link.stream?.end();
    link.client.close();
  }

  /** Addresses to which links are maintained. */
  get addresses(): IterableIterator<string> {
    return this.dialed.keys();
  }

  /** Queues a message for the batch of this turn; it is dropped when there is no link. */
  send(peer: string, message: Message): void {
    const batch = this.outgoing.get(peer);
    if (batch) batch.push(message);
    else this.outgoing.set(peer, [message]);
  }

  /** Writes the batches of this turn. */
  flush(): void {
    for (const [peer, batch] of this.outgoing) {
      const stream = this.streams.get(peer);
      if (!stream) continue;
      stream.write(batch as never);
      this.countBatch(batch);
    }
    this.outgoing.clear();
  }

  /** Closes all links. */
  stop(): void {
    this.stopping = true;
    for (const address of [...this.dialed.keys()]) this.hangUp(address);
    this.listener.close();
    this.server.forceShutdown();
    for (const { socket } of this.connections.values()) socket.destroy();
  }

  /** Hands an accepted connection to gRPC; it is closed if its peer does not say hello in time. */
  private acceptConnection(socket: Socket, injector: ConnectionInjector): void {
    const { budget, limits } = this.guard;
    const account = budget.open(LINK_LISTENER, limits.maxLinks, () => socket.destroy());
    if (!account) return;
    const peer = `${socket.remoteAddress}:${socket.remotePort}`;
    this.connections.set(peer, { socket, account });
    const timer = setTimeout(() => account.isAdmitted || socket.destroy(), HELLO_TIMEOUT_MS);
    socket.on('error', () => undefined);
    socket.once('close', () => {
      clearTimeout(timer);
      this.connections.delete(peer);
      account.remove();
    });
    socket.setNoDelay(true);
    injector.injectConnection(socket);
  }

  private countBatch(batch: readonly Message[]): void {
    this.counts.batches += 1;
    for (const { type } of batch) {
      this.counts.messages.set(type, (this.counts.messages.get(type) ?? 0) + 1);
    }
  }

  private connect(link: DialedLink): void {
    const { requestSerialize, responseDeserialize } = this.method;
    const metadata = buildLinkMetadata(this.secret);
    const stream = link.client.makeBidiStreamRequest(
      LINK_PATH,
      requestSerialize,
      responseDeserialize,
      metadata,
    );
    link.stream = stream;
    stream.write([this.events.buildHello()]);
    this.readStream(stream, {
      onHello: (hello) => {
        link.peer = hello.peer;
        link.actor.send({ type: 'open' });
      },
      onEnd: () => link.actor.send({ type: 'break' }),
    });
  }

  private accept(stream: ServerDuplexStream<Message[], readonly Message[]>): void {
    if (!equalSecrets(readLinkSecret(stream.metadata), this.secret) || this.accepted >= MAX_ACCEPTED_LINKS) {
      this.events.refuse('link-secret');
      stream.end();
      return;
    }
    this.accepted += 1;
    const timer = setTimeout(() => stream.end(), HELLO_TIMEOUT_MS);
    this.readStream(stream, {
      onHello: () => {
        clearTimeout(timer);
        this.connections.get(stream.getPeer())?.account.setAdmitted(true);
        stream.write([this.events.buildHello()]);
      },
      onEnd: () => {
        clearTimeout(timer);
        this.accepted -= 1;
      },
    });
  }

  /**
   * Reads the hello and then batches; messages on a stream that a newer one of the peer replaced are dropped.
   */
  private readStream(stream: Stream, handlers: { onHello: (hello: Hello) => void; onEnd: () => void }): void {
    let peer = '';
    let ended = false;
    stream.on('data', (messages: Message[]) => {
      let rest = messages;
      if (peer === '') {
        const hello = messages[0];
        if (hello?.type !== 'hello') return this.rejectStream(stream, 'no-hello');
        peer = hello.peer;
        this.streams.set(peer, stream);
        handlers.onHello(hello);
        this.events.open(hello);
        rest = messages.slice(1);
      }
      if (this.streams.get(peer) !== stream || rest.length === 0) return;
      this.events.receive(peer, rest);
    });
    const finish = (): void => {
      if (ended) return;
      ended = true;
      if (peer !== '' && this.streams.get(peer) === stream) {
        this.streams.delete(peer);
        this.events.close(peer);
      }
      handlers.onEnd();
      stream.end();
    };
    stream.on('end', finish);
    stream.on('error', finish);
    stream.on('close', finish);
    stream.on('cancelled', finish);
  }

  private rejectStream(stream: Stream, reason: string): void {
    this.events.refuse(reason);
    stream.end();
  }
}
