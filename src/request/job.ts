/** State of a job and its tasks in the entry that coordinates it. */
import { NO_EPOCH } from '../connection/compareEpochs.js';
import type { Epoch } from '../connection/messages.js';
import type { JobState } from './jobMachine.js';
import type { TaskState } from './taskMachine.js';

/** One task of a submission. */
export interface TaskRequest {
  readonly kind: string;
  /** JSON text of the body. */
  readonly body: string;
}

/** A submission after its checks. */
export interface JobRequest {
  readonly job: string;
  /** Creation time of the key, ms since the epoch. */
  readonly createdAt: number;
  readonly event: string;
  /** Time after which the answer is of no use, ms; undefined for the longest deadline of its kinds. */
  readonly deadlineMs: number | undefined;
  readonly tasks: readonly TaskRequest[];
  /** Caller and its team, for fair shares; empty if not given. */
  readonly caller: string;
  readonly team: string;
}

/** Answer to one task. */
export interface TaskAnswer {
  readonly status: number;
  /** JSON text. */
  readonly body: string;
}

/** Whether a failed job ran; `some` if at least one task is known to have started. */
export type Ran = 'unknown' | 'some';

/** Final outcome of a job, as sent to the caller. */
export type JobAnswer =
  | { readonly outcome: 'complete'; readonly answers: readonly TaskAnswer[] }
  | { readonly outcome: 'refused'; readonly reason: string; readonly retryAfterMs: number }
  | { readonly outcome: 'failed'; readonly ran: Ran; readonly reason: string; readonly retryAfterMs: number }
  | { readonly outcome: 'conflict'; readonly differs: readonly string[] };

/** Task in the entry that owns its job. */
export interface Task {
  /** Key of its job. */
  readonly job: string;
  readonly index: number;
  readonly kind: string;
  body: string;
  state: TaskState;
  attempt: number;
  /** Agent incarnation that the task was sent to. */
  agent: string;
  sentAt: number;
  /** Time of the next query to the agent, ms since the epoch. */
  askAt: number;
  readonly expectedMs: number;
  status: number;
  answer: string;
}

/** Job in an entry. */
export interface Job {
  readonly key: string;
  readonly createdAt: number;
  readonly digest: string;
  readonly event: string;
  readonly caller: string;
  readonly team: string;
  /** Cleared at the final outcome, unless the job may be submitted again. */
  tasks: Task[];
  readonly taskCount: number;
  /** Operator priority: the lowest number among its kinds. */
  readonly priority: number;
  state: JobState;
  arrivedAt: number;
  /** Time after which the answer is of no use, ms since the epoch. */
  deadline: number;
  epoch: Epoch;
  /** Id of the agent set of the claim. */
  setId: number;
  /** Agent incarnations that any owner of the job may have used. */
  members: readonly string[];
  /** Indexes of the queued tasks; the last is sent first. */
  queued: number[];
  finished: number;
  /** Expected work of all tasks, ms. */
  readonly workMs: number;
  /** Expected work of the unfinished tasks, ms. */
  remainingMs: number;
  rank: number;
  /** Number of changes of the rank, to detect stale queue items. */
  rankVersion: number;
  /** Id of the claim in flight; 0 for none. */
  claimId: number;
  claimMode: string;
  /** Id of the agent set in the claim in flight. */
  claimSetId: number;
  claimSince: number;
  claimAt: number;
  /** Number of times the claim was sent. */
  claimTries: number;
  /** Epoch that a takeover expects, and the owner that it replaces. */
  expected: Epoch;
  owner: string;
  attachId: number;
  /** When the owner became unreachable, ms since the epoch; 0 while it is reachable. */
  ownerLostAt: number;
  /** Members that have not replied to the sweep. */
  sweeping: Set<string>;
  sweepSince: number;
  sweepAt: number;
  /** Members that can no longer report which tasks they started. */
  lostMembers: string[];
  /** Refusal by admission control, which applies unless the job is already known; undefined if admitted. */
  refusal: { readonly reason: string; readonly retryAfterMs: number } | undefined;
  /** Callers waiting on a connection. */
  callers: string[];
  /** Attached entries, with their request ids. */
  attached: { readonly peer: string; readonly id: number }[];
  answer: JobAnswer | undefined;
  /** Whether the job ended without having been claimed, so that none of its tasks ran. */
  unclaimed: boolean;
  endedAt: number;
  /** Length of bodies and answers, characters, counted against the entry's limit. */
  bytes: number;
  /** Number of tasks requeued after refusals, counted against the retry budget. */
  retries: number;
}

/**
 * Creates a job that has not been claimed yet.
 *
 * @param request - the checked submission
 * @param digest - digest of its contents
 * @param options - values from the configuration and the clock
 * @returns the job, in state `claiming`
 */
export function createJob(
  request: JobRequest,
  digest: string,
  options: { now: number; deadline: number; priority: number; expectedMs: (kind: string) => number },
): Job {
  const tasks = request.tasks.map(({ kind, body }, index) =>
    createTask(request.job, index, kind, body, options.expectedMs(kind)),
  );
  const job: Job = {
    key: request.job,
    createdAt: request.createdAt,
    digest,
    event: request.event,
    caller: request.caller,
    team: request.team,
    tasks,
    taskCount: tasks.length,
    priority: options.priority,
    state: 'claiming',
    arrivedAt: options.now,
    deadline: options.deadline,
    epoch: NO_EPOCH,
    setId: 0,
    members: [],
    queued: [],
    finished: 0,
    workMs: tasks.reduce((sum, task) => sum + task.expectedMs, 0),
    remainingMs: 0,
    rank: 0,
    rankVersion: 0,
    claimId: 0,
    claimMode: 'claim',
    claimSetId: 0,
    claimSince: options.now,
    claimAt: 0,
    claimTries: 0,
    expected: NO_EPOCH,
    owner: '',
    attachId: 0,
    ownerLostAt: 0,
    sweeping: new Set(),
    sweepSince: 0,
    sweepAt: 0,
    lostMembers: [],
    refusal: undefined,
    callers: [],
    attached: [],
    answer: undefined,
    unclaimed: false,
    endedAt: 0,
    bytes: tasks.reduce((sum, task) => sum + task.body.length, 0),
    retries: 0,
  };
  queueTasks(job);
  return job;
}

/**
 * Builds the queue from the tasks in state `queued`, longest last, so that it is sent first. Also recomputes
 * the remaining work.
 *
 * @param job - the job; updated
 */
export function queueTasks(job: Job): void {
  const queued = job.tasks.filter((task) => task.state === 'queued');
  queued.sort((left, right) => left.expectedMs - right.expectedMs || right.index - left.index);
  job.queued = queued.map((task) => task.index);
  const open = job.tasks.filter((task) => task.state === 'queued' || task.state === 'sent');
  job.remainingMs = open.reduce((sum, task) => sum + task.expectedMs, 0);
}

function createTask(job: string, index: number, kind: string, body: string, expectedMs: number): Task {
  const times = { sentAt: 0, askAt: 0 };
  const unanswered = { status: 0, answer: '' };
  return {
    job,
    index,
    kind,
    body,
    state: 'queued',
    attempt: 1,
    agent: '',
    ...times,
    expectedMs,
    ...unanswered,
  };
}
