/** A task at an executor: an attempt of a dispatcher, and its run at the upstream. */
import { createMachine } from 'xstate';

import { compileMachine } from '../../_lib/compileMachine.js';
import type { StartOrder } from '../../connection/peer/peerMessages.js';
import type { RunName } from '../../ports/UpstreamApi.js';

/** Phase of a task at the executor. */
export type LocalPhase = 'waiting' | 'starting' | 'running' | 'stopping' | 'ended';

/** Events that change the phase. */
export type LocalEvent = 'begin' | 'confirm' | 'stop' | 'end' | 'reject';

/**
 * State machine of a task at an executor. From `starting` on it may run at the upstream, and uses capacity
 * until the upstream has listed its end or confirmed that it never started, or its lease has expired.
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

/** A task and the state of its run. */
export interface LocalTask {
  readonly key: string;
  readonly order: StartOrder;
  /** Incarnation of the dispatcher that ordered it. */
  readonly owner: string;
  readonly receivedAt: number;
  phase: LocalPhase;
  /** Run number at the upstream. */
  run: number;
  /** When the first start was sent; undefined before. */
  sentAt: number | undefined;
  /** When the start was last sent; undefined before. */
  lastSentAt: number | undefined;
  /**
   * Number of sends of the start that may have been executed: all but those whose connection was refused or
   * that another incarnation rejected.
   */
  openSends: number;
  /** When the upstream confirmed the start, or first listed the run. */
  confirmedAt: number | undefined;
  percent: number;
  /** When the percentage last changed. */
  percentAt: number;
  /** When the percentage was last read. */
  sampledAt: number;
  /** Why it is being stopped; empty if it is not. */
  stopReason: string;
  /** When the upstream accepted the stop; undefined before. */
  stopAcceptedAt: number | undefined;
  /**
   * Monotonic time by which its run must be over, fixed once its dispatcher or caller has given it up;
   * undefined before, while each ping that the dispatcher acknowledges moves it on.
   */
  endBy: number | undefined;
}

/**
 * Creates a task from an order that has just arrived.
 *
 * @param key - key of the task, from `buildTaskKey`
 * @param order - the order
 * @param owner - incarnation of the dispatcher
 * @param now - monotonic time, ms
 * @returns the waiting task
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
    lastSentAt: undefined,
    openSends: 0,
    confirmedAt: undefined,
    percent: 0,
    percentAt: now,
    sampledAt: now,
    stopReason: '',
    stopAcceptedAt: undefined,
    endBy: undefined,
  };
}

/**
 * Builds the name of a task's run at the upstream.
 *
 * @param task - the task
 * @returns its job, step, index and run
 */
export function buildRunName({ order, run }: LocalTask): RunName {
  const { job, step, index } = order.name;
  return { job, step, index, run };
}

/**
 * Checks whether a task is the given attempt of a dispatcher.
 *
 * @param task - the task
 * @param key - key of the task
 * @param attempt - number of the attempt
 * @param owner - incarnation of the dispatcher
 * @returns true if all three match
 */
export function isAttempt(task: LocalTask, key: string, attempt: number, owner: string): boolean {
  return task.key === key && task.order.name.attempt === attempt && task.owner === owner;
}
