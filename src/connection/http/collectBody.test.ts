import { createServer, request } from 'node:http';
import type { IncomingMessage, Server } from 'node:http';
import type { AddressInfo } from 'node:net';

import { expect } from 'chai';

import { collectBody } from './collectBody.js';
import type { CollectedBody } from './collectBody.js';

describe('collectBody', () => {
  let server: Server;
  let collected: Promise<CollectedBody>;

  function serve(maxBytes?: number): Promise<number> {
    return new Promise((resolve) => {
      server = createServer((message: IncomingMessage, response) => {
        collected = collectBody(message, maxBytes);
        void collected.then(() => response.end());
      });
      server.listen(0, '127.0.0.1', () => resolve((server.address() as AddressInfo).port));
    });
  }

  afterEach(() => {
    server.closeAllConnections();
    server.close();
  });

  function post(port: number, parts: readonly string[], isWhole: boolean): Promise<void> {
    return new Promise((resolve) => {
      const outgoing = request({ host: '127.0.0.1', port, method: 'POST' });
      outgoing.on('error', () => resolve());
      outgoing.on('response', (answer) => answer.resume().on('end', resolve));
      for (const part of parts) outgoing.write(part);
      if (isWhole) outgoing.end();
      else setTimeout(() => outgoing.destroy(), 50);
    });
  }

  it('collects all chunks', async () => {
    await post(await serve(), ['one ', 'two'], true);
    expect((await collected).toString()).to.equal('one two');
  });

  it('collects an empty body', async () => {
    await post(await serve(), [], true);
    expect((await collected).toString()).to.equal('');
  });

  it('rejects a body above the limit', async () => {
    await post(await serve(4), ['one ', 'two'], true);
    expect(await collected).to.equal('too-large');
  });

  it('reports a truncated body', async () => {
    await post(await serve(), ['one '], false);
    expect(await collected).to.equal('cut');
  });
});
