/** A job and its tasks as the entry that coordinates it knows them. */
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
  /** Creation of the key, ms since the epoch. */
  readonly createdAt: number;
  readonly event: string;
  /** Longest useful time to the answer in ms; undefined for that of the kinds. */
  readonly deadlineMs: number | undefined;
  readonly tasks: readonly TaskRequest[];
  /** Who sent it, for fair shares; empty when not told. */
  readonly caller: string;
  readonly team: string;
}

/** Answer to one task. */
export interface TaskAnswer {
  readonly status: number;
  /** JSON text. */
  readonly body: string;
}

/** Whether a failed job ran: `some` when at least one task is known to have started. */
export type Ran = 'unknown' | 'some';

/** The one outcome that a caller receives. */
export type JobAnswer =
  | { readonly outcome: 'complete'; readonly answers: readonly TaskAnswer[] }
  | { readonly outcome: 'refused'; readonly reason: string; readonly retryAfterMs: number }
  | { readonly outcome: 'failed'; readonly ran: Ran; readonly reason: string; readonly retryAfterMs: number }
  | { readonly outcome: 'conflict'; readonly differs: readonly string[] };

/** One task in the owning entry. */
export interface Task {
  /** Key of its job. */
  readonly job: string;
  readonly index: number;
  readonly kind: string;
  body: string;
  state: TaskState;
  attempt: number;
  /** Agent incarnation it was sent to. */
  agent: string;
  sentAt: number;
  /** When to ask the agent again, ms since the epoch. */
  askAt: number;
  readonly expectedMs: number;
  status: number;
  answer: string;
}

/** One job in an entry. */
export interface Job {
  readonly key: string;
  readonly createdAt: number;
  readonly digest: string;
  readonly event: string;
  readonly caller: string;
  readonly team: string;
  /** Empty once the job has ended for good. */
  tasks: Task[];
  readonly taskCount: number;
  /** Operator priority: the lowest of its kinds. */
  readonly priority: number;
  state: JobState;
  arrivedAt: number;
  /** Latest useful answer, ms since the epoch. */
  deadline: number;
  epoch: Epoch;
  /** Agent set of the claim. */
  setId: number;
  /** Agent incarnations that any owner of the job may have used. */
  members: readonly string[];
  /** Indexes of queued tasks; the last is sent first. */
  queued: number[];
  finished: number;
  /** Expected work of all tasks, ms. */
  readonly workMs: number;
  /** Expected work of the tasks not yet finished, ms. */
  remainingMs: number;
  rank: number;
  /** Counts the rank's changes, so that stale queue items are known. */
  rankVersion: number;
  /** Id of the claim in flight; 0 for none. */
  claimId: number;
  claimMode: string;
  /** Agent set that the claim in flight names. */
  claimSetId: number;
  claimSince: number;
  claimAt: number;
  /** How often the claim was sent. */
  claimTries: number;
  /** Epoch that a takeover names, and the owner it ends. */
  expected: Epoch;
  owner: string;
  attachId: number;
  /** Since when the owner has been out of reach; 0 while it is heard. */
  ownerLostAt: number;
  /** Members that have not answered the sweep. */
  sweeping: Set<string>;
  sweepSince: number;
  sweepAt: number;
  /** Members that can no longer say what they started. */
  lostMembers: string[];
  /** Why admission refuses the job unless it is known already; undefined when admitted. */
  refusal: { readonly reason: string; readonly retryAfterMs: number } | undefined;
  /** Callers that wait on a connection. */
  callers: string[];
  /** Entries that attached, with the ids of their requests. */
  attached: { readonly peer: string; readonly id: number }[];
  answer: JobAnswer | undefined;
  /** True for a job that ended without ever being claimed: nothing of it ran here. */
  unclaimed: boolean;
  endedAt: number;
  /** Bytes of bodies and answers, for the entry's bounds. */
  bytes: number;
  /** Tasks that refusals sent back, for the retry budget. */
  retries: number;
}

/**
 * Creates a job that has not been claimed.
 *
 * @param request - the checked submission
 * @param digest - hash of its contents
 * @param options - what the event's configuration and the clock add
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
 * Queues the tasks that are in state `queued`, longest last so that it is sent first.
 *
 * @param job - the job, which is changed
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
