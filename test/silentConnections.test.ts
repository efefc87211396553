/**
 * Open connections went silent for good, without a reset, while new ones worked; most of what was running was stopped
 * or came late, until connections were dialed anew.
 *
 * An executor noticed a silent link by a fixed time that was longer than the one after which it stops what the
 * dispatcher has running there, and the calls to an upstream met one silent connection of the pool after another. The
 * same work without silence, and the logs of links and calls while there was silence, told it from slow processes.
 */
import { createServer } from 'node:http';
import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';

import { expect } from 'chai';

import { HttpConnectionPool } from '../platform/HttpConnectionPool.js';
import { LoopbackProxy } from './fakes/LoopbackProxy.js';
import { PlatformBench } from './fakes/PlatformBench.js';

const HOST = '127.0.0.1';
/**
 * Longer than callers wait, so that all that is derived from it leaves a busy machine time: executors stop what a
 * dispatcher has running there after 0.4 of it, and must have dialed the dispatcher anew by then.
 */
const RESUBMIT_MS = 3_500;
/** Time that queues allow beyond the work, ms. */
const TARGET_LATENCY_MS = 20_000;
const TASKS = 6;
/** Longer than it takes to stop what a silent dispatcher has running. */
const TASK_MS = 4_000;

describe('when open connections go silent', function () {
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

    it('go on with what runs, and tell its ends on new links', async () => {
      const open = bench.submit('entry-1', 'open', TASKS, TASK_MS);
      await bench.waitFor(() => bench.starts.size === TASKS);
      bench.proxies.get('entry-1')?.silenceConnections();
      bench.proxies.get('entry-2')?.silenceConnections();
      expect((await open).body).to.equal('{"state":"completed"}');
      expect([...bench.starts.values()].filter((count) => count !== 1)).to.deep.equal([]);
    });

    it('go on with what runs at upstreams, and start more there', async () => {
      const open = bench.submit('entry-1', 'open', TASKS, TASK_MS);
      await bench.waitFor(() => bench.starts.size === TASKS);
      for (const runner of ['runner-1', 'runner-2', 'runner-3'])
        bench.proxies.get(runner)?.silenceConnections();
      const later = bench.submit('entry-2', 'later', TASKS, 30);
      expect((await open).body).to.equal('{"state":"completed"}');
      expect((await later).body).to.equal('{"state":"completed"}');
      expect([...bench.starts.values()].filter((count) => count !== 1)).to.deep.equal([]);
    });

    it('hear of a new configuration from the store', async () => {
      bench.proxies.get('store')?.silenceConnections();
      bench.putConfiguration(['/q/', '/r/']);
      for (const dispatcher of ['entry-1', 'entry-2']) {
        await bench.waitFor(async () => (await bench.get(dispatcher, '/r/')).status === 200);
      }
    });

    it('find all of them silent at once, and serve again', async () => {
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
    /** Whether answers wait, so that calls need connections of their own. */
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

    it('lose one call, however many connections were kept', async () => {
      await Promise.all(Array.from({ length: CALLS }, () => call()));
      answersWait = false;
      proxy.silenceConnections();
      const lost = await call().catch((error: unknown) => String(error));
      expect(lost).to.include('no answer');
      await call();
    });
  });
});
