/** Metrics of a dispatcher. */
import type { InputFigures } from '../../connection/input/InputBudget.js';
import type { MetricDefinition } from '../MetricsServer.js';

const DURATION_BUCKETS_MS = [10, 25, 50, 100, 200, 400, 800, 1_600, 3_200, 6_400];

/** Sources of the gauges. */
export interface DispatcherGauges {
  readonly readOpenJobs: () => number;
  readonly readWaitingTasks: () => number;
  readonly readWaitingByPriority: () => ReadonlyMap<string, number>;
  readonly readForecastCores: () => number;
  readonly readExecutors: () => number;
  readonly readSuspects: () => number;
  readonly readCancelledJobs: () => number;
  readonly readConfigurationVersion: () => number;
  readonly readEmptiedDomains: () => number;
  readonly readEmptiedRevision: () => number;
}

/**
 * Defines the metrics of a dispatcher.
 *
 * @param gauges - sources of the gauges
 * @param input - budget of unadmitted input
 * @returns definitions by name
 */
export function buildDispatcherMetrics(
  gauges: DispatcherGauges,
  input: InputFigures,
): Readonly<Record<string, MetricDefinition>> {
  return {
    dispatcher_answers: { kind: 'counter', help: 'Answers to callers', labels: ['outcome', 'reason'] },
    dispatcher_answer_ms: {
      kind: 'histogram',
      help: 'Time from the arrival of a job to its answer, ms',
      buckets: DURATION_BUCKETS_MS,
    },
    dispatcher_decisions: { kind: 'counter', help: 'Decisions by kind', labels: ['decision'] },
    dispatcher_returned_starts: {
      kind: 'counter',
      help: 'Starts that came back without having run',
      labels: ['reason'],
    },
    dispatcher_open_jobs: { kind: 'gauge', help: 'Jobs whose caller waits', read: gauges.readOpenJobs },
    dispatcher_waiting_tasks: {
      kind: 'gauge',
      help: 'Tasks that wait for an agent',
      read: gauges.readWaitingTasks,
    },
    dispatcher_waiting_by_priority: {
      kind: 'gauge',
      help: 'Tasks that wait for an agent, by priority of their queue',
      labels: ['priority'],
      readByLabel: gauges.readWaitingByPriority,
    },
    dispatcher_work: {
      kind: 'counter',
      help: 'Work of answered jobs by estimate, core seconds, by priority of their queue and whether it was refused',
      labels: ['priority', 'decision'],
    },
    dispatcher_forecast_cores: {
      kind: 'gauge',
      help: "Cores' worth of estimated work that the room was last expected to do; 0 while nothing is known",
      read: gauges.readForecastCores,
    },
    dispatcher_agents: { kind: 'gauge', help: 'Agents with a link', read: gauges.readExecutors },
    dispatcher_suspects: {
      kind: 'gauge',
      help: 'Tasks under which upstreams have crashed of late',
      read: gauges.readSuspects,
    },
    dispatcher_cancelled_jobs: {
      kind: 'gauge',
      help: 'Cancelled jobs that are remembered, so that no submission of them is run',
      read: gauges.readCancelledJobs,
    },
    dispatcher_configuration_version: {
      kind: 'gauge',
      help: 'Version of the configuration in force',
      read: gauges.readConfigurationVersion,
    },
    dispatcher_emptied_domains: {
      kind: 'gauge',
      help: 'Failure domains in which nothing is started, as the operators have asked',
      read: gauges.readEmptiedDomains,
    },
    dispatcher_emptied_revision: {
      kind: 'gauge',
      help: "Records of the operators that the list of emptied failure domains takes into account; -1 before it's known",
      read: gauges.readEmptiedRevision,
    },
    dispatcher_input_bytes: {
      kind: 'gauge',
      help: 'Memory held by input that is not admitted, bytes',
      read: () => input.heldBytes,
    },
    dispatcher_input_connections: {
      kind: 'gauge',
      help: 'Accepted connections, without links',
      read: () => input.connections,
    },
    dispatcher_message_faults: {
      kind: 'counter',
      help: 'Messages on links of which a part could not be read, or had to be bounded before it was sent',
      labels: ['direction', 'type'],
    },
    dispatcher_input_closed: {
      kind: 'counter',
      help: 'Connections closed because of a limit on input that is not admitted',
      labels: ['listener', 'reason'],
    },
  };
}

/** Queues of this and of less urgent priorities share a label. */
const LAST_PRIORITY = 3;

/**
 * Describes a queue's priority as a label with few values.
 *
 * @param priority - 0 is the most urgent
 * @returns '0' to '2', and '3+' for the others
 */
export function describePriority(priority: number): string {
  return priority >= LAST_PRIORITY ? `${LAST_PRIORITY}+` : String(priority);
}
