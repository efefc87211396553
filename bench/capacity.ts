/**
 * Measures how the cost of real processes grows with one parameter at a time, for docs/CAPACITY.md.
 * `npm run capacity [-- SECTION...]` prints lines of JSON: each measurement, and the slope and standard error
 * of each fitted line.
 */
import { setTimeout as sleep } from 'node:timers/promises';

import { createRandom } from '../src/_lib/createRandom.js';
import { ProcessCluster } from './ProcessCluster.js';
import type { ClusterOptions, MemberStats } from './ProcessCluster.js';
import { buildCallerJob, submitUntilAnswered } from './resubmittingCaller.js';

interface Point {
  readonly x: number;
  readonly y: number;
}

/** Line fitted by least squares. */
interface Fit {
  readonly slope: number;
  readonly intercept: number;
  /** Standard error of the slope. */
  readonly error: number;
}

const IDLE_SECONDS = 6;
const LOAD_SECONDS = 6;
const DAEMON_SETTINGS = { decisionLog: true };

/** Rates of one process over an interval. */
interface Rates {
  /** CPU time, ms/s. */
  readonly cpuMs: number;
  readonly rssMiB: number;
  /** Messages sent per second, by type. */
  readonly messages: Readonly<Record<string, number>>;
  readonly sentPerSecond: number;
  readonly bytesPerSecond: number;
}

function fitLine(points: readonly Point[]): Fit {
  const n = points.length;
  const meanX = points.reduce((sum, { x }) => sum + x, 0) / n;
  const meanY = points.reduce((sum, { y }) => sum + y, 0) / n;
  const sxx = points.reduce((sum, { x }) => sum + (x - meanX) ** 2, 0);
  const sxy = points.reduce((sum, { x, y }) => sum + (x - meanX) * (y - meanY), 0);
  const slope = sxy / sxx;
  const intercept = meanY - slope * meanX;
  const residual = points.reduce((sum, { x, y }) => sum + (y - intercept - slope * x) ** 2, 0);
  const error = n > 2 ? Math.sqrt(residual / (n - 2) / sxx) : Number.NaN;
  return { slope, intercept, error };
}

function printFit(name: string, unit: string, points: readonly Point[]): void {
  const { slope, intercept, error } = fitLine(points);
  const roundFigure = (value: number): number => Number(value.toPrecision(3));
  console.log(
    JSON.stringify({
      slope: name,
      unit,
      value: roundFigure(slope),
      error: roundFigure(error),
      intercept: roundFigure(intercept),
      points: points.map(({ x, y }) => [roundFigure(x), roundFigure(y)]),
    }),
  );
}

async function runWithCluster<T>(
  options: ClusterOptions,
  run: (cluster: ProcessCluster) => Promise<T>,
): Promise<T> {
  const cluster = new ProcessCluster({
    ...options,
    entrySettings: { ...DAEMON_SETTINGS, ...options.entrySettings },
    agentSettings: { ...DAEMON_SETTINGS, ...options.agentSettings },
  });
  try {
    await cluster.start();
    await sleep(3_000);
    return await run(cluster);
  } finally {
    await cluster.stop();
  }
}

function computeRates(before: MemberStats, after: MemberStats, seconds: number): Rates {
  const messages: Record<string, number> = {};
  let sent = 0;
  for (const [type, count] of Object.entries(after.sentMessages)) {
    const rate = (count - (before.sentMessages[type] ?? 0)) / seconds;
    messages[type] = rate;
    sent += rate;
  }
  const bytes = Number(after['sentBytes'] ?? 0) - Number(before['sentBytes'] ?? 0);
  const cpuMs = (after.cpuMs - before.cpuMs) / seconds;
  return {
    cpuMs,
    rssMiB: after.rssBytes / 2 ** 20,
    messages,
    sentPerSecond: sent,
    bytesPerSecond: bytes / seconds,
  };
}

async function measureRates(
  cluster: ProcessCluster,
  ids: readonly string[],
  run: () => Promise<void>,
): Promise<Map<string, Rates>> {
  const before = new Map<string, MemberStats>();
  for (const id of ids) before.set(id, await cluster.readStats(id));
  const begin = Date.now();
  await run();
  const seconds = (Date.now() - begin) / 1_000;
  const rates = new Map<string, Rates>();
  for (const id of ids)
    rates.set(id, computeRates(before.get(id) as MemberStats, await cluster.readStats(id), seconds));
  return rates;
}

/** Measures the idle cost of an entry by the number of agents, and of an agent by the number of entries. */
async function measureIdle(): Promise<void> {
  const cpu: Point[] = [];
  const bytes: Point[] = [];
  const memory: Point[] = [];
  for (const agents of [4, 22, 44]) {
    await runWithCluster({ entries: 1, agents }, async (cluster) => {
      const rates = await measureRates(cluster, ['entry-1', 'agent-1'], () => sleep(IDLE_SECONDS * 1_000));
      const entry = rates.get('entry-1') as Rates;
      console.log(JSON.stringify({ idle: { agents, entry, agent: rates.get('agent-1') } }));
      cpu.push({ x: agents, y: entry.cpuMs });
      bytes.push({ x: agents, y: entry.bytesPerSecond });
      memory.push({ x: agents, y: entry.rssMiB });
    });
  }
  printFit('entry, idle CPU time by agents', 'ms/s per agent', cpu);
  printFit('entry, idle bytes sent by agents', 'B/s per agent', bytes);
  printFit('entry, memory by agents', 'MiB per agent', memory);
  const agentCpu: Point[] = [];
  const agentBytes: Point[] = [];
  for (const entries of [1, 4, 8]) {
    await runWithCluster({ entries, agents: 6 }, async (cluster) => {
      const rates = await measureRates(cluster, ['entry-1', 'agent-1'], () => sleep(IDLE_SECONDS * 1_000));
      const agent = rates.get('agent-1') as Rates;
      console.log(JSON.stringify({ idle: { entries, entry: rates.get('entry-1'), agent } }));
      agentCpu.push({ x: entries, y: agent.cpuMs });
      agentBytes.push({ x: entries, y: agent.bytesPerSecond });
    });
  }
  printFit('agent, idle CPU time by entries', 'ms/s per entry', agentCpu);
  printFit('agent, idle bytes sent by entries', 'B/s per entry', agentBytes);
}

const DECLARATION = 'declare event capacity services s kinds k(service = s, deadline = 60s, expected = 10ms)';

/** Sends jobs at a fixed rate (open loop) and waits for all answers. */
async function sendSteadily(
  cluster: ProcessCluster,
  options: { tasksPerSecond: number; tasksPerJob: number; run: string; workMs: number },
): Promise<void> {
  const { tasksPerSecond, tasksPerJob, run, workMs } = options;
  const intervalMs = (1_000 * tasksPerJob) / tasksPerSecond;
  const jobs = Math.floor((LOAD_SECONDS * 1_000) / intervalMs);
  const begin = Date.now();
  const pending: Promise<unknown>[] = [];
  const outcomes = new Map<string, number>();
  for (let number = 0; number < jobs; number += 1) {
    const wait = begin + number * intervalMs - Date.now();
    if (wait > 1) await sleep(wait);
    const work = Array.from({ length: tasksPerJob }, () => workMs);
    const job = buildCallerJob(`${run}-${number}`, 'capacity', 'k', work, 60_000);
    const sent = submitUntilAnswered(job, cluster.entryUrls, { first: number, tries: 1, patienceMs: 60_000 });
    pending.push(sent.then(({ outcome }) => outcomes.set(outcome, (outcomes.get(outcome) ?? 0) + 1)));
  }
  await Promise.all(pending);
  const others = [...outcomes].filter(([outcome]) => outcome !== 'complete');
  if (others.length > 0) console.log(JSON.stringify({ run, outcomes: Object.fromEntries(outcomes) }));
}

/** Measures the cost of a task in an entry and an agent by rate, and of a job by its number of tasks. */
async function measureTasks(): Promise<void> {
  await runWithCluster({ entries: 1, agents: 8, slots: 64 }, async (cluster) => {
    await cluster.runCommand(DECLARATION);
    await sleep(500);
    await sendSteadily(cluster, { tasksPerSecond: 400, tasksPerJob: 20, run: 'warm', workMs: 10 });
    const entryCpu: Point[] = [];
    const agentCpu: Point[] = [];
    const sent: Point[] = [];
    const entryBytes: Point[] = [];
    for (const tasksPerSecond of [200, 600, 1_200, 2_400]) {
      const run = `rate-${tasksPerSecond}`;
      const rates = await measureRates(cluster, ['entry-1', 'agent-1'], () => {
        return sendSteadily(cluster, { tasksPerSecond, tasksPerJob: 20, run, workMs: 10 });
      });
      const entry = rates.get('entry-1') as Rates;
      const agent = rates.get('agent-1') as Rates;
      const perSecond = entry.messages['start'] ?? 0;
      console.log(JSON.stringify({ load: { tasksPerSecond, achieved: perSecond, entry, agent } }));
      entryCpu.push({ x: perSecond, y: entry.cpuMs });
      agentCpu.push({ x: agent.messages['result'] ?? 0, y: agent.cpuMs });
      sent.push({ x: perSecond, y: entry.sentPerSecond });
      entryBytes.push({ x: perSecond, y: entry.bytesPerSecond });
    }
    printFit('entry, CPU time by task starts', 'ms per start', entryCpu);
    printFit('agent, CPU time by task starts', 'ms per start', agentCpu);
    printFit('entry, messages sent by task starts', 'messages per start', sent);
    printFit('entry, bytes sent by task starts', 'B per start', entryBytes);
    const perJob: Point[] = [];
    for (const tasksPerJob of [1, 5, 20, 100]) {
      const run = `width-${tasksPerJob}`;
      const rates = await measureRates(cluster, ['entry-1'], () => {
        return sendSteadily(cluster, { tasksPerSecond: 400, tasksPerJob, run, workMs: 10 });
      });
      const entry = rates.get('entry-1') as Rates;
      const perSecond = entry.messages['start'] ?? 1;
      console.log(JSON.stringify({ width: { tasksPerJob, perSecond, entry } }));
      perJob.push({ x: 1 / tasksPerJob, y: entry.cpuMs / perSecond });
    }
    printFit('entry, CPU time by jobs', 'ms per job (intercept: ms per task)', perJob);
  });
}

/** Measures the heap of an entry, and of an agent with its registrar, by the number of retained jobs. */
async function measureState(): Promise<void> {
  await runWithCluster({ entries: 1, agents: 4, slots: 64 }, async (cluster) => {
    await cluster.runCommand(DECLARATION);
    await sleep(500);
    const entry: Point[] = [];
    const agent: Point[] = [];
    for (let round = 0; round < 5; round += 1) {
      await sendSteadily(cluster, {
        tasksPerSecond: 1_500,
        tasksPerJob: 5,
        run: `state-${round}`,
        workMs: 5,
      });
      await sleep(1_500);
      const entryStats = await cluster.readStats('entry-1');
      const agentStats = await cluster.readStats('agent-1');
      console.log(
        JSON.stringify({
          state: {
            jobs: entryStats['jobs'],
            heapMiB: Number(entryStats['heapBytes']) / 2 ** 20,
            agentJobs: agentStats['jobs'],
            claims: agentStats['claims'],
            agentHeapMiB: Number(agentStats['heapBytes']) / 2 ** 20,
          },
        }),
      );
      if (round === 0) continue;
      entry.push({ x: Number(entryStats['jobs']), y: Number(entryStats['heapBytes']) / 1_024 });
      agent.push({ x: Number(agentStats['jobs']), y: Number(agentStats['heapBytes']) / 1_024 });
    }
    printFit('entry, heap by retained jobs of 5 tasks', 'KiB per job', entry);
    printFit('agent and registrar, heap by retained jobs', 'KiB per job', agent);
  });
}

/** Measures the time until a configuration change is in force everywhere, by the number of processes. */
async function measureConfiguration(): Promise<void> {
  const points: Point[] = [];
  for (const agents of [4, 22, 44]) {
    await runWithCluster({ entries: 2, agents }, async (cluster) => {
      const times: number[] = [];
      for (let round = 0; round < 5; round += 1) {
        const begin = Date.now();
        const { body } = await cluster.runCommand(`declare event c${round} services s kinds k(service = s)`);
        const version = Number(body['version']);
        const ids = [...cluster.listIds('entry'), ...cluster.listIds('agent')];
        await cluster.waitFor(async () => {
          const stats = await Promise.all(ids.map((id) => cluster.readStats(id)));
          return stats.every(({ configOffset }) => configOffset >= version);
        }, 14_000);
        times.push(Date.now() - begin);
      }
      times.sort((left, right) => left - right);
      console.log(JSON.stringify({ configuration: { processes: agents + 2, inForceMs: times } }));
      points.push({ x: agents + 2, y: times[2] as number });
    });
  }
  printFit('time until a configuration change is in force everywhere', 'ms per process', points);
}

/** Measures the time from the kill of a process until all jobs are completed without delay. */
async function measureChurn(): Promise<void> {
  await runWithCluster({ entries: 3, agents: 8 }, async (cluster) => {
    await cluster.runCommand(DECLARATION);
    await sleep(500);
    const random = createRandom(1);
    for (const victim of ['agent-2', 'entry-3', 'agent-5']) {
      const begin = Date.now();
      cluster.signal(victim, 'SIGKILL');
      let number = 0;
      let lastFailureAt = begin;
      const until = begin + 12_000;
      const pending: Promise<void>[] = [];
      const entries = cluster.entryUrls.filter((url) => url !== cluster.url(victim));
      while (Date.now() < until) {
        const sentAt = Date.now();
        const job = buildCallerJob(`churn-${victim}-${number}`, 'capacity', 'k', [10, 10, 10], 10_000);
        const first = Math.floor(random() * entries.length);
        pending.push(
          submitUntilAnswered(job, entries, { first, tries: 1, patienceMs: 10_000 }).then(({ outcome }) => {
            const slow = Date.now() - sentAt > 300;
            if (outcome !== 'complete' || slow) lastFailureAt = Math.max(lastFailureAt, sentAt);
          }),
        );
        number += 1;
        await sleep(10);
      }
      await Promise.all(pending);
      console.log(
        JSON.stringify({ churn: { victim, jobs: number, fullServiceAfterMs: lastFailureAt - begin } }),
      );
      cluster.restart(victim);
      await cluster.waitUntilReady();
      await sleep(2_000);
    }
  });
}

const SECTIONS: Readonly<Record<string, () => Promise<void>>> = {
  idle: measureIdle,
  tasks: measureTasks,
  state: measureState,
  configuration: measureConfiguration,
  churn: measureChurn,
};

const wanted = process.argv.slice(2);
for (const [name, run] of Object.entries(SECTIONS)) {
  if (wanted.length === 0 || wanted.includes(name)) await run();
}
process.exit(0);
