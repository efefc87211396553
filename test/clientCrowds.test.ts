/**
 * Clients that do not behave must not end a process, nor fill the memory or the descriptors of its VM; an ordinary
 * client is served. Real processes, started as `deploy/system.toml` says, on the smallest VMs. No assertion depends
 * on speed.
 */
import { setTimeout as sleep } from 'node:timers/promises';

import { expect } from 'chai';

import { ProcessCluster } from '../bench/ProcessCluster.js';
import { ClientCrowd } from './fakes/ClientCrowd.js';
import type { CrowdCase } from './fakes/clientCrowds.js';
import {
  CALLER_CROWDS,
  CUT_CROWD,
  CUT_JOB,
  FULL_CROWDS,
  IDLE_CROWD,
  LINK_CROWDS,
  METRICS_CROWDS,
  OWN_CROWDS,
  READY_CROWDS,
  REPORT_CROWDS,
} from './fakes/clientCrowds.js';
import { PlatformBench } from './fakes/PlatformBench.js';
import type { MachineLimits } from './fakes/readDeployment.js';
import { readProcess } from './fakes/readProcess.js';
import type { ProcessFigures } from './fakes/readProcess.js';

const MEBIBYTE = 1_024 * 1_024;
/** Limits of the smallest VMs, by role. */
const SMALL_VMS = {
  dispatcher: { memory_mb: 160, max_fds: 4_100 },
  executor: { memory_mb: 128, max_fds: 4_096 },
} as const;
/** Descriptors of a VM in the tests with idle connections. */
const FEW_DESCRIPTORS = 400;
/** Limits of a VM of the usual size. */
const USUAL_VM = { memory_mb: 350, max_fds: 4_100 } as const;
/** Memory that the users allow a daemon for control, MB; the bound of the own interface. */
const OWN_MEMORY_MB = 256;
const TARGET_LATENCY_MS = 20_000;
const SAMPLE_MS = 50;
/** A process is calm when it uses less than this share of a core in a span, ms; and how long that is waited for. */
const CALM_MS = 500;
const CALM_SHARE = 0.2;
const MAX_CALM_WAIT_MS = 15_000;

/** An ordinary job whose client sends it in pieces, with a pause after each, ms. */
const SLOW_JOB = [
  'POST /q/slow HTTP/1.1\r\nhost: a.example\r\n',
  'transfer-encoding: chunked\r\n\r\n',
  '14\r\n{"best_effort":true,\r\n',
  'c\r\n"spec":"30",\r\n',
  '23\r\n"steps":[{"cpu":1000,"count":1}]}  \r\n',
  '0\r\n\r\n',
];
const SLOW_PAUSE_MS = 200;

type ListenerName = 'link' | 'front' | 'ready' | 'control' | 'metrics';

/** Highest figures of a process while something goes on. */
async function watchProcess(
  read: () => Promise<ProcessFigures | undefined>,
  run: () => Promise<void>,
): Promise<{ peakMb: number; descriptors: number }> {
  let descriptors = 0;
  let peakBytes = 0;
  const sample = async (): Promise<void> => {
    const figures = await read();
    descriptors = Math.max(descriptors, figures?.descriptors ?? 0);
    peakBytes = Math.max(peakBytes, figures?.peakBytes ?? 0);
  };
  const timer = setInterval(() => void sample(), SAMPLE_MS);
  try {
    await run();
    await sample();
  } finally {
    clearInterval(timer);
  }
  return { peakMb: Math.round(peakBytes / MEBIBYTE), descriptors };
}

/** Waits until a process has handled what was sent, or works on for long; nothing depends on how fast it is. */
async function waitUntilCalm(read: () => Promise<ProcessFigures | undefined>): Promise<void> {
  let cpuMs = (await read())?.cpuMs ?? 0;
  for (let waited = 0; waited < MAX_CALM_WAIT_MS; waited += CALM_MS) {
    await sleep(CALM_MS);
    const figures = await read();
    if (!figures || figures.cpuMs - cpuMs <= CALM_MS * CALM_SHARE) return;
    ({ cpuMs } = figures);
  }
}

describe('a crowd of clients that do not behave', function () {
  this.timeout(180_000);
  let bench: PlatformBench;

  async function startBench(machines: Readonly<Record<string, MachineLimits>>): Promise<void> {
    bench = new PlatformBench(1, 1, TARGET_LATENCY_MS);
    bench.machines = machines;
    await bench.start();
    await bench.waitFor(async () => (await bench.readMetrics('entry-1')) !== '', 'that metrics are served');
  }

  afterEach(async () => {
    await bench.stop();
  });

  /** Lets a crowd send, and checks process, memory, descriptors and an ordinary caller beside and after it. */
  async function check(
    daemon: string,
    limits: MachineLimits,
    crowds: readonly { readonly crowd: CrowdCase; readonly listener: ListenerName }[],
  ): Promise<void> {
    const calm = await bench.readProcess(daemon);
    const opened = crowds.map(({ crowd, listener }) => {
      const clients = new ClientCrowd(bench.findListener(daemon, listener));
      clients.add(crowd.clients, crowd.build, crowd.comesBack);
      return clients;
    });
    const seen = await watchProcess(
      () => bench.readProcess(daemon),
      async () => {
        for (const clients of opened) await clients.settle();
        await waitUntilCalm(() => bench.readProcess(daemon));
        if (!bench.isRunning(daemon)) return;
        await waitForService(bench, 'beside');
        for (const clients of opened) clients.close();
        await waitForService(bench, 'after');
      },
    );
    for (const clients of opened) clients.close();
    const figures = JSON.stringify({ calmMb: Math.round((calm?.residentBytes ?? 0) / MEBIBYTE), ...seen });
    if (process.env['CROWD_FIGURES'] !== undefined) console.log(`        ${figures}`);
    expect(bench.isRunning(daemon), `${daemon} runs, ${figures}`).to.equal(true);
    expect(seen.peakMb, `memory of ${daemon}, MB, ${figures}`).to.be.at.most(limits.memory_mb);
    expect(seen.descriptors, `descriptors of ${daemon}, ${figures}`).to.be.at.most(limits.max_fds);
    expect((await bench.submit('entry-1', 'last', 1, 30)).body).to.equal('{"state":"completed"}');
  }

  const places = [
    { daemon: 'entry-1', listener: 'front', crowds: CALLER_CROWDS },
    { daemon: 'entry-1', listener: 'ready', crowds: READY_CROWDS },
    { daemon: 'entry-1', listener: 'metrics', crowds: METRICS_CROWDS },
    { daemon: 'entry-1', listener: 'link', crowds: LINK_CROWDS },
    { daemon: 'agent-1', listener: 'control', crowds: REPORT_CROWDS },
    { daemon: 'agent-1', listener: 'metrics', crowds: METRICS_CROWDS },
  ] as const;
  for (const { daemon, listener, crowds } of places) {
    const role = daemon === 'entry-1' ? 'dispatcher' : 'executor';
    for (const crowd of crowds) {
      it(`leaves a ${role} within its VM: ${crowd.title} (${listener})`, async () => {
        await startBench(SMALL_VMS);
        await check(daemon, SMALL_VMS[role], [{ crowd, listener }]);
      });
    }
  }

  const idle = [
    { daemon: 'entry-1', role: 'dispatcher', listeners: ['front', 'ready', 'metrics', 'link'] },
    { daemon: 'agent-1', role: 'executor', listeners: ['control', 'metrics'] },
  ] as const;
  for (const { daemon, role, listeners } of idle) {
    it(`leaves a ${role} descriptors: ${IDLE_CROWD.title} at all its addresses`, async () => {
      const limits = { ...SMALL_VMS[role], max_fds: FEW_DESCRIPTORS };
      await startBench({ ...SMALL_VMS, [role]: limits });
      const crowds = listeners.map((listener) => ({ crowd: IDLE_CROWD, listener }));
      await check(daemon, limits, crowds);
    });
  }

  it('starts no job whose body was cut off, serves a slow client beside the crowd, and releases its memory', async () => {
    await startBench(SMALL_VMS);
    const crowd = new ClientCrowd(bench.findListener('entry-1', 'front'));
    crowd.add(CUT_CROWD.clients, CUT_CROWD.build);
    await crowd.settle();
    const [job = '', ...parts] = SLOW_JOB;
    const slow = bench.openCaller('entry-1', job);
    let answer = '';
    slow.on('data', (bytes) => (answer += bytes.toString()));
    slow.on('error', () => undefined);
    for (const part of parts) {
      await sleep(SLOW_PAUSE_MS);
      slow.write(part);
    }
    await bench.waitFor(() => answer !== '', 'that the slow client is answered');
    expect(answer).to.match(/^HTTP\/1\.1 200 /);
    expect([...crowd.statuses.keys()].filter((status) => status !== '503')).to.deep.equal([]);
    expect(crowd.closed, 'closed connections of the crowd').to.be.above(0);
    crowd.close();
    slow.destroy();
    await bench.waitFor(async () => (await readGauge('dispatcher_input_connections')) <= 5, 'the release');
    expect(await readGauge('dispatcher_input_bytes')).to.be.below(MEBIBYTE);
    await bench.waitUntilIdle();
    expect([...bench.starts.keys()].filter((task) => task.startsWith(CUT_JOB))).to.deep.equal([]);
  });

  async function readGauge(name: string): Promise<number> {
    const metrics = await bench.readMetrics('entry-1');
    return Number(new RegExp(`^${name} (\\S+)$`, 'm').exec(metrics)?.[1] ?? NaN);
  }

  for (const crowd of FULL_CROWDS) {
    it(`leaves a dispatcher within its VM: ${crowd.title}`, async () => {
      await startBench({ ...SMALL_VMS, dispatcher: USUAL_VM });
      await check('entry-1', USUAL_VM, [{ crowd, listener: 'front' }]);
    });
  }
});

/** Submits ordinary jobs until one is answered, as a caller does that comes again. */
async function waitForService(bench: PlatformBench, name: string): Promise<void> {
  let tries = 0;
  await bench.waitFor(async () => {
    if (!bench.isRunning('entry-1')) return true;
    tries += 1;
    return (await bench.submit('entry-1', `${name}-${tries}`, 1, 30)).status === 200;
  }, `that an ordinary caller ${name} the crowd is answered`);
}

describe('a crowd of clients that do not behave, at the own interface', function () {
  this.timeout(180_000);
  let cluster: ProcessCluster;

  beforeEach(async () => {
    cluster = new ProcessCluster({ entries: 1, agents: 1 });
    await cluster.start();
  });

  afterEach(async () => {
    await cluster.stop();
  });

  for (const id of ['entry-1', 'agent-1']) {
    for (const crowd of OWN_CROWDS) {
      it(`leaves ${id} within the memory of a daemon: ${crowd.title}`, async () => {
        const { hostname, port } = new URL(cluster.url(id));
        const clients = new ClientCrowd({ host: hostname, port: Number(port) });
        const pid = cluster.members.get(id)?.child.pid ?? 0;
        clients.add(crowd.clients, crowd.build);
        const seen = await watchProcess(
          () => readProcess(pid),
          async () => {
            await clients.settle();
            await waitUntilCalm(() => readProcess(pid));
          },
        );
        const isServing = async (): Promise<boolean> =>
          (await cluster.readStats('entry-1')).state === 'ready';
        if (process.env['CROWD_FIGURES'] !== undefined) console.log(`        ${JSON.stringify(seen)}`);
        expect(await readProcess(pid), `${id} runs, ${JSON.stringify(seen)}`).to.not.equal(undefined);
        expect(seen.peakMb, `memory of ${id}, MB`).to.be.at.most(OWN_MEMORY_MB);
        await cluster.waitFor(isServing, 30_000);
        clients.close();
        expect((await cluster.runCommand('list events')).status).to.equal(200);
      });
    }
  }
});
