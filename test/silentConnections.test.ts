/**
 * Guards against open connections that become unresponsive without a reset while new ones work: an executor must replace
 * such a link before the orphan timeout, and calls to an upstream must not use one dead pooled connection after another.
 */
import { createServer } from 'node:http';
import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';

import { expect } from 'chai';

import { HttpConnectionPool } from '../platform/HttpConnectionPool.js';
import { LoopbackProxy } from './fakes/LoopbackProxy.js';
import { PlatformBench } from './fakes/PlatformBench.js';

const HOST = '127.0.0.1';
/** Resubmit delay, ms; long, as executors must reconnect within 0.4 of it also on a slow VM. */
const RESUBMIT_MS = 3_500;
/** Target latency of the queues, ms. */
const TARGET_LATENCY_MS = 20_000;
const TASKS = 6;
/** Longer than the orphan timeout, ms. */
const TASK_MS = 4_000;

describe('when open connections become unresponsive', function () {
  this.timeout(120_000);

  describe('dispatchers and executors', () => {
    let bench: PlatformBench;

    beforeEach(async () => {
      bench = new PlatformBench(2, 3, TARGET_LATENCY_MS, true);
      bench.extraSettings = { resubmitMs: RESUBMIT_MS };
      await bench.start();
    });

    afterEach(async () => {
      await bench.stop();
      expect(bench.doubled).to.deep.equal([]);
    });

    it('continue running tasks, and report their ends on new links', async () => {
      const open = bench.submit('entry-1', 'open', TASKS, TASK_MS);
      await bench.waitFor(() => bench.starts.size === TASKS);
      bench.proxies.get('entry-1')?.silenceConnections();
      bench.proxies.get('entry-2')?.silenceConnections();
      expect((await open).body).to.equal('{"state":"completed"}');
      expect([...bench.starts.values()].filter((count) => count !== 1)).to.deep.equal([]);
    });

    it('continue running tasks at upstreams, and start more there', async () => {
      const open = bench.submit('entry-1', 'open', TASKS, TASK_MS);
      await bench.waitFor(() => bench.starts.size === TASKS);
      for (const runner of ['runner-1', 'runner-2', 'runner-3'])
        bench.proxies.get(runner)?.silenceConnections();
      const later = bench.submit('entry-2', 'later', TASKS, 30);
      expect((await open).body).to.equal('{"state":"completed"}');
      expect((await later).body).to.equal('{"state":"completed"}');
      expect([...bench.starts.values()].filter((count) => count !== 1)).to.deep.equal([]);
    });

    it('receive a new configuration from the store', async () => {
      bench.proxies.get('store')?.silenceConnections();
      bench.putConfiguration(['/q/', '/r/']);
      for (const dispatcher of ['entry-1', 'entry-2']) {
        await bench.waitFor(async () => (await bench.get(dispatcher, '/r/')).status === 200);
      }
    });

    it('recover when all connections become unresponsive at the same time', async () => {
      const served = await bench.submit('entry-1', 'before', TASKS, 30);
      expect(served.status).to.equal(200);
      for (let round = 0; round < 3; round += 1) {
        bench.silenceConnections();
        const answers = ['entry-1', 'entry-2'].map((dispatcher) =>
          bench.submit(dispatcher, `round${round}${dispatcher}`, TASKS, 30),
        );
        for (const { body } of await Promise.all(answers)) expect(body).to.equal('{"state":"completed"}');
      }
    });
  });

  describe('calls to one address', () => {
    const CALLS = 6;
    const TIMEOUT_MS = 500;
    let server: Server;
    let proxy: LoopbackProxy;
    let pool: HttpConnectionPool;
    /** Whether answers are delayed, so that each call needs its own connection. */
    let answersWait: boolean;
    let waiting: (() => void)[];

    beforeEach(async () => {
      answersWait = true;
      waiting = [];
      server = createServer((_, response) => {
        const answer = (): void => void response.end('{}');
        if (answersWait) waiting.push(answer);
        else answer();
        if (waiting.length < CALLS) return;
        for (const one of waiting.splice(0)) one();
      });
      await new Promise<void>((resolve) => server.listen(0, HOST, resolve));
      proxy = new LoopbackProxy(HOST, 0, HOST, (server.address() as AddressInfo).port);
      pool = new HttpConnectionPool(`${HOST}:${await proxy.start()}`, CALLS);
    });

    afterEach(() => {
      pool.close();
      proxy.stop();
      server.close();
      server.closeAllConnections();
    });

    function call(): Promise<unknown> {
      return pool.call({ method: 'POST', path: '/', body: '{}', timeoutMs: TIMEOUT_MS });
    }

    it('lose only one call, however many connections were pooled', async () => {
      await Promise.all(Array.from({ length: CALLS }, () => call()));
      answersWait = false;
      proxy.silenceConnections();
      const lost = await call().catch((error: unknown) => String(error));
      expect(lost).to.include('no answer');
      await call();
    });
  });
});
