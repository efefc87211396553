/**
 * Odd entries of other writers, at each place where processes read what others may leave: reports at executors, records
 * of the store, answers of upstreams, messages on links. The processes live, serve ordinary jobs, and follow the sound
 * entries that come later, also after a restart.
 */
import { expect } from 'chai';
import { setTimeout as sleep } from 'node:timers/promises';

import { DEREGISTER_PREFIX, HEARTBEAT_PREFIX } from '../platform/names.js';
import type { RunnerStandin } from '../standins/protocol/RunnerStandin.js';
import { buildNested, buildNestedObjects, buildOddEntries } from './fakes/oddEntries.js';
import { PlatformBench } from './fakes/PlatformBench.js';

const TARGET_LATENCY_MS = 20_000;
const TASK_CPU = 1_000;
/** More tasks than fit an upstream. */
const WIDE = 6;
const TASK_MS = 100;
/** Largest sizes of a report, a stored record, an answer and a line of a link, bytes. */
const MAX_REPORT_BYTES = 65_536;
const MAX_RECORD_BYTES = 262_144;
const MAX_ANSWER_BYTES = 1_000_000;
const MAX_LINE_BYTES = 4 * 1_024 * 1_024;
const LARGEST = Number.MAX_SAFE_INTEGER;

describe('odd entries', function () {
  this.timeout(180_000);
  let bench: PlatformBench;
  let jobs = 0;

  beforeEach(async () => {
    bench = new PlatformBench(2, 1, TARGET_LATENCY_MS);
    await bench.start();
  });

  afterEach(async () => {
    const { beyondCapacity, doubled } = bench;
    await bench.stop();
    expect(doubled).to.deep.equal([]);
    expect(beyondCapacity).to.deep.equal([]);
  });

  function findRunner(): RunnerStandin {
    const [runner] = bench.runners;
    if (!runner) throw new Error('no upstream was started');
    return runner;
  }

  /** Submits ordinary jobs at each dispatcher; returns the most tasks that ran at the same time. */
  async function serveJobs(what: string): Promise<number> {
    bench.maxRunning = 0;
    for (const dispatcher of ['entry-1', 'entry-2']) {
      jobs += 1;
      const { status, body } = await bench.submit(dispatcher, `job${jobs}`, WIDE, TASK_MS);
      expect(status, `${what}: ${body}`).to.equal(200);
    }
    return bench.maxRunning;
  }

  function checkRunning(what: string): void {
    for (const id of ['entry-1', 'entry-2', 'agent-1'])
      expect(bench.isRunning(id), `${id} after ${what}`).to.equal(true);
  }

  async function restart(id: string): Promise<void> {
    bench.signal(id, 'SIGKILL');
    await bench.waitForExit(id);
    await bench.startDaemon(id);
    for (const dispatcher of ['entry-1', 'entry-2']) await bench.waitUntilReady(dispatcher);
  }

  /** Checks that processes live, serve jobs and follow a smaller capacity, now and after a restart of each. */
  async function checkFollowed(what: string): Promise<void> {
    checkRunning(what);
    await serveJobs(what);
    findRunner().reportedCpu = TASK_CPU;
    await sleep(1_000);
    expect(await serveJobs(`${what}, shrunk`)).to.equal(1);
    for (const id of ['agent-1', 'entry-1']) {
      await restart(id);
      await sleep(1_000);
      expect(await serveJobs(`${what}, ${id} restarted`)).to.equal(1);
    }
    findRunner().reportedCpu = 3 * TASK_CPU;
    await sleep(1_000);
    expect(await serveJobs(`${what}, grown`)).to.be.within(2, 3);
    checkRunning(what);
  }

  async function sendOddReports(id: string): Promise<void> {
    const runner = findRunner();
    const entry = runner.buildHeartbeat();
    for (const text of buildOddEntries(entry, MAX_REPORT_BYTES))
      await bench.sendReport('agent-1', `${HEARTBEAT_PREFIX}${id}`, text);
    for (const change of [{ call_seq: LARGEST }, { clock_ms: 9_000_000_000 }, { born: Date.now() * 2 }])
      await bench.sendHeartbeat('agent-1', id, { ...runner.buildHeartbeat(), ...change });
    checkRunning(`reports as ${id}`);
  }

  for (const tellsBirth of [true, false]) {
    // Guards against an upstream whose reports are skipped for good after one with a far too high number.
    it(`among the reports at an executor are passed over, ${tellsBirth ? 'with' : 'without'} start times`, async () => {
      findRunner().tellsBirth = tellsBirth;
      await restart('agent-1');
      await sleep(1_000);
      for (const id of ['i-1', 'i-9', '', 'a'.repeat(5_000), '%00', 'i-1/../..']) await sendOddReports(id);
      for (const text of [
        '',
        'null',
        '[]',
        `{"born":${LARGEST}}`,
        `{"born":1e400}`,
        buildNested(MAX_REPORT_BYTES),
      ])
        await bench.sendReport('agent-1', `${DEREGISTER_PREFIX}i-9`, text);
      await sleep(1_000);
      await checkFollowed('odd reports');
    });
  }

  it('in the store of reports are passed over', async () => {
    const sound = JSON.parse(bench.store.keptValues[0] ?? '{}') as Record<string, unknown>;
    const texts = [
      ...buildOddEntries(sound, MAX_RECORD_BYTES).filter((text) =>
        /cpuMilli":1e400|99999|:0"|^\[|unknown":\[|clockMs":9007199254740991|sequence":9007199254740991|bornAt":9007199254740991/.test(
          text,
        ),
      ),
      JSON.stringify({ ...sound, id: '' }),
      JSON.stringify({ ...sound, id: 'i-9', address: '127.0.0.1:9' }),
      JSON.stringify({ ...sound, capacity: { cpuMilli: 1_000_000_000, memoryMb: 1_000_000_000, gpus: 0 } }),
      JSON.stringify({ ...sound, bornAt: Date.now() * 2 }),
      JSON.stringify({ ...sound, sequence: 2 ** 52, clockMs: 9_000_000_000 }),
    ];
    for (const [at, text] of texts.entries()) {
      bench.store.replaceKept(text);
      bench.signal('agent-1', 'SIGKILL');
      await bench.waitForExit('agent-1');
      await bench.startDaemon('agent-1');
      await serveJobs(`record ${at}: ${text.slice(0, 80)}`);
    }
    await checkFollowed('odd records');
  });

  it('among the records of the operators are passed over', async () => {
    const { store } = bench;
    const configuration = {
      version: 1_000,
      routes: [{ name: 'q', host: 'a.example', path_prefix: '/q/', service: 's' }],
    };
    for (const text of buildOddEntries(configuration, MAX_RECORD_BYTES)) {
      if (/"version":(-?[0-9.]+(e308)?)[,}]/.test(text) && !text.includes(String(LARGEST))) continue;
      store.writeRecord('config', text === '' ? 'null' : text);
    }
    for (const text of [buildNested(MAX_RECORD_BYTES), buildNestedObjects(MAX_RECORD_BYTES), '1e400'])
      store.writeRecord('evacuate/nowhere', text);
    await sleep(1_000);
    bench.version = 1_100;
    bench.putConfiguration(['/q/', '/r/']);
    await bench.waitFor(
      async () => (await bench.get('entry-1', '/r/')).status === 200,
      'that the next configuration is in force',
    );
    await checkFollowed('odd records of operators');
  });

  it('in the answers of an upstream cost no more than that answer', async () => {
    const runner = findRunner();
    const { clock_ms: clockMs, born } = runner.buildHeartbeat() as { clock_ms: number; born: number };
    const row = [5, 'job.0.0.0', 1, 'done', ''];
    const sound = { clock_ms: clockMs, born, running: [['other.0.0.0', 1, '', 50, 0]], ended: [row] };
    const texts = buildOddEntries(sound, MAX_ANSWER_BYTES).filter(
      (text) => !text.includes('"ended":[[1000000'),
    );
    for (const text of texts) {
      runner.oddAnswers.push(text);
      await bench.waitFor(() => runner.oddAnswers.length === 0, 'that the odd answer was read');
    }
    await sleep(1_000);
    await checkFollowed('odd answers');
  });

  it('on links cost no more than that link', async () => {
    const place = { address: '127.0.0.1:9', failureDomain: 'x' };
    const hello = { type: 'entry-hello', entry: 'odd', place };
    const name = { job: 'odd', step: 0, index: 0, attempt: 1 };
    const executorHello = {
      type: 'agent-hello',
      agent: 'agent-1',
      life: `agent-1@zzzzzzzz-00`,
      failureDomain: 'default',
      holding: [name],
      entryLife: '',
      results: [],
      orphanMs: 500,
      linkNumber: 3,
    };
    const capacity = { cpuMilli: 4_000, memoryMb: 10, gpus: 0 };
    const description = { upstream: 'i-1', service: 'nobody', labels: ['a'], capacity };
    const room = { description, state: 'ready', trust: 'healthy', free: capacity, startsSeen: 0, speed: 1 };
    const messages: Record<string, unknown>[] = [
      hello,
      { type: 'members', entries: [place] },
      { type: 'ping', at: 5, version: 1, emptiedRevision: 1, echoMs: 1, room },
      { type: 'cancelled', jobs: [{ job: 'odd', ageMs: 5 }] },
      {
        type: 'suspects',
        tasks: [{ job: 'odd', step: 0, index: 0, revision: 1, crashes: 1, blames: 1, proofs: 0 }],
      },
      { type: 'configuration-summary', version: 1, services: ['service'], length: 10 },
      { type: 'configuration-piece', version: 1, position: 0, length: 10, text: 'x' },
      { type: 'configuration', configuration: { version: 1, routes: [], limits: {} } },
      { type: 'emptied', emptied: { revision: 0, domains: ['nowhere'] } },
      {
        type: 'crashes',
        tasks: [{ job: 'odd', step: 0, index: 0, estimateMs: 1, ranMs: 1, isIsolated: false }],
      },
    ];
    const sender = new OddSender(bench);
    for (const message of messages) {
      for (const text of buildOddEntries(message, 20_000)) {
        if (isPlausibleVersion(text)) continue;
        sender.add([JSON.stringify(hello), text]);
        sender.add([JSON.stringify(executorHello), text]);
      }
    }
    for (const text of buildOddEntries(executorHello, 20_000))
      sender.add([text, JSON.stringify(messages[2])]);
    for (const text of [
      buildNested(MAX_LINE_BYTES),
      `{"type":"members","entries":[${'1,'.repeat(2_000_000)}1]}`,
    ])
      sender.add([JSON.stringify(hello), text]);
    const suspects = `{"type":"suspects","tasks":[{"job":"odd","step":0,"index":0,"revision":9,"crashes":1,"blames":1,"proofs":0,"x":${buildNested(100_000)}}]}`;
    sender.add([JSON.stringify(hello), suspects]);
    await sender.sendAll();
    await sleep(1_000);
    checkRunning('odd messages');
    await checkFollowed('odd messages');
  });
});

/** Version far ahead of all others, which later ones could follow. */
const FAR_VERSION = 1_000_000_000;
/** Time within which a configuration of the store must be in force, ms. */
const APPLY_MS = 2_000;

describe('a configuration of another writer, of a version far ahead', function () {
  this.timeout(60_000);
  let bench: PlatformBench;

  beforeEach(async () => {
    bench = new PlatformBench(2, 1, TARGET_LATENCY_MS);
    await bench.start();
  });

  afterEach(() => bench.stop());

  async function checkNextInForce(): Promise<void> {
    await sleep(1_000);
    bench.putConfiguration(['/q/', '/r/']);
    await sleep(APPLY_MS);
    expect((await bench.get('entry-2', '/r/')).status).to.equal(200);
    expect((await bench.submit('entry-2', 'after', 1, TASK_MS)).status).to.equal(200);
  }

  it('in the store does not keep out the next one', async () => {
    bench.store.writeRecord('config', JSON.stringify({ version: FAR_VERSION, routes: [] }));
    await checkNextInForce();
  });

  it('on a link does not keep out the next one of the store', async () => {
    const place = { address: '127.0.0.1:9', failureDomain: 'x' };
    const limits = { maxBodyBytes: 9_999, headerTimeoutMs: 999, idleTimeoutMs: 999 };
    const messages = [
      { type: 'entry-hello', entry: 'odd', place },
      { type: 'configuration', configuration: { version: FAR_VERSION, routes: [], limits } },
    ];
    await bench.sendLines(
      'entry-1',
      messages.map((message) => JSON.stringify(message)),
    );
    await checkNextInForce();
  });
});

/** Whether an odd message names a version that later ones could follow, and would be adopted as the newest. */
function isPlausibleVersion(text: string): boolean {
  return /"(version|revision)":[0-9]{4,}/.test(text) && !/:(9007199254740991|9007199254740992)/.test(text);
}

/** Sends lines on many links, some at a time. */
class OddSender {
  private readonly links: (readonly string[])[] = [];

  constructor(private readonly bench: PlatformBench) {}

  add(lines: readonly string[]): void {
    this.links.push(lines);
  }

  async sendAll(): Promise<void> {
    const sendNext = async (): Promise<void> => {
      for (let lines = this.links.pop(); lines; lines = this.links.pop())
        await this.bench.sendLines('entry-1', lines);
    };
    await Promise.all(Array.from({ length: 16 }, sendNext));
  }
}
