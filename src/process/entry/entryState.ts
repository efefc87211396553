/** What an entry knows: the jobs it coordinates, the agents it may use, its policy. */
import TinyQueue from 'tinyqueue';

import type { Message } from '../../connection/messages.js';
import type { Admission } from '../../request/admission.js';
import type { Job, JobAnswer, Task } from '../../request/job.js';
import type { Ordering } from '../../request/ordering.js';
import type { Placement } from '../../request/placement.js';
import type { ConfigState } from '../../version/configState.js';

/** Bounds and times of an entry. All times in ms. */
export interface EntryLimits {
  /** Oldest key that is taken, by its creation. */
  readonly horizonMs: number;
  /** Largest difference between two clocks. */
  readonly skewMs: number;
  /** How long the entry claims on without hearing the log or a majority of the registrars. */
  readonly leaseMs: number;
  /** Longest wait for a claim; past it the job fails as unknown. */
  readonly claimTimeoutMs: number;
  /** First wait before a claim is sent again; doubled up to `claimRetryMaxMs`. */
  readonly claimRetryMs: number;
  readonly claimRetryMaxMs: number;
  /** How long a linked entry may be silent before it counts as out of reach; heartbeats come far more often. */
  readonly silentAfterMs: number;
  /** How long an owner is out of reach before its job is taken over. */
  readonly takeoverAfterMs: number;
  /** Wait before an unrecorded announcement is sent again. */
  readonly announceRepeatMs: number;
  /** Claims in one message of an announcement. */
  readonly claimsPerPart: number;
  /** Wait before an unanswered attach or sweep is sent again. */
  readonly repeatMs: number;
  /** How long a sweep waits for an agent. */
  readonly sweepTimeoutMs: number;
  /** How long an agent's link may be down before its tasks are unknown. */
  readonly agentLostMs: number;
  /** Wait, on top of the expected duration, before an agent is asked again for a task. */
  readonly askAgainMs: number;
  /** Most jobs that have not ended. */
  readonly maxActiveJobs: number;
  /** Most bytes of bodies and answers; past it the oldest answers are dropped, then jobs refused. */
  readonly maxBytes: number;
  /** How much more urgent, in ms of rank, a waiting task must be for the agents to be told. */
  readonly demandStepMs: number;
  /** Refused starts that a job may send again, as a share of its tasks, plus `retryFloor`. */
  readonly retryShare: number;
  readonly retryFloor: number;
}

/** Limits that the daemons start with. */
export const DEFAULT_ENTRY_LIMITS: EntryLimits = {
  horizonMs: 110_000,
  skewMs: 1_000,
  leaseMs: 4_000,
  claimTimeoutMs: 6_000,
  claimRetryMs: 20,
  claimRetryMaxMs: 500,
  silentAfterMs: 2_500,
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

/** An agent incarnation as an entry sees it. */
export interface AgentView {
  readonly peer: string;
  readonly failureDomain: string;
  readonly slots: number;
  connected: boolean;
  /** When its link went down, ms since the epoch. */
  downSince: number;
  leaving: boolean;
  /** Credits granted and used on the present link. */
  granted: number;
  used: number;
  /** What the agent was last told of the waiting tasks. */
  toldWaiting: number;
  /** Rank of the first of them that it was told. */
  toldHeadRank: number;
  /** Tasks sent to it that have not ended. */
  readonly outstanding: Set<Task>;
  /** Moving mean of measured over expected duration. */
  slowness: number;
}

/** Another process as an entry sees it. */
export interface PeerView {
  readonly peer: string;
  connected: boolean;
  downSince: number;
  /** When a message of it last arrived, ms since the epoch. */
  heardAt: number;
}

/** The policy of an entry. */
export interface EntryPolicy {
  readonly ordering: Ordering;
  readonly placement: Placement;
  readonly admission: Admission;
}

/** Moving mean of a kind's measured duration. */
export interface KindStats {
  meanMs: number;
  samples: number;
}

/** What the entry's loop has to carry out. */
export type EntryEffect =
  | { readonly type: 'send'; readonly to: string; readonly message: Message }
  /** Answer one caller. */
  | { readonly type: 'answer'; readonly caller: string; readonly job: string; readonly answer: JobAnswer }
  /** Link to an agent that a sweep needs. */
  | { readonly type: 'dial'; readonly peer: string }
  | { readonly type: 'decision'; readonly decision: string; readonly job: string; readonly detail: Decision };

/** Fields of a decision's log line. */
export type Decision = Readonly<Record<string, string | number>>;

/** Item of the ready queue: a job with queued tasks at a rank. */
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
  heardLogAt: number;
  /** When a majority of the registrars was last heard at the present offset. */
  heardMajorityAt: number;
  readonly agents: Map<string, AgentView>;
  readonly peers: Map<string, PeerView>;
  /** Agent sets by number; the newest is the one that new claims use. */
  readonly sets: Map<number, readonly string[]>;
  setId: number;
  /** The newest set that each registrar was sent. */
  readonly sentSets: Map<string, number>;
  /** Offset up to which each registrar has recorded this entry's announcements. */
  readonly announced: Map<string, number>;
  /** When each registrar was last sent an announcement. */
  readonly announcedAt: Map<string, number>;
  readonly jobs: Map<string, Job>;
  /** Jobs that have not ended. */
  readonly active: Set<Job>;
  /** Ended jobs whose answers are held, oldest first. */
  readonly answered: Job[];
  readonly ready: TinyQueue<ReadyItem>;
  /** Jobs by the id of their claim in flight. */
  readonly claims: Map<number, Job>;
  /** Jobs by the id of their attach request. */
  readonly attaches: Map<number, Job>;
  nextId: number;
  readonly kinds: Map<string, KindStats>;
  /** Queued tasks of running jobs. */
  waitingTasks: number;
  /** Expected work not yet finished, ms, by priority and size class (see `findBacklogClass`). */
  readonly backlog: Map<number, number>;
  /** Work let in since tasks began to wait, in the same classes. */
  readonly arrivals: Map<number, number>;
  /** Since when tasks have waited without a break, ms since the epoch. */
  busySince: number;
  /** The backlog by caller and team, as `caller/NAME` and `team/NAME`. */
  readonly shares: Map<string, number>;
  bytes: number;
  /** Answers held here that the agents have not been told of: indexes by agent and job. */
  readonly acks: Map<string, Map<string, number[]>>;
  /** When acknowledgements were last sent to all, ms since the epoch. */
  ackedAt: number;
  /** When the waiting jobs were last judged again, ms since the epoch. */
  shedAt: number;
  /** Which agent is next to be told of waiting tasks. */
  demandCursor: number;
  leaving: boolean;
  /** Starts and demands of this turn, completed with the entry's demand when the turn ends. */
  outbox: EntryEffect[];
}

/**
 * Creates the state of an entry that knows no agent and no job.
 *
 * @param peer - `id@incarnation` of the process
 * @param limits - its bounds
 * @param options - its policy, configuration and random numbers
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
    heardLogAt: Number.NEGATIVE_INFINITY,
    heardMajorityAt: Number.NEGATIVE_INFINITY,
    agents: new Map(),
    peers: new Map(),
    sets: new Map([[0, []]]),
    setId: 0,
    sentSets: new Map(),
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
