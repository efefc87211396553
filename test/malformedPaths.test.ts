/** Malformed paths at the own interface: a single request must not end a process. */
import { connect } from 'node:net';

import { expect } from 'chai';

import { ProcessCluster } from '../bench/ProcessCluster.js';

const PATHS = ['//', '/v1/jobs/%', '/v1/jobs/%E0%A4%A', '/v1/jobs/a%00b', '*', 'http://'];

describe('malformed paths at the own interface', function () {
  this.timeout(120_000);
  let cluster: ProcessCluster;

  before(async () => {
    cluster = new ProcessCluster({ entries: 1, agents: 1 });
    await cluster.start();
  });

  after(async () => {
    await cluster.stop();
  });

  for (const id of ['entry-1', 'agent-1']) {
    // `//` and a lone percent sign each ended the process with an uncaught TypeError or URIError.
    it(`are answered by ${id}, which runs on`, async () => {
      const statuses = [];
      for (const path of PATHS) statuses.push(await sendRaw(cluster.url(id), path));
      expect(
        statuses.every((status) => status >= 400 && status < 500),
        statuses.join(),
      ).to.equal(true);
      expect((await cluster.readStats(id)).state).to.equal('ready');
    });
  }
});

/** Sends a path as it is, and returns the status of the answer; 0 for none. */
function sendRaw(url: string, path: string): Promise<number> {
  const { hostname, port } = new URL(url);
  return new Promise((resolve) => {
    let answer = '';
    const socket = connect(Number(port), hostname);
    socket.on('error', () => undefined);
    socket.on('data', (bytes) => (answer += bytes.toString()));
    socket.on('close', () => resolve(Number(/^HTTP\/1\.1 (\d+)/.exec(answer)?.[1] ?? 0)));
    socket.write(`GET ${path} HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n`);
  });
}
