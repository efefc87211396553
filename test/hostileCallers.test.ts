/** Invalid and abusive requests must not harm a real dispatcher or other jobs. */
import type { Socket } from 'node:net';

import { expect } from 'chai';

import { DEADLINE_HEADER } from '../platform/names.js';
import { PlatformBench } from './fakes/PlatformBench.js';

const TARGET_LATENCY_MS = 20_000;
/** Connection limit of the dispatcher in the last tests. */
const MAX_CONNECTIONS = 50;
/** Duration of the job that is open meanwhile, ms. */
const OPEN_JOB_MS = 600;

interface HostileBody {
  readonly title: string;
  readonly body: unknown;
  readonly status: number;
  /** Expected pointer of a finding in the answer. */
  readonly pointer: string;
}

const STEP = { count: 1, cpu: 1_000, mem_mb: 10, estimate_ms: 30 };

const BODIES: readonly HostileBody[] = [
  { title: 'a step that is null', body: { steps: [null] }, status: 400, pointer: '/steps/0' },
  {
    title: 'fifty million tasks',
    body: { steps: [{ count: 5e7, cpu: 100 }] },
    status: 413,
    pointer: '/steps',
  },
  {
    title: 'more steps than are taken',
    body: { steps: Array.from({ length: 300 }, () => STEP) },
    status: 413,
    pointer: '/steps',
  },
  {
    title: 'an amount that is text',
    body: { steps: [{ ...STEP, cpu: 'y' }] },
    status: 400,
    pointer: '/steps/0/cpu',
  },
  {
    title: 'a step that waits for itself',
    body: { steps: [{ ...STEP, after: [0] }] },
    status: 400,
    pointer: '/steps/0/after/0',
  },
  {
    title: 'a text that is an object',
    body: { spec: { a: 1 }, steps: [STEP] },
    status: 400,
    pointer: '/spec',
  },
  {
    title: 'a text that is too long',
    body: { spec: 'x'.repeat(4_001), steps: [STEP] },
    status: 400,
    pointer: '/spec',
  },
  {
    title: 'a number in place of a list',
    body: { steps: [{ ...STEP, after: 3 }] },
    status: 400,
    pointer: '/steps/0/after',
  },
  {
    title: 'less than nothing of an amount',
    body: { steps: [{ ...STEP, cpu: -500_000 }] },
    status: 400,
    pointer: '/steps/0/cpu',
  },
  {
    title: 'less than no tasks',
    body: { steps: [{ ...STEP, count: -1 }] },
    status: 400,
    pointer: '/steps/0/count',
  },
  {
    title: 'half a task',
    body: { steps: [{ ...STEP, count: 1.5 }] },
    status: 400,
    pointer: '/steps/0/count',
  },
];

describe('a dispatcher with hostile callers', function () {
  this.timeout(120_000);
  let bench: PlatformBench;

  before(async () => {
    bench = new PlatformBench(1, 3, TARGET_LATENCY_MS);
    await bench.start();
  });

  after(async () => {
    await bench.stop();
  });

  for (const { title, body, status, pointer } of BODIES) {
    it(`refuses ${title}, reports its position, and serves other jobs`, async () => {
      const victim = bench.submit('entry-1', `victim-${title.length}-${pointer.length}`, 1, OPEN_JOB_MS);
      const whole = { best_effort: true, ...(body as object) };
      const answer = await bench.post('entry-1', '/q/hostile', whole, 3_000);
      expect(answer.status, answer.body).to.equal(status);
      const findings = (JSON.parse(answer.body) as { findings: { pointer: string }[] }).findings;
      expect(findings.map((finding) => finding.pointer)).to.include(pointer);
      expect((await bench.get('entry-1', '/q/')).status).to.equal(200);
      expect((await victim).body).to.equal('{"state":"completed"}');
      expect(bench.isRunning('entry-1')).to.equal(true);
    });
  }

  it('takes no job whose id is longer than any id, and knows none', async () => {
    const url = `/q/${'f'.repeat(129)}`;
    expect((await bench.post('entry-1', url, { best_effort: true, steps: [STEP] })).status).to.equal(400);
    expect((await bench.get('entry-1', url)).status).to.equal(410);
    expect((await bench.cancel('entry-1', 'f'.repeat(129))).status).to.equal(410);
    expect((await bench.submit('entry-1', 'f'.repeat(128), 1, 30)).status).to.equal(200);
  });

  it('closes idle connections, and those with an incomplete header or body', async () => {
    bench.putConfiguration(['/q/'], { header_timeout_ms: 400, idle_timeout_ms: 400 });
    await bench.waitFor(async () => {
      const slow = [
        bench.openCaller('entry-1', ''),
        bench.openCaller('entry-1', 'POST /q/slow HTTP/1.1\r\nhost: a.example\r\n'),
        bench.openCaller(
          'entry-1',
          'POST /q/slow HTTP/1.1\r\nhost: a.example\r\ncontent-length: 90\r\n\r\n{',
        ),
      ];
      await Promise.all(slow.map((socket) => waitForClose(socket)));
      return true;
    });
    expect((await bench.submit('entry-1', 'after-slow', 1, 30)).status).to.equal(200);
  });
});

/** Work of the jobs whose caller leaves, and its patience, ms; longer than a test waits. */
const LEFT_JOB_MS = 50_000;
const LEFT_PATIENCE_MS = 60_000;

describe('a caller that sends several jobs at once', function () {
  this.timeout(120_000);
  let bench: PlatformBench;

  before(async () => {
    bench = new PlatformBench(1, 1, TARGET_LATENCY_MS);
    await bench.start();
  });

  after(async () => {
    await bench.stop();
  });

  // Only the first job was noticed to be abandoned, and the others ran on, beside what the caller submitted again.
  it('leaves no task running when it leaves', async () => {
    const spec = String(LEFT_JOB_MS);
    const steps = [{ ...STEP, estimate_ms: LEFT_JOB_MS }];
    const body = JSON.stringify({ best_effort: true, spec, steps });
    const fields = `host: a.example\r\n${DEADLINE_HEADER}: ${LEFT_PATIENCE_MS}\r\ncontent-length: ${body.length}`;
    const requests = ['one', 'two', 'three'].map(
      (job) => `POST /q/${job} HTTP/1.1\r\n${fields}\r\n\r\n${body}`,
    );
    const caller = bench.openCaller('entry-1', requests.join(''));
    caller.on('error', () => undefined);
    await bench.waitFor(() => bench.starts.size === 3, 'that all jobs run');
    caller.destroy();
    await bench.waitUntilIdle();
    for (const job of ['one', 'two', 'three']) {
      expect((await bench.get('entry-1', `/q/${job}`)).status, job).to.equal(410);
    }
  });
});

describe('a dispatcher at its connection limit', function () {
  this.timeout(120_000);
  let bench: PlatformBench;

  before(async () => {
    bench = new PlatformBench(1, 1, TARGET_LATENCY_MS);
    bench.extraSettings = { maxConnections: MAX_CONNECTIONS };
    await bench.start();
  });

  after(async () => {
    await bench.stop();
  });

  it('closes connections beyond its limit at once, and serves again when idle ones have timed out', async () => {
    bench.putConfiguration(['/q/'], { header_timeout_ms: 400, idle_timeout_ms: 400 });
    const open = Array.from({ length: 4 * MAX_CONNECTIONS }, () => bench.openCaller('entry-1', ''));
    await Promise.all(open.map((socket) => waitForClose(socket)));
    expect((await bench.submit('entry-1', 'later', 1, 30)).body).to.equal('{"state":"completed"}');
  });

  it('refuses a job beyond the limit of open jobs with a retry-after header', async () => {
    bench.signal('entry-1', 'SIGKILL');
    await bench.waitForExit('entry-1');
    bench.extraSettings = { maxOpenJobs: 1 };
    await bench.startDaemon('entry-1');
    await bench.waitUntilReady('entry-1');
    const caller = new AbortController();
    void bench.submit('entry-1', 'open', 1, 15_000, 20_000, caller.signal);
    await bench.waitFor(() => bench.starts.size > 1);
    const refused = await bench.submit('entry-1', 'beyond', 1, 30);
    expect([refused.status, refused.retryAfter]).to.deep.equal([503, '1']);
    caller.abort();
    await bench.waitUntilIdle();
    expect([...bench.starts.keys()].some((task) => task.startsWith('beyond'))).to.equal(false);
  });
});

function waitForClose(socket: Socket): Promise<void> {
  return new Promise((resolve) => {
    socket.on('error', () => undefined);
    socket.on('close', () => resolve());
    socket.resume();
  });
}
