/** Runs a load plan against separate processes and reads their counters before and after. */
import { buildReport } from '../src/load/buildReport.js';
import type { LoadReport, ProcessCounts } from '../src/load/buildReport.js';
import { createPlan } from '../src/load/createPlan.js';
import type { PlanOptions } from '../src/load/createPlan.js';
import { POLICIES } from '../src/load/policies.js';
import { buildDeclareCommand } from '../src/load/profile.js';
import { runPlan } from '../src/load/runPlan.js';
import { rankByWork, scheduleIdeal } from '../src/load/scheduleIdeal.js';
import { ProcessCluster } from './ProcessCluster.js';

/** Time from the declaration of the event to its start, ms. */
const LEAD_MS = 1_500;

/** Total work of the warm-up, in seconds of all slots. */
const WARM_UP_SECONDS = 3;

/** Load plan, policy and cluster sizes of a run. */
export interface RunSizes extends Omit<PlanOptions, 'slots'> {
  readonly policy: string;
  readonly entries: number;
  readonly agents: number;
  readonly slotsPerAgent: number;
}

/** Starts a cluster with the settings of the policy, runs a warm-up and the plan, and builds the report. */
export async function measureRun(sizes: RunSizes): Promise<LoadReport> {
  const settings = POLICIES[sizes.policy] ?? { entry: {}, agent: {} };
  const { entries, agents, slotsPerAgent } = sizes;
  const daemons = { entrySettings: settings.entry, agentSettings: settings.agent };
  const cluster = new ProcessCluster({ entries, agents, slots: slotsPerAgent, ...daemons });
  try {
    await cluster.start();
    // The code is compiled during the warm-up rather than by the first measured requests.
    const warmUp = {
      ...sizes,
      shape: 'steady',
      utilization: 0.5,
      workSeconds: WARM_UP_SECONDS,
      seed: 0,
    } as const;
    await runOnCluster(cluster, warmUp, 'warm-up');
    return await runOnCluster(cluster, sizes, `run-${sizes.policy}-${sizes.seed}`);
  } finally {
    await cluster.stop();
  }
}

/** Runs a plan against a running cluster. */
export async function runOnCluster(
  cluster: ProcessCluster,
  sizes: RunSizes,
  runId: string,
): Promise<LoadReport> {
  const { profile, policy, deadlineMs } = sizes;
  const slots = sizes.agents * sizes.slotsPerAgent;
  const jobs = createPlan({ ...sizes, slots });
  const startAt = Date.now() + LEAD_MS;
  const times = deadlineMs === undefined ? { startAt } : { startAt, deadlineMs };
  const declared = await cluster.runCommand(buildDeclareCommand(profile, runId, times));
  if (declared.status !== 200) throw new Error(JSON.stringify(declared));
  const before = await readCounts(cluster);
  const outcomes = await runPlan(jobs, { entries: cluster.entryUrls, event: runId, startAt, runId });
  const counts = subtractCounts(await readCounts(cluster), before);
  const ideal = scheduleIdeal(jobs, slots);
  const leastWork = scheduleIdeal(jobs, slots, rankByWork);
  const starts = new Map([...(await cluster.readStarts())].filter(([task]) => task.startsWith(`${runId}-`)));
  const intervals = await readIntervals(cluster);
  return buildReport({ policy, jobs, outcomes, ideal, leastWork, counts, slots, starts, intervals, startAt });
}

async function readIntervals(cluster: ProcessCluster): Promise<[number, number][]> {
  const lists = cluster.listIds('upstream').map((id) => cluster.read<[number, number][]>(id, '/intervals'));
  return (await Promise.all(lists)).flat();
}

async function readCounts(cluster: ProcessCluster): Promise<ProcessCounts> {
  const messages: Record<string, number> = {};
  const cpu = { entry: 0, agent: 0 };
  let maxRssBytes = 0;
  for (const role of ['entry', 'agent'] as const) {
    for (const id of cluster.listIds(role)) {
      const stats = await cluster.readStats(id);
      cpu[role] += stats.cpuMs;
      maxRssBytes = Math.max(maxRssBytes, stats.rssBytes);
      for (const [type, count] of Object.entries(stats.sentMessages))
        messages[type] = (messages[type] ?? 0) + count;
    }
  }
  return { messages, entryCpuMs: cpu.entry, agentCpuMs: cpu.agent, maxRssBytes };
}

function subtractCounts(after: ProcessCounts, before: ProcessCounts): ProcessCounts {
  const messages = Object.fromEntries(
    Object.entries(after.messages).map(([type, count]) => [type, count - (before.messages[type] ?? 0)]),
  );
  const entryCpuMs = after.entryCpuMs - before.entryCpuMs;
  const agentCpuMs = after.agentCpuMs - before.agentCpuMs;
  return { ...after, messages, entryCpuMs, agentCpuMs };
}
