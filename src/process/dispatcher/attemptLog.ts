/**
 * Fields of the log lines about attempts and answers: where a task was sent, how an attempt ended, what it replaces, what a
 * caller was answered.
 */
import type { AttemptEnd } from '../../connection/peer/peerMessages.js';
import type { JobOutcome } from '../../request/dispatch/submission.js';
import type { DispatchJob, DispatchTask, PreviousAttempt } from './dispatchJob.js';
import type { ExecutorTable } from './ExecutorTable.js';
import type { ExecutorView } from './ExecutorView.js';

/** Fields of a log line. */
type LogFields = Readonly<Record<string, unknown>>;

/**
 * Describes the placement of a task, whose latest attempt has just been sent.
 *
 * @param task - the task
 * @param executor - the executor that it was sent to
 * @param now - monotonic time, ms
 * @returns fields of `place`
 */
export function describePlacement(task: DispatchTask, executor: ExecutorView, now: number): LogFields {
  return {
    ...describeAttempt(task),
    freeCpu: executor.free.cpuMilli,
    speed: executor.report?.speed,
    roomAgeMs: Math.round(now - executor.lastReceivedAt),
    waitedMs: Math.round(now - task.job.arrivedAt),
  };
}

/**
 * Describes the placement of a task of which an earlier attempt may have run.
 *
 * @param task - the task, whose latest attempt has just been sent
 * @param previous - the attempt before
 * @param now - monotonic time, ms
 * @returns fields of `place-again`: the new attempt, and where, how, why and when the one before ended
 */
export function describePlacedAgain(task: DispatchTask, previous: PreviousAttempt, now: number): LogFields {
  return {
    ...describeAttempt(task),
    before: previous.attempt,
    beforeAgent: previous.executorId,
    end: previous.end,
    reason: previous.reason,
    overMs: Math.round(now - previous.overAt),
  };
}

/**
 * Describes the end of the latest attempt of a task.
 *
 * @param task - the task
 * @param end - how the attempt ended
 * @param reason - why
 * @param executors - executors of the dispatcher
 * @param now - monotonic time, ms
 * @returns fields of `attempt-over`; `heardMs` is the time since the last message of its executor
 */
export function describeAttemptOver(
  task: DispatchTask,
  end: AttemptEnd,
  reason: string,
  executors: ExecutorTable,
  now: number,
): LogFields {
  const executor = executors.find(task.executorId);
  return {
    ...describeAttempt(task),
    end,
    reason,
    sentMs: Math.round(now - task.sentAt),
    heardMs: executor && Math.round(now - executor.lastReceivedAt),
  };
}

function describeAttempt({ job, step, index, attempt, executorId }: DispatchTask): LogFields {
  return { job: job.id, task: `${step}/${index}`, attempt, agent: executorId };
}

/**
 * Describes the answer to a job.
 *
 * @param job - the job
 * @param outcome - what its caller is answered
 * @param version - version of the configuration in force
 * @param now - monotonic time, ms
 * @returns fields of `answer`
 */
export function describeAnswer(
  { id, submission, arrivedAt, objectiveAt, deadlineAt, tasks }: DispatchJob,
  outcome: JobOutcome,
  version: number,
  now: number,
): LogFields {
  return {
    job: id,
    queue: submission.route.name,
    version,
    ...outcome,
    tasks: tasks.length,
    tookMs: Math.round(now - arrivedAt),
    objectiveMs: Math.round(objectiveAt - arrivedAt),
    deadlineMs: Math.round(deadlineAt - arrivedAt),
  };
}
