/** Fixtures of upstream reports, heartbeats and start orders. */
import type { StartOrder } from '../../src/connection/peer/peerMessages.js';
import type { UpstreamReport } from '../../src/ports/UpstreamRegistry.js';

/** Capacity of an upstream: four tasks of `buildStartOrder`. */
export const UPSTREAM_CAPACITY = { cpuMilli: 4_000, memoryMb: 1_000, gpus: 0 };

/** Address of the upstream. */
export const UPSTREAM_ADDRESS = '127.0.0.1:1';

/** Heartbeat of an upstream whose incarnations share an id. */
export const HEARTBEAT = {
  service: 's',
  address: '10.0.0.1:80',
  zone: 'x',
  version: 'v1',
  slots: 8,
  state: 'ready',
  cold_remaining_ms: 0,
  capacity: { cpu: 1_000, mem_mb: 10, gpu: 0 },
  labels: ['a', 'r1'],
  clock_ms: 5,
  call_seq: 7,
  born: 9,
};

/**
 * Builds the first report of an upstream whose incarnations have their own ids.
 *
 * @param change - fields to override
 */
export function buildUpstreamReport(change: Partial<UpstreamReport> = {}): UpstreamReport {
  return {
    id: 'u1',
    bornAt: undefined,
    service: 'service',
    address: UPSTREAM_ADDRESS,
    capacity: UPSTREAM_CAPACITY,
    labels: [],
    isDraining: false,
    clockMs: 0,
    sequence: 1,
    ...change,
  };
}

/**
 * Builds an order to start a task of a job.
 *
 * @param index - index of the task
 * @param change - fields to override
 */
export function buildStartOrder(index: number, change: Partial<StartOrder> = {}): StartOrder {
  return {
    type: 'start',
    name: { job: 'job', step: 0, index, attempt: 1 },
    service: 'service',
    spec: 'text',
    resources: { cpuMilli: 1_000, memoryMb: 10, gpus: 0 },
    estimateMs: 100,
    rank: 0,
    expiresAt: Infinity,
    ...change,
  };
}
