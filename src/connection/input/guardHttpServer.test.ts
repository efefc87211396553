import { Agent, createServer, request } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { connect } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

import { expect } from 'chai';

import { collectBody } from '../http/collectBody.js';
import { findConnection, guardHttpServer } from './guardHttpServer.js';
import { InputGuard } from './InputGuard.js';

const HOST = '127.0.0.1';
const MAX_INPUT_BYTES = 600_000;
const MAX_CONNECTIONS = 20;
const GET = 'GET /now HTTP/1.1\r\nhost: a\r\n\r\n';

describe('guardHttpServer', function () {
  this.timeout(20_000);
  let server: Server;
  let guard: InputGuard;
  let port: number;
  let handled: string[];
  let waiting: ServerResponse[];
  let left: number;
  let closed: string[];
  const sockets: Socket[] = [];

  beforeEach(async () => {
    handled = [];
    waiting = [];
    left = 0;
    closed = [];
    guard = new InputGuard({ memoryMb: 160, maxDescriptors: 4_096, maxInputBytes: MAX_INPUT_BYTES });
    guard.reportTo(({ reason }) => closed.push(reason));
    server = createServer((incoming, response) => void handle(incoming, response));
    guardHttpServer(server, guard, 'callers', MAX_CONNECTIONS);
    await new Promise<void>((resolve) => server.listen(0, HOST, resolve));
    ({ port } = server.address() as AddressInfo);
  });

  afterEach(() => {
    for (const socket of sockets.splice(0)) socket.destroy();
    server.close();
    server.closeAllConnections();
  });

  /** Answers at once, after the body, or (`/wait`) when the test does; `/job` is admitted as well. */
  async function handle(incoming: IncomingMessage, response: ServerResponse): Promise<void> {
    handled.push(incoming.url ?? '');
    if (incoming.url === '/ignore') return void waiting.push(response);
    const body = await collectBody(incoming, 300_000);
    if (typeof body === 'string') return void (left += 1);
    response.once('close', () => (left += response.writableFinished ? 0 : 1));
    if (incoming.url === '/job') findConnection(incoming)?.admit(response);
    if (incoming.url === '/now') response.end(String(body.length));
    else waiting.push(response);
  }

  function open(text: string | Buffer): {
    readonly socket: Socket;
    read: () => string;
    isClosed: () => boolean;
  } {
    const socket = connect(port, HOST);
    sockets.push(socket);
    let answer = '';
    let closed = false;
    socket.on('error', () => undefined);
    socket.on('data', (bytes) => (answer += bytes.toString()));
    socket.on('close', () => (closed = true));
    socket.write(text);
    return { socket, read: () => answer, isClosed: () => closed };
  }

  async function until(holds: () => boolean): Promise<void> {
    while (!holds()) await sleep(2);
  }

  function countAnswers(text: string): number {
    return text.split('HTTP/1.1 200').length - 1;
  }

  it('serves many requests on one connection, and holds nothing for it afterwards', async () => {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    for (let number = 0; number < 20; number += 1) {
      const status = await new Promise((resolve) => {
        const outgoing = request({ host: HOST, port, agent, path: '/now', method: 'POST' }, (incoming) => {
          incoming.resume().on('end', () => resolve(incoming.statusCode));
        });
        outgoing.end('x'.repeat(number * 10_000));
      });
      expect(status).to.equal(200);
    }
    expect(guard.budget.connections).to.equal(1);
    agent.destroy();
    await until(() => guard.budget.connections === 0);
    expect(guard.budget.heldBytes).to.equal(0);
  });

  it('serves a body of the largest size in one-byte chunks', async () => {
    const client = open('POST /now HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n');
    client.socket.write(`${'1\r\nx\r\n'.repeat(262_144)}0\r\n\r\n`);
    await until(() => client.read().includes('262144'));
    expect(client.read()).to.include('HTTP/1.1 200');
  });

  it('answers pipelined requests in order, some at a time', async () => {
    const client = open(GET.repeat(5_000));
    await until(() => countAnswers(client.read()) === 5_000);
    expect(client.isClosed()).to.equal(false);
  });

  // One client with a buffer of requests had them all handled before anyone else's.
  it('handles a request of another client between those of one that sends many at once', async () => {
    const many = open(GET.repeat(20_000));
    await until(() => handled.length > 0);
    const other = open('POST /wait HTTP/1.1\r\nhost: a\r\ncontent-length: 0\r\n\r\n');
    await until(() => handled.includes('/wait'));
    expect(handled.length).to.be.below(20_000);
    await until(() => countAnswers(many.read()) === 20_000);
    waiting[0]?.end();
    await until(() => countAnswers(other.read()) === 1);
  });

  it('hands over few requests while an earlier one of the connection is open', async () => {
    const post = 'POST /wait HTTP/1.1\r\nhost: a\r\ncontent-length: 0\r\n\r\n';
    const client = open(post + GET.repeat(2_000));
    await until(() => handled.length > 1);
    await sleep(50);
    expect(handled.length).to.be.below(100);
    waiting[0]?.end();
    await until(() => countAnswers(client.read()) === 2_001);
  });

  // What waits to be read is an object for each chunk.
  it('discards a body that no listener reads', async () => {
    const client = open('GET /ignore HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n');
    client.socket.write(`${'1\r\nx\r\n'.repeat(100_000)}0\r\n\r\n${GET}`);
    await until(() => waiting.length === 1);
    await until(() => waiting[0]?.req.complete === true);
    expect(waiting[0]?.req.readableLength).to.equal(0);
    waiting[0]?.end();
    await until(() => countAnswers(client.read()) === 2);
  });

  it('refuses the body that holds most when the budget is used up, and serves the others', async () => {
    const head = 'POST /now HTTP/1.1\r\nhost: a\r\ncontent-length: 250000\r\n\r\n';
    const small = open('POST /now HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n\r\nx');
    const large = [open(head + 'x'.repeat(249_000)), open(head + 'x'.repeat(200_000))];
    await until(() => handled.length === 3);
    const third = open(head + 'x'.repeat(220_000));
    await until(() => closed.length > 0);
    const listRefused = (): typeof large => [...large, third].filter((client) => client.isClosed());
    await until(() => listRefused().length === closed.length && left === closed.length);
    for (const client of listRefused()) {
      expect(client.read()).to.match(/^HTTP\/1\.1 503 [^]*retry-after: 1\r\n/);
    }
    small.socket.write('xxx');
    await until(() => countAnswers(small.read()) === 1);
    expect(guard.budget.heldBytes).to.be.at.most(MAX_INPUT_BYTES);
    expect(small.isClosed()).to.equal(false);
  });

  it('notices that the client of an admitted request leaves, also behind further input', async () => {
    const client = open(`POST /job HTTP/1.1\r\nhost: a\r\ncontent-length: 0\r\n\r\n${GET.repeat(1_000)}`);
    await until(() => waiting.length === 1);
    client.socket.destroy();
    await until(() => left > 0);
    await until(() => guard.budget.connections === 0);
    expect(guard.budget.heldBytes).to.equal(0);
  });

  // The HTTP server closes the first response only: the tasks of the other jobs ran on though their caller had left.
  it('notices that the client of several pipelined requests leaves', async () => {
    const client = open('POST /job HTTP/1.1\r\nhost: a\r\ncontent-length: 0\r\n\r\n'.repeat(3));
    await until(() => waiting.length === 3);
    client.socket.destroy();
    await until(() => left === 3);
    expect(waiting.every((response) => response.destroyed)).to.equal(true);
  });

  it('closes the connection of an admitted request whose client sends on and on', async () => {
    const client = open('POST /job HTTP/1.1\r\nhost: a\r\ncontent-length: 0\r\n\r\n');
    await until(() => waiting.length === 1);
    client.socket.write(GET.repeat(20_000));
    await until(() => client.isClosed());
    expect(left).to.equal(1);
    // A refusal would promise that the job does not run.
    expect(client.read()).to.equal('');
  });

  it('closes connections of clients that do not read their answers when the budget is used up', async () => {
    const clients = Array.from({ length: 12 }, () => open(GET.repeat(60_000)));
    for (const client of clients) client.socket.pause();
    await until(() => guard.budget.connections > 0);
    await until(() => guard.budget.heldBytes <= MAX_INPUT_BYTES);
    const ordinary = open(GET);
    await until(() => countAnswers(ordinary.read()) === 1);
  });

  it('closes the idlest connection at the limit of connections', async () => {
    const idle = Array.from({ length: MAX_CONNECTIONS }, () => open(''));
    await until(() => guard.budget.connections === MAX_CONNECTIONS);
    const ordinary = open(GET);
    await until(() => countAnswers(ordinary.read()) === 1);
    expect(idle.filter((client) => client.isClosed()).length).to.be.at.most(1);
    expect(guard.budget.connections).to.equal(MAX_CONNECTIONS);
  });

  it('closes idle connections with the timeouts of the server', async () => {
    server.keepAliveTimeout = 50;
    const client = open(GET);
    await until(() => client.isClosed());
    expect(countAnswers(client.read())).to.equal(1);
  });
});
