/** Compares policies under a burst of jobs at the start of an event: `npm run bench -- burst`. */
import type { LoadReport } from '../src/load/buildReport.js';
import { PROFILES } from '../src/load/profile.js';
import type { ProfileName } from '../src/load/profile.js';
import { measureRun } from './measureRun.js';

/** Deadline, ms; long enough that no job is refused for it. */
const BURST_DEADLINE_MS = 300_000;

export interface BurstOptions {
  readonly seconds: number;
  readonly policies: readonly string[];
  readonly profiles: readonly ProfileName[];
  readonly rounds: number;
}

/** Runs one burst per profile, round and policy, and prints a line of JSON for each. */
export async function benchBurst(options: BurstOptions): Promise<void> {
  for (const profile of options.profiles) {
    for (let round = 1; round <= options.rounds; round += 1) {
      for (const policy of options.policies) {
        const report = await measureRun({
          policy,
          profile: PROFILES[profile],
          shape: 'burst',
          seed: round,
          workSeconds: options.seconds,
          utilization: 1,
          deadlineMs: BURST_DEADLINE_MS,
          entries: 2,
          agents: 11,
          slotsPerAgent: 8,
        });
        console.log(JSON.stringify({ profile, round, ...summarize(report) }));
      }
    }
  }
}

/** Selects and rounds the main figures of a report. */
export function summarize(report: LoadReport): Record<string, unknown> {
  const round = (value: number): number => Number(value.toFixed(4));
  return {
    policy: report.policy,
    jobs: report.jobs,
    tasks: report.tasks,
    outcomes: report.outcomes,
    reasons: report.reasons,
    meanMs: Math.round(report.responseMs.mean),
    p99Ms: Math.round(report.responseMs.p99),
    overClairvoyant: round(report.overClairvoyant),
    overLeastWork: round(report.overLeastWork),
    topP99OverIdeal: round(report.byPriority['0']?.p99OverIdeal ?? 0),
    topOverIdeal: round(report.byPriority['0']?.overClairvoyant ?? 0),
    inDeadline: round(report.inDeadline),
    slotUse: round(report.slotUse),
    refusalP50Ms: round(report.refusalMs.p50),
    refusalP99Ms: round(report.refusalMs.p99),
    messagesPerTask: round(report.messagesPerTask),
    wastedPerTask: round(report.wastedPerAnsweredTask),
    messages: report.messages,
    doubleStarts: report.doubleStarts,
  };
}
