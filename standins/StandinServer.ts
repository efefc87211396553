/** HTTP server that the stand-ins for external systems are built on. */
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

import { readBody } from '../src/connection/http/readBody.js';

/** Largest request body accepted, bytes. */
const MAX_BODY_BYTES = 32 * 1024 * 1024;

/** Request whose body has been read. */
export interface StandinRequest {
  readonly method: string;
  readonly url: URL;
  readonly headers: IncomingMessage['headers'];
  readonly text: string;
  /** Raw body. */
  readonly bytes: Buffer;
}

/** Base class of the stand-ins. */
export abstract class StandinServer {
  private readonly server: Server = createServer(
    (request, response) => void this.receiveRequest(request, response),
  );

  /** Listens on the given port, 0 for any free one, and returns the base URL. */
  async start(host: string, port: number): Promise<string> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, resolve);
    });
    return `http://${host}:${(this.server.address() as AddressInfo).port}`;
  }

  /** Stops the server and closes all connections. */
  async stop(): Promise<void> {
    await new Promise<void>((resolve) => {
      this.server.close(() => resolve());
      this.server.closeAllConnections();
    });
  }

  /** Handles one request. */
  protected abstract handle(request: StandinRequest, response: ServerResponse): Promise<void>;

  private async receiveRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = await readBody(request, MAX_BODY_BYTES);
    if (!body.ok) return void response.destroy();
    const url = new URL(request.url ?? '/', 'http://local');
    const { method = 'GET', headers } = request;
    await this.handle({ method, url, headers, text: body.text, bytes: body.bytes }, response);
  }
}
