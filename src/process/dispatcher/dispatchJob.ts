/** A job at the entry that its caller is connected to, and its tasks. */
import { createMachine } from 'xstate';

import { compileMachine, stepMachine } from '../../_lib/compileMachine.js';
import type { AttemptName } from '../../connection/peer/peerMessages.js';
import type { Caller } from '../../ports/CallerGateway.js';
import type { JobSubmission, StepNeed } from '../../request/dispatch/submission.js';

/** Phase of a task at the entry. */
export type DispatchPhase = 'blocked' | 'waiting' | 'sent' | 'withdrawn' | 'done' | 'dropped';

/** What can happen to it. */
export type DispatchEvent = 'release' | 'send' | 'return' | 'finish' | 'withdraw' | 'drop';

/**
 * Life of a task at the entry. `withdrawn`: an agent was told to stop it, and may still run it. Only the agent's
 * result, or the certainty that nothing of it can run, leads out of `sent` and `withdrawn`.
 */
export const dispatchTaskMachine = createMachine({
  id: 'dispatchTask',
  initial: 'blocked',
  states: {
    blocked: { on: { release: 'waiting', drop: 'dropped' } },
    waiting: { on: { send: 'sent', drop: 'dropped' } },
    sent: { on: { return: 'waiting', finish: 'done', withdraw: 'withdrawn', drop: 'dropped' } },
    withdrawn: { on: { return: 'waiting', finish: 'done', drop: 'dropped' } },
    done: {},
    dropped: {},
  },
});

/** The transitions of `dispatchTaskMachine`. */
export const DISPATCH_TASK_TABLE = compileMachine<DispatchPhase, DispatchEvent>(dispatchTaskMachine);

/** A task of a job. */
export interface DispatchTask {
  readonly job: DispatchJob;
  readonly step: number;
  readonly index: number;
  readonly need: StepNeed;
  phase: DispatchPhase;
  /** Number of the newest attempt, counted over all jobs of the entry; 0 before the first. */
  attempt: number;
  /** Attempts that ended `failed`. */
  failures: number;
  /** Life of the agent that has the newest attempt. */
  agent: string;
  sentAt: number;
  /** Whether the newest attempt was sent as a suspect, so that no other one is at its upstream. */
  isIsolated: boolean;
  /** Agents that have failed, lost or held up the task. */
  readonly avoid: Set<string>;
}

/** A job that lives as long as its caller waits. */
export interface DispatchJob {
  readonly id: string;
  readonly submission: JobSubmission;
  readonly caller: Caller;
  readonly arrivedAt: number;
  /** When the caller stops waiting, ms. */
  readonly deadlineAt: number;
  /** When the answer begins to count as late, ms. */
  readonly objectiveAt: number;
  /** Lower goes first: the last moment to start in time, and the priority. */
  readonly rank: number;
  readonly tasks: DispatchTask[];
  /** Position in `tasks` of the first task of each step. */
  readonly stepOffsets: number[];
  /** Tasks that are not done. */
  left: number;
  /** Tasks that may run somewhere: `sent` or `withdrawn`. */
  out: number;
  /** Whether an attempt may have run, so that "not run" would be untrue. */
  begun: boolean;
  /** Whether an attempt was ever sent. */
  offered: boolean;
  /** Life of the agent that the newest attempt of any task went to; empty before the first. */
  lastAgent: string;
  /** When that attempt was sent, ms. */
  lastSentAt: number;
  answered: boolean;
}

/**
 * Names the newest attempt of a task.
 *
 * @param task - the task
 * @returns its name between entry and agent
 */
export function buildAttemptName({ job, step, index, attempt }: DispatchTask): AttemptName {
  return { job: job.id, step, index, attempt };
}

/**
 * Computes the longest chain of work in a job.
 *
 * @param steps - steps in order; `after` names earlier ones
 * @returns the time of the chain by the caller's estimates, ms
 * @example
 * findChainMs([{ ...step, estimateMs: 80, after: [] }]); // 80
 */
export function findChainMs(steps: readonly StepNeed[]): number {
  const ends: number[] = [];
  for (const step of steps) {
    const begin = Math.max(0, ...step.after.map((earlier) => ends[earlier] ?? 0));
    ends.push(begin + step.estimateMs);
  }
  return Math.max(0, ...ends);
}

/** Figures of the entry that a job's times depend on. */
export interface JobTiming {
  readonly now: number;
  /** Typical work per ms of the upstreams, in ms of estimates. */
  readonly typicalSpeed: number;
  /** Weight of one step of priority, ms of rank. */
  readonly priorityStepMs: number;
}

/**
 * Creates a job that has just arrived.
 *
 * @param submission - what the caller sent
 * @param caller - who waits
 * @param timing - the moment and the entry's figures
 * @returns the job; tasks of steps that wait for none are `waiting`
 */
export function createDispatchJob(
  submission: JobSubmission,
  caller: Caller,
  { now, typicalSpeed, priorityStepMs }: JobTiming,
): DispatchJob {
  const chainMs = findChainMs(submission.steps) / typicalSpeed;
  const { stretch, targetLatencyMs, priority } = submission.route;
  const deadlineAt = now + submission.patienceMs;
  const objectiveAt = Math.min(deadlineAt, now + stretch * chainMs + targetLatencyMs);
  const job: DispatchJob = {
    id: submission.id,
    submission,
    caller,
    arrivedAt: now,
    deadlineAt,
    objectiveAt,
    rank: objectiveAt - chainMs + priority * priorityStepMs,
    tasks: [],
    stepOffsets: [],
    left: 0,
    out: 0,
    begun: false,
    offered: false,
    lastAgent: '',
    lastSentAt: -Infinity,
    answered: false,
  };
  submission.steps.forEach((need, step) => {
    job.stepOffsets.push(job.tasks.length);
    for (let index = 0; index < need.count; index += 1) job.tasks.push(createTask(job, need, step, index));
  });
  job.left = job.tasks.length;
  return job;
}

function createTask(job: DispatchJob, need: StepNeed, step: number, index: number): DispatchTask {
  const phase = need.after.length === 0 ? 'waiting' : 'blocked';
  return {
    job,
    step,
    index,
    need,
    phase,
    attempt: 0,
    failures: 0,
    agent: '',
    sentAt: 0,
    isIsolated: false,
    avoid: new Set(),
  };
}

/**
 * Finds a task of a job.
 *
 * @param job - the job
 * @param step - number of the step
 * @param index - number of the task in the step
 * @returns the task, or undefined if there is none
 */
export function findTask(job: DispatchJob, step: number, index: number): DispatchTask | undefined {
  const offset = job.stepOffsets[step];
  const task = offset === undefined ? undefined : job.tasks[offset + index];
  return task?.step === step ? task : undefined;
}

/**
 * Tells whether an attempt of a task may run somewhere.
 *
 * @param task - the task
 * @returns true from the sending of an attempt to its certain end
 */
export function isOut({ phase }: DispatchTask): boolean {
  return phase === 'sent' || phase === 'withdrawn';
}

/**
 * Measures a task by what it takes of a room.
 *
 * @param task - the task
 * @returns its work by the caller's estimate, thousandths of a core times ms
 */
export function measureWork({ need }: DispatchTask): number {
  return need.resources.cpuMilli * need.estimateMs;
}

/**
 * Measures a job by what it takes of a room.
 *
 * @param job - the job
 * @returns the work of all its tasks by the caller's estimates, thousandths of a core times ms
 */
export function findWork({ submission }: DispatchJob): number {
  return submission.steps.reduce(
    (sum, { count, resources, estimateMs }) => sum + count * resources.cpuMilli * estimateMs,
    0,
  );
}

/**
 * Moves a task on, and keeps the count of attempts that are out.
 *
 * @param task - the task
 * @param event - what happened
 * @throws InvariantError when the task's life has no such transition
 */
export function stepTask(task: DispatchTask, event: DispatchEvent): void {
  const before = isOut(task);
  task.phase = stepMachine(DISPATCH_TASK_TABLE, task.phase, event);
  task.job.out += Number(isOut(task)) - Number(before);
}
