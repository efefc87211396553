/** Metrics of an executor. */
import type { InputFigures } from '../../connection/input/InputBudget.js';
import type { MetricDefinition } from '../MetricsServer.js';

/** Sources of the gauges. */
export interface ExecutorGauges {
  /** Counts tasks that wait or may run. */
  readonly readLoad: () => number;
  /** Reads the version of the configuration that is stored for dispatchers. */
  readonly readKeptVersion: () => number;
  /** Counts dispatchers at which tasks wait. */
  readonly readWaitingDispatchers: () => number;
  /** Sums the processor capacity that these tasks need, thousandths of a core. */
  readonly readDemand: () => number;
}

/**
 * Defines the metrics of an executor.
 *
 * @param gauges - sources of the gauges
 * @param input - budget of unadmitted input
 * @returns definitions by name
 */
export function buildExecutorMetrics(
  { readLoad, readKeptVersion, readWaitingDispatchers, readDemand }: ExecutorGauges,
  input: InputFigures,
): Readonly<Record<string, MetricDefinition>> {
  return {
    executor_task_ends: { kind: 'counter', help: 'Ends of attempts', labels: ['end'] },
    executor_decisions: { kind: 'counter', help: 'Decisions by kind', labels: ['decision'] },
    executor_returned_starts: { kind: 'counter', help: 'Starts that found no room and were given back' },
    executor_parts_told: { kind: 'counter', help: 'Parts of the room told to dispatchers' },
    executor_waiting_entries: {
      kind: 'gauge',
      help: 'Dispatchers at which tasks wait, as last told',
      read: readWaitingDispatchers,
    },
    executor_demand_cpu_milli: {
      kind: 'gauge',
      help: 'Processor room that those tasks ask for, thousandths of a core',
      read: readDemand,
    },
    executor_capacity_changes: {
      kind: 'counter',
      help: 'Changes of the capacity of the upstream',
      labels: ['direction'],
    },
    executor_tasks: { kind: 'gauge', help: 'Tasks that wait or may run', read: readLoad },
    executor_configuration_version: {
      kind: 'gauge',
      help: 'Version of the configuration that is kept whole for dispatchers; -1 for none',
      read: readKeptVersion,
    },
    executor_input_bytes: {
      kind: 'gauge',
      help: 'Memory held by input that is not admitted, bytes',
      read: () => input.heldBytes,
    },
    executor_input_connections: {
      kind: 'gauge',
      help: 'Accepted connections',
      read: () => input.connections,
    },
    executor_message_faults: {
      kind: 'counter',
      help: 'Messages on links of which a part could not be read, or had to be bounded before it was sent',
      labels: ['direction', 'type'],
    },
    executor_input_closed: {
      kind: 'counter',
      help: 'Connections closed because of a limit on input that is not admitted',
      labels: ['listener', 'reason'],
    },
  };
}
