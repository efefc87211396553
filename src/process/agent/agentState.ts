/** What an agent knows: the tasks it was asked to start, and the credit of each entry. */
import type { AgentTaskState, Epoch, Message } from '../../connection/messages.js';

/** Bounds of an agent. */
export interface AgentLimits {
  /** Tasks that the upstream runs at once. */
  readonly slots: number;
  /** Credits beyond the slots, which hide the round trip to the entries. */
  readonly overcommit: number;
  /** How long a job is remembered after its creation, in ms. */
  readonly horizonMs: number;
  /** Most jobs in the table; past it no credit is granted. */
  readonly maxJobs: number;
  /** Most bytes of held answers; past it acknowledged ones are dropped, then no credit is granted. */
  readonly maxAnswerBytes: number;
  /** How much lower another entry's task must rank, in ms, to get a credit that costs a message. */
  readonly stickinessMs: number;
}

/** Limits of an agent beside an upstream of 8 slots. */
export const DEFAULT_AGENT_LIMITS: AgentLimits = {
  slots: 8,
  overcommit: 2,
  horizonMs: 120_000,
  maxJobs: 100_000,
  maxAnswerBytes: 64 * 1024 * 1024,
  stickinessMs: 500,
};

/** One task as the agent knows it. */
export interface AgentTask {
  readonly job: AgentJob;
  readonly index: number;
  state: AgentTaskState;
  attempt: number;
  /** Epoch of the attempt. */
  epoch: Epoch;
  kind: string;
  /** JSON text sent to the upstream; dropped once the task ended. */
  body: string;
  deadline: number;
  rank: number;
  /** The entry whose credit the task uses. */
  from: string;
  status: number;
  answer: string;
  hasAnswer: boolean;
  reason: string;
  startedAt: number;
  workMs: number;
}

/** One job as the agent knows it. */
export interface AgentJob {
  readonly key: string;
  readonly createdAt: number;
  epoch: Epoch;
  /** The entry that owns the job at that epoch. */
  owner: string;
  readonly tasks: Map<number, AgentTask>;
}

/** Credit of one entry. Counters start anew with each link. */
export interface EntryCredit {
  readonly peer: string;
  granted: number;
  /** The count of `granted` that the entry was last told. */
  told: number;
  used: number;
  /** Accepted tasks that have not ended. */
  outstanding: number;
  /** Tasks that wait in the entry, as it last said. */
  waiting: number;
  headRank: number;
  /** True while a result for the entry is being made, which can carry a credit. */
  answering: boolean;
  /** False while the entry's link is down. */
  connected: boolean;
}

/** What the agent's loop has to carry out. */
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
  /** Accepted tasks without a slot, lowest rank first. */
  readonly waiting: AgentTask[];
  running: number;
  readonly credits: Map<string, EntryCredit>;
  leaving: boolean;
  /** True while the upstream refuses connections. */
  upstreamDown: boolean;
  answerBytes: number;
  /** Finished tasks whose answers the owner holds, oldest first. */
  readonly acked: AgentTask[];
  outbox: AgentEffect[];
}

/**
 * Creates the state of an agent that has started nothing.
 *
 * @param peer - `id@incarnation` of the process
 * @param limits - its bounds
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
