/**
 * Messages between processes. The fields are those of `wire.proto`; `type` is the member of the envelope that
 * carries the message.
 */

/**
 * Fencing epoch of a job: the registrar's tenure, then its counter. A higher epoch supersedes a lower one.
 */
export interface Epoch {
  readonly version: number;
  readonly counter: number;
}

/** First message of both ends of a link. */
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

/** Sent on an idle link; `reply` requests a heartbeat from the peer. */
export interface Heartbeat {
  readonly type: 'heartbeat';
  readonly offset: number;
  /** Number of registrars from which the sender received a message within the lease. */
  readonly registrarsHeard: number;
  /** Whether the sender read the log within the lease. */
  readonly heardLog: boolean;
  readonly reply: boolean;
  /** Agent to entry: credits granted on this link so far. */
  readonly granted: number;
}

/** Entry to agent: start a task unless it has already started. */
export interface Start {
  readonly type: 'start';
  readonly job: string;
  readonly createdAt: number;
  readonly epoch: Epoch;
  readonly index: number;
  /** Number of earlier sends that were refused; an agent refuses an attempt that it refused before. */
  readonly attempt: number;
  readonly kind: string;
  /** JSON text. */
  readonly body: string;
  /** Deadline, ms since the epoch. */
  readonly deadline: number;
  /** Order among waiting tasks; lower ranks first. */
  readonly rank: number;
  /** Credits used on this link so far, including this start. */
  readonly used: number;
  /** Number of tasks that wait in the entry. */
  readonly waiting: number;
  /** Lowest rank among the waiting tasks. */
  readonly headRank: number;
  /** Whether the entry repeats a start that it has already sent. */
  readonly again: boolean;
}

/** State of a task in an agent's table. */
export type AgentTaskState = 'waiting' | 'running' | 'finished' | 'refused' | 'unknown';

/** Agent to entry: outcome of a start. */
export interface Result {
  readonly type: 'result';
  readonly job: string;
  readonly epoch: Epoch;
  readonly index: number;
  readonly attempt: number;
  readonly state: string;
  /** HTTP status of the upstream's answer; set when finished. */
  readonly status: number;
  readonly body: string;
  readonly reason: string;
  /** Credits granted on this link so far. */
  readonly granted: number;
  /** Run time of the task at the upstream, ms. */
  readonly workMs: number;
}

/** Entry to agent: waiting tasks, sent when no start carries them. */
export interface Demand {
  readonly type: 'demand';
  readonly waiting: number;
  readonly headRank: number;
  readonly used: number;
}

/** Agent to entry: credits granted on this link so far, sent when no result carries them. */
export interface Credit {
  readonly type: 'credit';
  readonly granted: number;
}

/**
 * Entry to agent: the entry has received these answers; the agent may drop their bodies when short of memory.
 */
export interface Ack {
  readonly type: 'ack';
  readonly jobs: readonly AckedJob[];
}

/** Tasks of one job in an acknowledgement. */
export interface AckedJob {
  readonly job: string;
  readonly indexes: readonly number[];
}

/** Entry to agent: the job has failed; its waiting tasks must not start. */
export interface Cancel {
  readonly type: 'cancel';
  readonly job: string;
  readonly epoch: Epoch;
}

/** New owner to agent: fence the job below this epoch and report its tasks. */
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
  /** False when the answer was acknowledged and its body was dropped. */
  readonly hasBody: boolean;
}

/** Agent to new owner: all tasks of the job in the agent's table. */
export interface Swept {
  readonly type: 'swept';
  readonly job: string;
  readonly epoch: Epoch;
  /** Whether the agent has already received a higher epoch. */
  readonly fenced: boolean;
  readonly tasks: readonly SweptTask[];
}

/** Kind of a claim. */
export type ClaimMode = 'claim' | 'lookup' | 'widen' | 'takeover';

/** Entry to registrar: request for the ownership of a job. */
export interface Claim {
  readonly type: 'claim';
  readonly id: number;
  readonly job: string;
  readonly createdAt: number;
  /** Hash of the job's content. */
  readonly digest: string;
  /** Id of the agent set that the job may use. */
  readonly setId: number;
  readonly mode: string;
  /** Current epoch as assumed by the claimer; takeover only. */
  readonly expected: Epoch;
  readonly offset: number;
}

/**
 * Outcome of a claim. `granted`: the claimer owns the job. `owned`: another entry owns it. `none`: a lookup
 * found no claim. `pending`: the claimer should retry shortly. `unknown`: the history of the key is lost.
 * `denied`: the registrar or the entry may not claim at present.
 */
export type ClaimOutcome = 'granted' | 'owned' | 'none' | 'pending' | 'unknown' | 'denied';

/** Registrar to entry: answer to a claim. */
export interface Claimed {
  readonly type: 'claimed';
  readonly id: number;
  readonly job: string;
  readonly outcome: string;
  readonly epoch: Epoch;
  readonly owner: string;
  /** Agents that any owner of the job may have used. */
  readonly members: readonly string[];
  readonly digest: string;
}

/** Entry to registrar: defines a set of agent incarnations for later claims. */
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
  /** Agents that any owner may have used; empty when they are those of the set. */
  readonly members: readonly string[];
}

/**
 * Entry to registrar: the claims that the entry owns on the registrar's seats, as of a configuration offset.
 */
export interface Announce {
  readonly type: 'announce';
  readonly offset: number;
  readonly claims: readonly OwnedClaim[];
  /** Distinguishes this announcement from a repeated one, which may be split differently. */
  readonly id: number;
  /** Index of this part, from 0, and number of parts. */
  readonly part: number;
  readonly parts: number;
}

/** Registrar to entry: the announcement as of this offset is recorded. */
export interface Announced {
  readonly type: 'announced';
  readonly offset: number;
}

/** Entry to the owning entry: request for the job's answer as soon as it is available. */
export interface Attach {
  readonly type: 'attach';
  readonly id: number;
  readonly job: string;
  readonly digest: string;
}

/** Owner to attached entry: state and answer of the job. */
export interface Attached {
  readonly type: 'attached';
  readonly id: number;
  readonly job: string;
  /** `answered`, `waiting` or `absent`. */
  readonly state: string;
  /** JSON text of the answer; set when answered. */
  readonly answer: string;
}

/** The sender is shutting down and accepts nothing new. */
export interface Leaving {
  readonly type: 'leaving';
  readonly done: boolean;
}

/** Requests the configuration if the peer has a newer one. */
export interface StateRequest {
  readonly type: 'stateRequest';
  readonly offset: number;
}

/** The configuration as JSON text. */
export interface StateReply {
  readonly type: 'stateReply';
  readonly offset: number;
  readonly state: string;
}

/** An operator's query, forwarded to another entry. */
export interface Ask {
  readonly type: 'ask';
  readonly id: number;
  readonly text: string;
}

/** Answer to a forwarded query, as JSON text. */
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
