/**
 * The messages between processes, as the decision core sees them. The fields are those of `wire.proto`;
 * `type` names the member of the envelope that carries the message.
 */

/** Fencing epoch of a job: the registrar's tenure, then its counter. A higher epoch ends a lower one. */
export interface Epoch {
  readonly version: number;
  readonly counter: number;
}

/** First message on a link, from both ends. */
export interface Hello {
  readonly type: 'hello';
  /** `id@incarnation` of the sender. */
  readonly peer: string;
  readonly role: string;
  readonly failureDomain: string;
  /** Offset of the sender's configuration. */
  readonly offset: number;
  /** Task slots of an agent; 0 for an entry. */
  readonly slots: number;
  readonly address: string;
  readonly queued: number;
  readonly leaving: boolean;
}

/** Sent on an idle link; `reply` asks the peer for one back. */
export interface Heartbeat {
  readonly type: 'heartbeat';
  readonly offset: number;
  /** How many registrars the sender heard within the lease. */
  readonly registrarsHeard: number;
  /** Whether the sender itself read the log within the lease. */
  readonly heardLog: boolean;
  readonly reply: boolean;
  /** Agent to entry: credits granted on this link so far. */
  readonly granted: number;
}

/** Entry to agent: start one task unless it started already. */
export interface Start {
  readonly type: 'start';
  readonly job: string;
  readonly createdAt: number;
  readonly epoch: Epoch;
  readonly index: number;
  /** Counts the sends of this task that a refusal freed; an agent refuses an attempt it refused before. */
  readonly attempt: number;
  readonly kind: string;
  /** JSON text. */
  readonly body: string;
  /** Latest useful finish, ms since the epoch. */
  readonly deadline: number;
  /** Order among waiting tasks; lower first. */
  readonly rank: number;
  /** Credits used on this link so far, this one included. */
  readonly used: number;
  /** Tasks that still wait in the entry. */
  readonly waiting: number;
  /** Rank of the first of them. */
  readonly headRank: number;
  /** True when the entry only asks again for a task it sent already. */
  readonly again: boolean;
}

/** State of a task in an agent's table. */
export type AgentTaskState = 'waiting' | 'running' | 'finished' | 'refused' | 'unknown';

/** Agent to entry: what became of a start. */
export interface Result {
  readonly type: 'result';
  readonly job: string;
  readonly epoch: Epoch;
  readonly index: number;
  readonly attempt: number;
  readonly state: string;
  /** HTTP status of the upstream's answer when finished. */
  readonly status: number;
  readonly body: string;
  readonly reason: string;
  /** Credits granted on this link so far. */
  readonly granted: number;
  /** Time the upstream took, ms. */
  readonly workMs: number;
}

/** Entry to agent: how much waits, when no start carries it. */
export interface Demand {
  readonly type: 'demand';
  readonly waiting: number;
  readonly headRank: number;
  readonly used: number;
}

/** Agent to entry: credits granted on this link so far, when no result carries them. */
export interface Credit {
  readonly type: 'credit';
  readonly granted: number;
}

/** Entry to agent: these answers are held by the entry; the agent may drop their bodies when short of room. */
export interface Ack {
  readonly type: 'ack';
  readonly jobs: readonly AckedJob[];
}

/** Tasks of one job in an acknowledgement. */
export interface AckedJob {
  readonly job: string;
  readonly indexes: readonly number[];
}

/** Entry to agent: the job has failed; start none of its waiting tasks. */
export interface Cancel {
  readonly type: 'cancel';
  readonly job: string;
  readonly epoch: Epoch;
}

/** New owner to agent: fence the job below this epoch and say what started. */
export interface Sweep {
  readonly type: 'sweep';
  readonly job: string;
  readonly createdAt: number;
  readonly epoch: Epoch;
}

/** One task in the answer to a sweep. */
export interface SweptTask {
  readonly index: number;
  readonly attempt: number;
  readonly state: string;
  readonly status: number;
  readonly body: string;
  /** False when the answer was acknowledged and its body dropped. */
  readonly hasBody: boolean;
}

/** Agent to new owner: every task of the job that the agent knows. */
export interface Swept {
  readonly type: 'swept';
  readonly job: string;
  readonly epoch: Epoch;
  /** True when the agent already knows a higher epoch. */
  readonly fenced: boolean;
  readonly tasks: readonly SweptTask[];
}

/** What a claim asks for. */
export type ClaimMode = 'claim' | 'lookup' | 'widen' | 'takeover';

/** Entry to registrar. */
export interface Claim {
  readonly type: 'claim';
  readonly id: number;
  readonly job: string;
  readonly createdAt: number;
  /** Hash of the job's contents. */
  readonly digest: string;
  /** The agent set that the job may use. */
  readonly setId: number;
  readonly mode: string;
  /** Takeover only: the epoch that the claimer believes current. */
  readonly expected: Epoch;
  readonly offset: number;
}

/**
 * Outcome of a claim. `granted`: the asker owns the job. `owned`: another does. `none`: a lookup found no
 * claim. `pending`: ask again shortly. `unknown`: the key's history is lost. `denied`: the registrar or
 * the entry may not claim now.
 */
export type ClaimOutcome = 'granted' | 'owned' | 'none' | 'pending' | 'unknown' | 'denied';

/** Registrar to entry. */
export interface Claimed {
  readonly type: 'claimed';
  readonly id: number;
  readonly job: string;
  readonly outcome: string;
  readonly epoch: Epoch;
  readonly owner: string;
  /** Agents that owners of the job so far may have used. */
  readonly members: readonly string[];
  readonly digest: string;
}

/** Entry to registrar: names a set of agent incarnations for later claims. */
export interface AgentSet {
  readonly type: 'agentSet';
  readonly setId: number;
  readonly members: readonly string[];
}

/** One live claim in an announcement. */
export interface OwnedClaim {
  readonly job: string;
  readonly createdAt: number;
  readonly epoch: Epoch;
  readonly digest: string;
  readonly setId: number;
  /** Agents that owners may have used; empty for just those of the set. */
  readonly members: readonly string[];
}

/** Entry to registrar: the claims it owns on the registrar's seats, as of a configuration offset. */
export interface Announce {
  readonly type: 'announce';
  readonly offset: number;
  readonly claims: readonly OwnedClaim[];
  /** Tells this announcement from a repeat, whose parts may be cut differently. */
  readonly id: number;
  /** Which part this is, from 0, and of how many. */
  readonly part: number;
  readonly parts: number;
}

/** Registrar to entry: the announcement as of this offset is recorded. */
export interface Announced {
  readonly type: 'announced';
  readonly offset: number;
}

/** Entry to the owning entry: send me the job's answer when it is there. */
export interface Attach {
  readonly type: 'attach';
  readonly id: number;
  readonly job: string;
  readonly digest: string;
}

/** Owner to attached entry. */
export interface Attached {
  readonly type: 'attached';
  readonly id: number;
  readonly job: string;
  /** `answered`, `waiting` or `absent`. */
  readonly state: string;
  /** JSON of the answer when answered. */
  readonly answer: string;
}

/** A process is leaving: send it nothing new. */
export interface Leaving {
  readonly type: 'leaving';
  readonly done: boolean;
}

/** Asks a peer for the configuration when it knows a newer one. */
export interface StateRequest {
  readonly type: 'stateRequest';
  readonly offset: number;
}

/** The configuration as JSON. */
export interface StateReply {
  readonly type: 'stateReply';
  readonly offset: number;
  readonly state: string;
}

/** An operator's query, passed from entry to entry. */
export interface Ask {
  readonly type: 'ask';
  readonly id: number;
  readonly text: string;
}

/** Its answer, as JSON. */
export interface Told {
  readonly type: 'told';
  readonly id: number;
  readonly text: string;
}

/** Any message between two processes. */
export type Message =
  | Hello
  | Heartbeat
  | Start
  | Result
  | Demand
  | Credit
  | Ack
  | Cancel
  | Sweep
  | Swept
  | Claim
  | Claimed
  | AgentSet
  | Announce
  | Attach
  | Attached
  | Leaving
  | StateRequest
  | StateReply
  | Ask
  | Told
  | Announced;
