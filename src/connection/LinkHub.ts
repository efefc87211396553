/** All links of one process: those it dials and those it accepts, with one outgoing batch a turn for each. */
import { Client, Server, ServerCredentials, credentials } from '@grpc/grpc-js';
import type { ClientDuplexStream, ServerDuplexStream } from '@grpc/grpc-js';
import { createActor } from 'xstate';
import type { ActorRefFrom } from 'xstate';

import { equalSecrets } from '../_lib/equalSecrets.js';
import { linkMachine } from './linkMachine.js';
import {
  buildLinkMetadata,
  buildLinkMethod,
  LINK_OPTIONS,
  LINK_PATH,
  readLinkSecret,
} from './linkProtocol.js';
import type { Hello, Message } from './messages.js';

/** What a hub tells the process that owns it. */
export interface LinkEvents {
  /** Returns the first message of a new link. */
  readonly buildHello: () => Hello;
  /** A link is in use. */
  readonly open: (hello: Hello) => void;
  /** The newest link of a peer is gone. */
  readonly close: (peer: string) => void;
  /** Messages of one batch. */
  readonly receive: (peer: string, messages: readonly Message[]) => void;
  /** Something was refused; for the log. */
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

/** Counts of what a hub sent, for metrics and reports. */
export interface LinkCounts {
  readonly messages: Map<string, number>;
  batches: number;
  /** Bytes of encoded batches, both those of dialed and of accepted links. */
  bytes: number;
}

/** Most accepted links; strangers with the secret cannot exhaust the process by more. */
const MAX_ACCEPTED = 4_096;
/** How long an accepted stream may take to say hello, ms. */
const HELLO_TIMEOUT_MS = 5_000;

/** Keeps the links of one process. */
export class LinkHub {
  readonly counts: LinkCounts = { messages: new Map(), batches: 0, bytes: 0 };
  private readonly method = buildLinkMethod((bytes) => (this.counts.bytes += bytes));
  private readonly server = new Server(LINK_OPTIONS);
  private readonly streams = new Map<string, Stream>();
  private readonly dialed = new Map<string, DialedLink>();
  private readonly outgoing = new Map<string, Message[]>();
  private accepted = 0;
  private stopping = false;

  constructor(
    private readonly secret: string,
    private readonly events: LinkEvents,
  ) {}

  /** Starts accepting links and returns the port. */
  async listen(host: string, port: number): Promise<number> {
    const definition = { link: { ...this.method, originalName: 'link' } };
    this.server.addService(definition as never, {
      link: (stream: ServerDuplexStream<Message[], readonly Message[]>) => this.accept(stream),
    });
    return new Promise((resolve, reject) => {
      this.server.bindAsync(`${host}:${port}`, ServerCredentials.createInsecure(), (error, bound) => {
        if (error) reject(error);
        else resolve(bound);
      });
    });
  }

  /** Keeps a link to an address until `hangUp`. */
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

  /** Ends the link to an address. */
  hangUp(address: string): void {
    const link = this.dialed.get(address);
    if (!link) return;
    this.dialed.delete(address);
    link.actor.send({ type: 'stop' });
    link.stream?.end();
    link.client.close();
  }

  /** Addresses that are dialed. */
  get addresses(): IterableIterator<string> {
    return this.dialed.keys();
  }

  /** Queues a message for the batch of this turn; without a link it is dropped. */
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

  /** Ends all links. */
  stop(): void {
    this.stopping = true;
    for (const address of [...this.dialed.keys()]) this.hangUp(address);
    this.server.forceShutdown();
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
    this.follow(stream, {
      greet: (hello) => {
        link.peer = hello.peer;
        link.actor.send({ type: 'open' });
      },
      end: () => link.actor.send({ type: 'break' }),
    });
  }

  private accept(stream: ServerDuplexStream<Message[], readonly Message[]>): void {
    if (!equalSecrets(readLinkSecret(stream.metadata), this.secret) || this.accepted >= MAX_ACCEPTED) {
      this.events.refuse('link-secret');
      stream.end();
      return;
    }
    this.accepted += 1;
    const timer = setTimeout(() => stream.end(), HELLO_TIMEOUT_MS);
    this.follow(stream, {
      greet: () => {
        clearTimeout(timer);
        stream.write([this.events.buildHello()]);
      },
      end: () => {
        clearTimeout(timer);
        this.accepted -= 1;
      },
    });
  }

  /** Reads a stream: first its hello, then batches; messages of a stream that a newer one replaced are dropped. */
  private follow(stream: Stream, handlers: { greet: (hello: Hello) => void; end: () => void }): void {
    let peer = '';
    let ended = false;
    stream.on('data', (messages: Message[]) => {
      let rest = messages;
      if (peer === '') {
        const hello = messages[0];
        if (hello?.type !== 'hello') return this.endStream(stream, 'no-hello');
        peer = hello.peer;
        this.streams.set(peer, stream);
        handlers.greet(hello);
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
      handlers.end();
      stream.end();
    };
    stream.on('end', finish);
    stream.on('error', finish);
    stream.on('close', finish);
    stream.on('cancelled', finish);
  }

  private endStream(stream: Stream, reason: string): void {
    this.events.refuse(reason);
    stream.end();
  }
}
