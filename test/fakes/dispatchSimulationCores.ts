/** Dispatchers and executors of the simulation: production code with the effects that the simulation needs. */
import { Dispatcher } from '../../src/process/dispatcher/Dispatcher.js';
import { deriveDispatchTimes } from '../../src/process/dispatchTimes.js';
import { Executor } from '../../src/process/executor/Executor.js';
import type { ExecutorEffects } from '../../src/process/executor/Executor.js';
import { RESUBMIT_MS } from './checkDispatchSimulation.js';
import { createPolicies } from './dispatchFixtures.js';
import { findDomain } from './dispatchSimulationDomains.js';
import type { ProcessGate } from './ProcessGate.js';

const STOP_MS = 50;
const MAX_LEASE_MS = 1_000;

/** Intervals and timeouts of the simulation. */
export const TIMES = deriveDispatchTimes({ resubmitMs: RESUBMIT_MS, maxLeaseMs: MAX_LEASE_MS });

/** Creates a dispatcher. */
export function createDispatcherCore(
  crashLimit: number,
  nextRandom: () => number,
  send: ConstructorParameters<typeof Dispatcher>[1]['send'],
): Dispatcher {
  return new Dispatcher(
    { pingMs: TIMES.pingMs, ...createPolicies(), crashLimit, nextRandom },
    { send, log: () => undefined, recordOutcome: () => undefined },
  );
}

/** Creates an incarnation of an executor. */
export function createExecutorCore(
  { index, incarnation, startedAt }: { index: number; incarnation: number; startedAt: number },
  gate: ProcessGate,
  effects: Pick<ExecutorEffects, 'openApi' | 'sendResult'>,
): Executor {
  return new Executor(
    {
      id: `agent-${index}`,
      incarnation: String(incarnation),
      failureDomain: findDomain({ index }),
      startedAt,
    },
    { ...TIMES, maxLeaseMs: MAX_LEASE_MS, stopMs: STOP_MS },
    gate,
    {
      ...effects,
      sendCrashes: () => undefined,
      handleJoined: () => undefined,
      handleChange: () => undefined,
      handleCapacityChange: () => undefined,
      log: () => undefined,
    },
  );
}
