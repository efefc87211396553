/** Metrics of an executor. */
import type { MetricDefinition } from '../ServedMetrics.js';

/**
 * Defines the metrics of an executor.
 *
 * @param readLoad - counts tasks that wait or may run
 * @param readKeptVersion - finds the version of the configuration that is kept for dispatchers
 * @returns definitions by name
 */
export function buildExecutorMetrics(
  readLoad: () => number,
  readKeptVersion: () => number,
): Readonly<Record<string, MetricDefinition>> {
  return {
    executor_task_ends: { kind: 'counter', help: 'Ends of attempts', labels: ['end'] },
    executor_decisions: { kind: 'counter', help: 'Decisions by kind', labels: ['decision'] },
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
  };
}
