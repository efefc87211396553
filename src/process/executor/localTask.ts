/** A task at an agent: an attempt of an entry, and the run at the upstream that serves it. */
import { createMachine } from 'xstate';

import { compileMachine } from '../../_lib/compileMachine.js';
import type { StartOrder } from '../../connection/peer/peerMessages.js';
import type { RunName } from '../../ports/UpstreamApi.js';

/** Phase of a task at the agent. */
export type LocalPhase = 'waiting' | 'starting' | 'running' | 'stopping' | 'ended';

/** What can happen to it. */
export type LocalEvent = 'begin' | 'confirm' | 'stop' | 'end' | 'reject';

/**
 * Life of a task at an agent. From `starting` on it may run at the upstream, and takes room until the upstream
 * has listed its end, has confirmed that it never began, or its lease is over.
 */
export const localTaskMachine = createMachine({
  id: 'localTask',
  initial: 'waiting',
  states: {
    waiting: { on: { begin: 'starting', stop: 'ended', end: 'ended' } },
    starting: { on: { confirm: 'running', stop: 'stopping', end: 'ended', reject: 'ended' } },
    running: { on: { stop: 'stopping', end: 'ended' } },
    stopping: { on: { end: 'ended' } },
    ended: {},
  },
});

/** The transitions of `localTaskMachine`. */
export const LOCAL_TASK_TABLE = compileMachine<LocalPhase, LocalEvent>(localTaskMachine);

/** A task and what is known of its run. */
export interface LocalTask {
  readonly key: string;
  readonly order: StartOrder;
  /** Life of the entry that ordered it. */
  readonly owner: string;
  readonly receivedAt: number;
  phase: LocalPhase;
  /** Number of its run at the upstream. */
  run: number;
  /** When the first start was sent; undefined before. */
  sentAt: number | undefined;
  /** Starts that were sent and not refused by the upstream's host: any of them may have been carried out. */
  openSends: number;
  /** When the upstream confirmed the start, or was first seen running it. */
  confirmedAt: number | undefined;
  percent: number;
  /** When the percentage last changed. */
  percentAt: number;
  /** When the percentage was last read. */
  sampledAt: number;
  /** Why it is being stopped; empty while it is not. */
  stopReason: string;
  /** When the upstream accepted the stop; undefined before. */
  stopAcceptedAt: number | undefined;
}

/**
 * Creates a task from an order that has just arrived.
 *
 * @param key - of the task, from `buildTaskKey`
 * @param order - the order
 * @param owner - life of the entry
 * @param now - monotonic time, ms
 * @returns the task, waiting
 */
export function createLocalTask(key: string, order: StartOrder, owner: string, now: number): LocalTask {
  return {
    key,
    order,
    owner,
    receivedAt: now,
    phase: 'waiting',
    run: 0,
    sentAt: undefined,
    openSends: 0,
    confirmedAt: undefined,
    percent: 0,
    percentAt: now,
    sampledAt: now,
    stopReason: '',
    stopAcceptedAt: undefined,
  };
}

/**
 * Names the run of a task at its upstream.
 *
 * @param task - the task
 * @returns its job, step, index and run
 */
export function buildRunName({ order, run }: LocalTask): RunName {
  const { job, step, index } = order.name;
  return { job, step, index, run };
}

/**
 * Tells whether a task is one attempt of one entry.
 *
 * @param task - the task
 * @param key - of the task that is meant
 * @param attempt - number of the attempt
 * @param owner - life of the entry
 * @returns true if all three are the task's
 */
export function isAttempt(task: LocalTask, key: string, attempt: number, owner: string): boolean {
  return task.key === key && task.order.name.attempt === attempt && task.owner === owner;
}
