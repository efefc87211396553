/** State of an agent: the tasks sent to it and the credit of each entry. */
import type { AgentTaskState, Epoch, Message } from '../../connection/messages.js';

/** Limits of an agent. */
export interface AgentLimits {
  /** Number of tasks that the upstream runs concurrently. */
  readonly slots: number;
  /** Credits in addition to the slots, so that slots stay busy during the round trip to the entries. */
  readonly overcommit: number;
  /** How long a new job is accepted after its creation, ms; its record is kept slightly longer. */
  readonly horizonMs: number;
  /** Largest number of jobs in the table; at it no credit is granted. */
  readonly maxJobs: number;
  /** Largest size of held answers. Past half of it acknowledged answers are dropped; at it no credit is granted. */
  readonly maxAnswerBytes: number;
  /** How much lower another entry's first task must rank, in ms, to get a credit that needs an extra message. */
  readonly stickinessMs: number;
}

/** Default limits, for an upstream with 8 slots. */
export const DEFAULT_AGENT_LIMITS: AgentLimits = {
  slots: 8,
  overcommit: 2,
  horizonMs: 120_000,
  maxJobs: 100_000,
  maxAnswerBytes: 64 * 1024 * 1024,
  stickinessMs: 500,
};

/** A task that was sent to the agent. */
export interface AgentTask {
  readonly job: AgentJob;
  readonly index: number;
  state: AgentTaskState;
  attempt: number;
  /** Epoch under which the attempt was sent. */
  epoch: Epoch;
  kind: string;
  /** JSON text for the upstream; cleared once the task has ended. */
  body: string;
  deadline: number;
  rank: number;
  /** Entry whose credit the task uses. */
  from: string;
  status: number;
  answer: string;
  hasAnswer: boolean;
  reason: string;
  startedAt: number;
  workMs: number;
}

/** A job with tasks sent to the agent, or fenced by a sweep. */
export interface AgentJob {
  readonly key: string;
  readonly createdAt: number;
  epoch: Epoch;
  /** Entry that owns the job at that epoch. */
  owner: string;
  readonly tasks: Map<number, AgentTask>;
}

/** Credit of an entry. The counters are reset for each link, except for `outstanding`. */
export interface EntryCredit {
  readonly peer: string;
  granted: number;
  /** Value of `granted` last reported to the entry. */
  reportedGranted: number;
  used: number;
  /** Accepted tasks that have not ended. */
  outstanding: number;
  /** Number of tasks waiting in the entry, as last reported by it. */
  waiting: number;
  /** Rank of the first of them. */
  headRank: number;
  /** True while a result for the entry is being prepared, which can carry a credit. */
  hasPendingResult: boolean;
  /** False while the entry's link is down. */
  connected: boolean;
}

/** An action for the caller of the state machine to apply. */
export type AgentEffect =
  | { readonly type: 'send'; readonly to: string; readonly message: Message }
  | { readonly type: 'run'; readonly task: AgentTask }
  | {
      readonly type: 'decision';
      readonly decision: string;
      readonly task: AgentTask;
      readonly reason: string;
    };

/** State of an agent. The functions of this folder change the state that is passed to them. */
export interface AgentState {
  readonly peer: string;
  readonly limits: AgentLimits;
  readonly jobs: Map<string, AgentJob>;
  /** Accepted tasks waiting for a slot, lowest rank first. */
  readonly waiting: AgentTask[];
  running: number;
  readonly credits: Map<string, EntryCredit>;
  leaving: boolean;
  /** True while the upstream refuses connections. */
  upstreamDown: boolean;
  /** Size of the held answers. */
  answerBytes: number;
  /** Finished tasks whose answers the owner acknowledged, oldest first. */
  readonly acked: AgentTask[];
  outbox: AgentEffect[];
}

/**
 * Creates the state of an agent without jobs and entries.
 *
 * @param peer - `id@incarnation` of the process
 * @param limits - its limits
 * @returns the state
 * @example
 * createAgentState('agent-1@a', DEFAULT_AGENT_LIMITS).running; // 0
 */
export function createAgentState(peer: string, limits: AgentLimits): AgentState {
  return {
    peer,
    limits,
    jobs: new Map(),
    waiting: [],
    running: 0,
    credits: new Map(),
    leaving: false,
    upstreamDown: false,
    answerBytes: 0,
    acked: [],
    outbox: [],
  };
}
