/** Runs a load against a cluster inside this process. */
import { LocalCluster } from '../process/LocalCluster.js';
import { createPlan } from './createPlan.js';
import type { PlanOptions } from './createPlan.js';
import { buildReport } from './buildReport.js';
import type { LoadReport, ProcessCounts } from './buildReport.js';
import { POLICIES } from './policies.js';
import { buildDeclareCommand } from './profile.js';
import { runPlan } from './runPlan.js';
import { rankByWork, scheduleIdeal } from './scheduleIdeal.js';

/** Delay from the declaration to the event's start, ms, so that every process has received it. */
const START_DELAY_MS = 1_500;
const EVENT_NAME = 'load';

/** Plan, policy and cluster size of a run. */
export interface EmbeddedOptions extends Omit<PlanOptions, 'slots'> {
  readonly policy: string;
  readonly entries: number;
  readonly agents: number;
  readonly slotsPerAgent: number;
}

/**
 * Starts a cluster, runs one plan against it and builds the report.
 *
 * @param options - plan, policy and cluster size
 * @returns the report
 */
export async function runEmbedded(options: EmbeddedOptions): Promise<LoadReport> {
  const { policy, entries, agents, slotsPerAgent, profile } = options;
  const settings = POLICIES[policy] ?? { entry: {}, agent: {} };
  const sink = (): void => undefined;
  const sizes = { entries, agents, slots: slotsPerAgent, connections: Math.max(64, slotsPerAgent), port: 0 };
  const daemons = { entrySettings: settings.entry, agentSettings: settings.agent };
  const cluster = new LocalCluster({ ...sizes, logLevel: 'info', sink, ...daemons });
  await cluster.start();
  try {
    const slots = agents * slotsPerAgent;
    const jobs = createPlan({ ...options, slots });
    const startAt = Date.now() + START_DELAY_MS;
    const { deadlineMs } = options;
    await cluster.runCommand(
      buildDeclareCommand(
        profile,
        EVENT_NAME,
        deadlineMs === undefined ? { startAt } : { startAt, deadlineMs },
      ),
    );
    const before = readCounts(cluster);
    const urls = cluster.entries.map((_, index) => cluster.buildEntryUrl(index));
    const runId = `run-${options.seed}-${policy}`;
    const outcomes = await runPlan(jobs, { entries: urls, event: EVENT_NAME, startAt, runId });
    const after = readCounts(cluster);
    const ideal = scheduleIdeal(jobs, slots);
    const leastWork = scheduleIdeal(jobs, slots, rankByWork);
    const counts = subtractCounts(after, before);
    const intervals = cluster.upstreams.flatMap((upstream) => upstream.busyIntervals);
    const starts = await cluster.readStarts();
    return buildReport({
      policy,
      jobs,
      outcomes,
      ideal,
      leastWork,
      counts,
      slots,
      starts,
      intervals,
      startAt,
    });
  } finally {
    await cluster.end();
  }
}

function readCounts(cluster: LocalCluster): ProcessCounts {
  const messages: Record<string, number> = {};
  for (const { hub } of [...cluster.entries, ...cluster.agents]) {
    for (const [type, count] of hub.counts.messages) messages[type] = (messages[type] ?? 0) + count;
  }
  const { user, system } = process.cpuUsage();
  const maxRssBytes = process.memoryUsage.rss();
  return { messages, entryCpuMs: (user + system) / 1_000, agentCpuMs: 0, maxRssBytes };
}

function subtractCounts(after: ProcessCounts, before: ProcessCounts): ProcessCounts {
  const messages = Object.fromEntries(
    Object.entries(after.messages).map(([type, count]) => [type, count - (before.messages[type] ?? 0)]),
  );
  return { ...after, messages, entryCpuMs: after.entryCpuMs - before.entryCpuMs };
}
