/** Small HTTP server that both stand-ins are built on. */
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

import { readBody } from '../src/connection/http/readBody.js';

/** Largest body that a stand-in reads, bytes. */
const MAX_BODY_BYTES = 32 * 1024 * 1024;

/** A request with its body read. */
export interface StandinRequest {
  readonly method: string;
  readonly url: URL;
  readonly headers: IncomingMessage['headers'];
  readonly text: string;
  /** The body as it came. */
  readonly bytes: Buffer;
}

/** Base of the stand-ins. */
export abstract class StandinServer {
  private readonly server: Server = createServer((request, response) => void this.take(request, response));

  /** Starts to listen and returns the URL. */
  async start(host: string, port: number): Promise<string> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, resolve);
    });
    return `http://${host}:${(this.server.address() as AddressInfo).port}`;
  }

  /** Ends the server and its connections. */
  async stop(): Promise<void> {
    await new Promise<void>((resolve) => {
      this.server.close(() => resolve());
      this.server.closeAllConnections();
    });
  }

  /** Handles one request. */
  protected abstract handle(request: StandinRequest, response: ServerResponse): Promise<void>;

  private async take(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = await readBody(request, MAX_BODY_BYTES);
    if (!body.ok) return void response.destroy();
    const url = new URL(request.url ?? '/', 'http://local');
    const { method = 'GET', headers } = request;
    await this.handle({ method, url, headers, text: body.text, bytes: body.bytes }, response);
  }
}
