/** State of an entry: the jobs it coordinates, the agents it may use and its policy. */
import TinyQueue from 'tinyqueue';

import type { Message } from '../../connection/messages.js';
import type { Admission } from '../../request/admission.js';
import type { Job, JobAnswer, Task } from '../../request/job.js';
import type { Ordering } from '../../request/ordering.js';
import type { Placement } from '../../request/placement.js';
import type { ConfigState } from '../../version/configState.js';

/** Limits and timeouts of an entry. All times in ms. */
export interface EntryLimits {
  /** Oldest accepted job key, by its creation time. */
  readonly horizonMs: number;
  /** Largest assumed difference between two clocks. */
  readonly skewMs: number;
  /** How long the entry may claim after it last read the log or had messages from a majority of registrars. */
  readonly leaseMs: number;
  /** Longest wait for a claim; past it the job fails. */
  readonly claimTimeoutMs: number;
  /** Base wait before a claim is resent; doubled per try up to the maximum. The first wait is 10 times the base. */
  readonly claimRetryMs: number;
  readonly claimRetryMaxMs: number;
  /** How long a linked entry may send nothing before it counts as unreachable; longer than the heartbeat interval. */
  readonly unresponsiveAfterMs: number;
  /** How long an owner is unreachable before its job is taken over. */
  readonly takeoverAfterMs: number;
  /** Wait before an unacknowledged announcement is resent. */
  readonly announceRepeatMs: number;
  /** Number of claims in one part of an announcement. */
  readonly claimsPerPart: number;
  /** Interval between attach requests for a job that has not ended; a sweep is resent after a quarter of it. */
  readonly repeatMs: number;
  /** How long a sweep waits for an agent. */
  readonly sweepTimeoutMs: number;
  /** How long an agent's link may be down before the agent is removed and its tasks count as lost. */
  readonly agentLostMs: number;
  /** Wait before an unanswered start is resent; the first wait adds a multiple of the expected duration. */
  readonly askAgainMs: number;
  /** Largest number of admitted active jobs. */
  readonly maxActiveJobs: number;
  /** Largest size of held bodies and answers. Past half of it the oldest answers are dropped; at it, new jobs fail. */
  readonly maxBytes: number;
  /** How far the rank of the first waiting task must fall, in ms, before the demand is reported again. */
  readonly demandStepMs: number;
  /** Retry budget of a job for refused starts: this many per task, plus `retryFloor`. */
  readonly retryShare: number;
  readonly retryFloor: number;
}

/** Default limits. */
export const DEFAULT_ENTRY_LIMITS: EntryLimits = {
  horizonMs: 110_000,
  skewMs: 1_000,
  leaseMs: 4_000,
  claimTimeoutMs: 6_000,
  claimRetryMs: 20,
  claimRetryMaxMs: 500,
  unresponsiveAfterMs: 2_500,
  takeoverAfterMs: 1_500,
  announceRepeatMs: 100,
  claimsPerPart: 500,
  repeatMs: 500,
  sweepTimeoutMs: 1_500,
  agentLostMs: 2_500,
  askAgainMs: 10_000,
  maxActiveJobs: 20_000,
  maxBytes: 192 * 1024 * 1024,
  demandStepMs: 300,
  retryShare: 3,
  retryFloor: 20,
};

/** Connection, credit and load of an agent incarnation. */
export interface AgentView {
  readonly peer: string;
  readonly failureDomain: string;
  readonly slots: number;
  connected: boolean;
  /** When its link went down, ms since the epoch. */
  downSince: number;
  leaving: boolean;
  /** Credits granted on the current link. */
  granted: number;
  /** Credits used on the current link. */
  used: number;
  /** Number of waiting tasks last reported to the agent. */
  reportedWaiting: number;
  /** Rank of the first waiting task last reported to the agent. */
  reportedHeadRank: number;
  /** Tasks sent to it that have not ended. */
  readonly outstanding: Set<Task>;
  /** Moving average of the ratio of actual to expected duration. */
  slowness: number;
}

/** Connection of a peer process. It is kept after its link is lost. */
export interface PeerView {
  readonly peer: string;
  connected: boolean;
  downSince: number;
  /** When the last message arrived, ms since the epoch. */
  lastReceivedAt: number;
}

/** Strategies of an entry for ordering, placement and admission. */
export interface EntryPolicy {
  readonly ordering: Ordering;
  readonly placement: Placement;
  readonly admission: Admission;
}

/** Moving average of a kind's task duration. */
export interface KindStats {
  meanMs: number;
  samples: number;
}

/** An action for the caller of the state machine to apply. */
export type EntryEffect =
  | { readonly type: 'send'; readonly to: string; readonly message: Message }
  /** Sends the answer to one caller. */
  | { readonly type: 'answer'; readonly caller: string; readonly job: string; readonly answer: JobAnswer }
  /** Opens a link to an agent that must be swept. */
  | { readonly type: 'dial'; readonly peer: string }
  | { readonly type: 'decision'; readonly decision: string; readonly job: string; readonly detail: Decision };

/** Log fields of a decision. */
export type Decision = Readonly<Record<string, string | number>>;

/** Item of the ready queue: a job with queued tasks, at its rank when it was enqueued. */
export interface ReadyItem {
  readonly rank: number;
  readonly job: Job;
  readonly rankVersion: number;
}

/** State of an entry. The functions of this folder change the state that is passed to them. */
export interface EntryState {
  readonly peer: string;
  readonly limits: EntryLimits;
  readonly policy: EntryPolicy;
  readonly nextRandom: () => number;
  config: ConfigState;
  /** When the log was last read, ms since the epoch. */
  logReadAt: number;
  /** Latest time at or after which each registrar of a majority last sent a message, ms since the epoch. */
  majorityReceivedAt: number;
  readonly agents: Map<string, AgentView>;
  readonly peers: Map<string, PeerView>;
  /** Agent sets by id. */
  readonly agentSets: Map<number, readonly string[]>;
  /** Id of the newest agent set, which new claims use. */
  setId: number;
  /** Id of the newest agent set sent to each registrar. */
  readonly sentSetIds: Map<string, number>;
  /** Offset of the newest announcement that each registrar has acknowledged. */
  readonly announced: Map<string, number>;
  /** When an announcement was last sent to each registrar, ms since the epoch. */
  readonly announcedAt: Map<string, number>;
  readonly jobs: Map<string, Job>;
  /** Jobs that have not ended. */
  readonly active: Set<Job>;
  /** Ended jobs that are kept to answer repeated submissions, oldest first. */
  readonly answered: Job[];
  readonly ready: TinyQueue<ReadyItem>;
  /** Jobs by the id of their pending claim. */
  readonly claims: Map<number, Job>;
  /** Jobs by the id of their attach request. */
  readonly attaches: Map<number, Job>;
  nextId: number;
  readonly kinds: Map<string, KindStats>;
  /** Queued tasks of running jobs. */
  waitingTasks: number;
  /** Expected unfinished work, ms, by priority and size class (see `computeBacklogClass`). */
  readonly backlog: Map<number, number>;
  /** Work that arrived since tasks began to wait, in the same classes. */
  readonly arrivals: Map<number, number>;
  /** Time since which tasks have been waiting without interruption, ms since the epoch. */
  busySince: number;
  /** Backlog by caller and team, ms, under `caller/NAME` and `team/NAME`. */
  readonly shares: Map<string, number>;
  /** Size of all held bodies and answers. */
  bytes: number;
  /** Unsent acknowledgements: task indexes by agent and job. */
  readonly acks: Map<string, Map<string, number[]>>;
  /** When acknowledgements were last sent to all agents, ms since the epoch. */
  ackedAt: number;
  /** When the waiting jobs were last re-evaluated, ms since the epoch. */
  shedAt: number;
  /** Index of the agent at which the next report of demand starts. */
  demandCursor: number;
  leaving: boolean;
  /** Effects of the current turn. The demand is filled into starts when the turn ends. */
  outbox: EntryEffect[];
}

/**
 * Creates the state of an entry without agents and jobs.
 *
 * @param peer - `id@incarnation` of the process
 * @param limits - its limits
 * @param options - its policy, configuration and random number generator
 * @returns the state
 */
export function createEntryState(
  peer: string,
  limits: EntryLimits,
  options: { policy: EntryPolicy; config: ConfigState; nextRandom: () => number },
): EntryState {
  return {
    peer,
    limits,
    policy: options.policy,
    nextRandom: options.nextRandom,
    config: options.config,
    logReadAt: Number.NEGATIVE_INFINITY,
    majorityReceivedAt: Number.NEGATIVE_INFINITY,
    agents: new Map(),
    peers: new Map(),
    agentSets: new Map([[0, []]]),
    setId: 0,
    sentSetIds: new Map(),
    announced: new Map(),
    announcedAt: new Map(),
    jobs: new Map(),
    active: new Set(),
    answered: [],
    ready: new TinyQueue<ReadyItem>([], (left, right) => left.rank - right.rank),
    claims: new Map(),
    attaches: new Map(),
    nextId: 1,
    kinds: new Map(),
    waitingTasks: 0,
    backlog: new Map(),
    arrivals: new Map(),
    busySince: 0,
    shares: new Map(),
    bytes: 0,
    acks: new Map(),
    ackedAt: 0,
    shedAt: 0,
    demandCursor: 0,
    leaving: false,
    outbox: [],
  };
}
