/** Jobs and tasks at a dispatcher. */
import { createMachine } from 'xstate';

import { compileMachine, stepMachine } from '../../_lib/compileMachine.js';
import type { AttemptName, AttemptResult } from '../../connection/peer/peerMessages.js';
import type { Caller } from '../../ports/CallerGateway.js';
import type { JobSubmission, StepNeed } from '../../request/dispatch/submission.js';

/** Phase of a task at the dispatcher. */
export type DispatchPhase = 'blocked' | 'waiting' | 'sent' | 'withdrawn' | 'done' | 'dropped';

/** Event that changes the phase of a task. */
export type DispatchEvent = 'release' | 'send' | 'return' | 'finish' | 'withdraw' | 'drop';

/**
 * Life cycle of a task at the dispatcher. A `withdrawn` task may still run although its executor was ordered
 * to stop it. A task leaves `sent` and `withdrawn` only when its attempt has ended or cannot run any more.
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

/** An attempt that has ended and may have run. */
export interface PreviousAttempt {
  readonly attempt: number;
  readonly executorId: string;
  readonly end: AttemptResult['end'];
  readonly reason: string;
  /** When it counted as over, ms. */
  readonly overAt: number;
}

/** A task of a job. */
export interface DispatchTask {
  readonly job: DispatchJob;
  readonly step: number;
  readonly index: number;
  readonly need: StepNeed;
  phase: DispatchPhase;
  /** Number of the latest attempt, counted over all jobs of the dispatcher; 0 before the first. */
  attempt: number;
  /** Number of attempts that ended `failed`. */
  failures: number;
  /** Id of the executor incarnation with the latest attempt. */
  executorId: string;
  /** When the latest attempt was sent, ms. */
  sentAt: number;
  /**
   * When the latest attempt may have been given up, at the earliest, ms: its caller has left, or it is to
   * run elsewhere.
   */
  givenUpAt: number;
  /** The newest attempt that may have run and has ended without success; undefined before the first. */
  previous: PreviousAttempt | undefined;
  /** Whether the latest attempt was sent as a suspect, so that no other suspect runs at its upstream. */
  isIsolated: boolean;
  /** Ids of executors that have failed, lost or delayed the task. */
  readonly avoid: Set<string>;
}

/** A job, kept until it is answered and none of its tasks may run. */
export interface DispatchJob {
  readonly id: string;
  readonly submission: JobSubmission;
  readonly caller: Caller;
  readonly arrivedAt: number;
  /** When the caller stops waiting, ms. */
  readonly deadlineAt: number;
  /** Time after which the answer counts as late, ms. */
  readonly objectiveAt: number;
  /** Latest start that meets the objective, plus a delay per priority step, ms; the lowest is first. */
  readonly rank: number;
  readonly tasks: DispatchTask[];
  /** Position in `tasks` of the first task of each step. */
  readonly stepOffsets: number[];
  /** Number of tasks that are not done. */
  remaining: number;
  /** Number of tasks that may run: `sent` or `withdrawn`. */
  outstanding: number;
  /** Whether an ended attempt may have run, so that the job cannot be reported as not run. */
  begun: boolean;
  /** Whether an attempt was ever sent. */
  offered: boolean;
  /** Id of the executor incarnation with the latest attempt of any task; empty before the first. */
  lastExecutorId: string;
  /** When that attempt was sent, ms. */
  lastSentAt: number;
  answered: boolean;
}

/**
 * Builds the name of the latest attempt of a task.
 *
 * @param task - the task
 * @returns the name used between dispatcher and executor
 */
export function buildAttemptName({ job, step, index, attempt }: DispatchTask): AttemptName {
  return { job: job.id, step, index, attempt };
}

/**
 * Builds the key of an attempt.
 *
 * @param name - name of the attempt
 * @returns a key that is unique to it in one incarnation of the dispatcher
 * @example
 * buildAttemptKey({ job: 'a', step: 0, index: 3, attempt: 7 }); // 'a/0/3/7'
 */
export function buildAttemptKey({ job, step, index, attempt }: AttemptName): string {
  return `${job}/${step}/${index}/${attempt}`;
}

/**
 * Computes the critical path of a job.
 *
 * @param steps - steps in order; `after` refers to earlier ones
 * @returns the duration of the path by the caller's estimates, ms
 * @example
 * computeCriticalPathMs([{ ...step, estimateMs: 80, after: [] }]); // 80
 */
export function computeCriticalPathMs(steps: readonly StepNeed[]): number {
  const ends: number[] = [];
  for (const step of steps) {
    const begin = Math.max(0, ...step.after.map((earlier) => ends[earlier] ?? 0));
    ends.push(begin + step.estimateMs);
  }
  return Math.max(0, ...ends);
}

/** State of the dispatcher that the times of a job depend on. */
export interface JobTiming {
  readonly now: number;
  /** Typical speed of the upstreams, ms of estimated work per ms. */
  readonly typicalSpeed: number;
  /** Rank difference of one priority step, ms. */
  readonly priorityStepMs: number;
}

/**
 * Creates a job that has just arrived.
 *
 * @param submission - submission of the caller
 * @param caller - receives the answer
 * @param timing - current time and state of the dispatcher
 * @returns the job; tasks of steps without predecessors are `waiting`
 */
export function createDispatchJob(
  submission: JobSubmission,
  caller: Caller,
  { now, typicalSpeed, priorityStepMs }: JobTiming,
): DispatchJob {
  const criticalPathMs = computeCriticalPathMs(submission.steps) / typicalSpeed;
  const { stretch, targetLatencyMs, priority } = submission.route;
  const deadlineAt = now + submission.patienceMs;
  const objectiveAt = Math.min(deadlineAt, now + stretch * criticalPathMs + targetLatencyMs);
  const job: DispatchJob = {
    id: submission.id,
    submission,
    caller,
    arrivedAt: now,
    deadlineAt,
    objectiveAt,
    rank: objectiveAt - criticalPathMs + priority * priorityStepMs,
    tasks: [],
    stepOffsets: [],
    remaining: 0,
    outstanding: 0,
    begun: false,
    offered: false,
    lastExecutorId: '',
    lastSentAt: -Infinity,
    answered: false,
  };
  submission.steps.forEach((need, step) => {
    job.stepOffsets.push(job.tasks.length);
    for (let index = 0; index < need.count; index += 1) job.tasks.push(createTask(job, need, step, index));
  });
  job.remaining = job.tasks.length;
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
    executorId: '',
    sentAt: 0,
    givenUpAt: 0,
    previous: undefined,
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
 * Checks whether an attempt of a task may run.
 *
 * @param task - the task
 * @returns true from the sending of an attempt to its certain end
 */
export function isOutstanding({ phase }: DispatchTask): boolean {
  return phase === 'sent' || phase === 'withdrawn';
}

/**
 * Computes the work of a task.
 *
 * @param task - the task
 * @returns its work by the caller's estimate, thousandths of a core times ms
 */
export function computeTaskWork({ need }: DispatchTask): number {
  return need.resources.cpuMilli * need.estimateMs;
}

/**
 * Computes the work of a job.
 *
 * @param job - the job
 * @returns the work of all its tasks by the caller's estimates, thousandths of a core times ms
 */
export function computeJobWork({ submission }: DispatchJob): number {
  return submission.steps.reduce(
    (sum, { count, resources, estimateMs }) => sum + count * resources.cpuMilli * estimateMs,
    0,
  );
}

/**
 * Applies an event to a task, and updates the job's count of outstanding tasks.
 *
 * @param task - the task
 * @param event - the event
 * @throws InvariantError if the event is not allowed in the task's phase
 */
export function transitionTask(task: DispatchTask, event: DispatchEvent): void {
  const before = isOutstanding(task);
  task.phase = stepMachine(DISPATCH_TASK_TABLE, task.phase, event);
  task.job.outstanding += Number(isOutstanding(task)) - Number(before);
}
