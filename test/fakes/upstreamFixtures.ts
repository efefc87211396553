/** An upstream's report and an order to it, for tests of the executor and of what reads them. */
import type { StartOrder } from '../../src/connection/peer/peerMessages.js';
import type { UpstreamReport } from '../../src/ports/UpstreamRegistry.js';

/** Room of an upstream: four of the tasks below. */
export const UPSTREAM_CAPACITY = { cpuMilli: 4_000, memoryMb: 1_000, gpus: 0 };

/** Where it takes orders. */
export const UPSTREAM_ADDRESS = '127.0.0.1:1';

/** A heartbeat as an upstream of the platform sends it, one whose lives share an id. */
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
 * Builds the first report of an upstream whose lives have ids of their own.
 *
 * @param change - what is to be otherwise
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
 * @param index - of the task
 * @param change - what is to be otherwise
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
