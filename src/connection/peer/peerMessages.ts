/**
 * What agents and entries say to each other. An agent dials every entry it knows; both write one JSON message a
 * line. Times called `at` are on the agent's monotonic clock in ms; no clock is ever compared with another's.
 */
import type { Resources } from '../../request/dispatch/submission.js';
import type { Configuration } from '../../version/configuration.js';
import type { EmptiedDomains } from '../../version/emptiedDomains.js';

/** Names one attempt of an entry to have a task run. */
export interface AttemptName {
  readonly job: string;
  readonly step: number;
  readonly index: number;
  /** Counts all attempts of one life of the entry, from 1. */
  readonly attempt: number;
}

/** Whether an upstream takes work. `silent`: an order or a renewal is without an answer. */
export type UpstreamState = 'absent' | 'joining' | 'ready' | 'silent' | 'draining';

/** How far an agent trusts its upstream with work, from what it did of late. */
export type UpstreamHealth = 'healthy' | 'probation' | 'suspect';

/** What an agent's upstream is; told on a link when it opens and when it changes. */
export interface UpstreamDescription {
  readonly upstream: string;
  readonly service: string;
  readonly labels: readonly string[];
  readonly capacity: Resources;
}

/** What an agent's upstream has left. */
export interface CapacityReport {
  /** Undefined while it is what the link was last told. */
  readonly description: UpstreamDescription | undefined;
  readonly state: UpstreamState;
  readonly trust: UpstreamHealth;
  readonly free: Resources;
  /** Starts of the addressed entry that are counted in `free`, since its link opened. */
  readonly startsSeen: number;
  /** Work done per ms of run time, in ms of the callers' estimates; 1 where estimates are exact. */
  readonly speed: number;
  /** Whether the addressed entry is the one that the agent prefers; undefined for no. */
  readonly isHome?: boolean | undefined;
}

/** Progress of a running attempt. */
export interface AttemptProgress {
  readonly name: AttemptName;
  /** 0 to 100. */
  readonly percent: number;
  /** Time for which the percentage has not changed, ms. */
  readonly stalledMs: number;
}

/** First message of an agent on a link. */
export interface ExecutorHello {
  readonly type: 'agent-hello';
  readonly agent: string;
  /** Differs between two lives of the process. */
  readonly life: string;
  readonly failureDomain: string;
  /** Attempts of the addressed entry that the agent still holds. */
  readonly holding: readonly AttemptName[];
  /** Life of the entry that `holding` belongs to; empty if none. */
  readonly entryLife: string;
  /** Results of the last seconds; those told on a link that broke may be lost. */
  readonly results: readonly AttemptResult[];
  /** Longest time after an unechoed ping for which anything of the entry can still run there, ms. */
  readonly orphanMs: number;
  /** Whether the agent reads batches of starts; agents of earlier versions do not. */
  readonly takesBatches?: boolean;
}

/** Where an entry takes links. */
export interface DispatcherPlace {
  /** `host:port`. */
  readonly address: string;
  readonly failureDomain: string;
}

/** First message of an entry on a link that an agent dialed. */
export interface DispatcherWelcome {
  readonly type: 'entry-welcome';
  readonly entry: string;
  readonly life: string;
  readonly place: DispatcherPlace;
}

/** First message of an entry that dials another one to make itself known. */
export interface DispatcherHello {
  readonly type: 'entry-hello';
  readonly entry: string;
  readonly place: DispatcherPlace;
}

/** Regular sign of life of an agent. */
export interface Ping {
  readonly type: 'ping';
  readonly at: number;
  /** Newest configuration that the agent holds; -1 for none. */
  readonly version: number;
  /** Newest list of emptied failure domains that it holds; -1 for none. Agents of earlier versions tell none. */
  readonly emptiedRevision?: number | undefined;
  /** Undefined while it is what the link was last told. */
  readonly room: CapacityReport | undefined;
  /** Time from the newest echoed ping to its echo, ms; undefined before the first. Agents of earlier versions tell none. */
  readonly echoMs?: number | undefined;
  /** Attempts that stand still or crawl; undefined for none. */
  readonly progress: readonly AttemptProgress[] | undefined;
}

/** Echo of a ping: proves that the entry lived after it was sent. */
export interface Pong {
  readonly type: 'pong';
  readonly at: number;
  /** Newest configuration that the entry holds; -1 for none. */
  readonly version: number;
  /** Newest list of emptied failure domains that it holds; -1 for none. Entries of earlier versions tell none. */
  readonly emptiedRevision?: number | undefined;
  /** Typical speed of the upstreams as the entry sees it, against which an upstream crawls. */
  readonly typicalSpeed: number;
  /** Whether tasks wait at the entry, so that it is told at once of room that comes free. */
  readonly isWaiting: boolean;
  /** Processor room that those tasks ask for, thousandths of a core. Entries of earlier versions tell none. */
  readonly waitingCpuMilli?: number | undefined;
}

/** Tasks have begun to wait at the entry; the next echo tells whether they still do. */
export interface DemandNotice {
  readonly type: 'demand';
  /** Processor room that they ask for, thousandths of a core. Entries of earlier versions tell none. */
  readonly waitingCpuMilli?: number | undefined;
}

/** Room that changed between two pings. */
export interface CapacityChange {
  readonly type: 'room';
  readonly at: number;
  readonly room: CapacityReport;
}

/** Order to run an attempt. */
export interface StartOrder {
  readonly type: 'start';
  readonly name: AttemptName;
  readonly service: string;
  readonly spec: string;
  readonly resources: Resources;
  readonly estimateMs: number;
  /** Lower goes first among what waits at the agent. */
  readonly rank: number;
  /** Not to be begun after this, on the agent's clock. */
  readonly expiresAt: number;
  /**
   * Whether upstreams have crashed under the task: one such task at a time runs at an upstream. Undefined for no; agents
   * of earlier versions start it as any other.
   */
  readonly isSuspect?: boolean | undefined;
}

/** A task of a batch of starts; the fields are those of its start. */
export interface StartBatchTask {
  readonly step: number;
  readonly index: number;
  readonly attempt: number;
  readonly resources: Resources;
  readonly estimateMs: number;
}

/** Starts of one job, on the wire only: a channel merges and splits them. */
export interface StartBatch {
  readonly type: 'starts';
  readonly job: string;
  readonly service: string;
  readonly spec: string;
  readonly rank: number;
  readonly expiresAt: number;
  readonly tasks: readonly StartBatchTask[];
}

/** Order to end an attempt. */
export interface StopOrder {
  readonly type: 'stop';
  readonly name: AttemptName;
}

/** How an attempt ended. `not-run`: it has not begun and will not. `lost`: it is gone with its upstream. */
export type AttemptEnd = 'done' | 'failed' | 'stopped' | 'lost' | 'not-run';

/** The one result of an attempt. */
export interface AttemptResult {
  readonly type: 'result';
  readonly name: AttemptName;
  readonly end: AttemptEnd;
  readonly reason: string;
}

/** Reason of a result that is lost: the upstream has crashed, and the task may have been at work there. */
export const UPSTREAM_CRASHED = 'upstream-crashed';

/** Reason of a result that is not run: the task is suspect, and another such task is at the upstream. */
export const OTHER_SUSPECT = 'other-suspect';

/** A task that may have been at work at an upstream when that crashed. */
export interface CrashedTask {
  readonly job: string;
  readonly step: number;
  readonly index: number;
  readonly estimateMs: number;
  /** Time from its first start until the crash was certain, ms. */
  readonly ranMs: number;
  /** Whether no other suspect was there. */
  readonly isIsolated: boolean;
}

/** Crashes that an agent tells another entry, as the one that ordered the tasks does not answer any more. */
export interface CrashNotice {
  readonly type: 'crashes';
  readonly tasks: readonly CrashedTask[];
}

/** A task under which upstreams have crashed, and what counts against it. */
export interface SuspectTask {
  readonly job: string;
  readonly step: number;
  readonly index: number;
  /** Rises with each change: of two records of a task the one with the higher number holds. */
  readonly revision: number;
  /** Upstreams that have crashed under it. */
  readonly crashes: number;
  /** Those of them that did not crash together with many others. */
  readonly blames: number;
  /** Those of these at which it was the only suspect. */
  readonly proofs: number;
}

/** What entries tell each other of tasks that may crash upstreams. */
export interface SuspectNotice {
  readonly type: 'suspects';
  readonly tasks: readonly SuspectTask[];
}

/**
 * Asks for the newest configuration the peer knows, which is newer than the sender's: with a version for a piece of it,
 * with a position only for its summary. Processes of earlier versions name neither, ask for all of it in one message, and
 * answer so.
 */
export interface ConfigurationRequest {
  readonly type: 'configuration-request';
  /** Version that a piece is asked of; undefined where it is not known. */
  readonly version?: number | undefined;
  /** Characters of the packed text that the sender has. */
  readonly position?: number | undefined;
  /** Most characters that the sender wants at once. */
  readonly length?: number | undefined;
  /** Whether the sender cannot serve without it. */
  readonly isUrgent?: boolean | undefined;
}

/** Newest configuration the sender knows, whole: the answer to processes of earlier versions. */
export interface ConfigurationNotice {
  readonly type: 'configuration';
  readonly configuration: Configuration;
}

/** What all need of the newest configuration at once. */
export interface ConfigurationSummary {
  readonly type: 'configuration-summary';
  readonly version: number;
  /** Services that its routes name; undefined where they are too many for a message that is sent at once. */
  readonly services?: readonly string[] | undefined;
  /** Characters of the packed text. */
  readonly length?: number | undefined;
}

/** A part of a packed configuration. */
export interface ConfigurationPiece {
  readonly type: 'configuration-piece';
  readonly version: number;
  /** Of the first character of the piece. */
  readonly position: number;
  /** Characters of the whole. */
  readonly length: number;
  readonly text: string;
}

/** Asks for the newest list of emptied failure domains the peer knows, which is newer than the sender's. */
export interface EmptiedRequest {
  readonly type: 'emptied-request';
}

/** Newest list of emptied failure domains the sender knows. */
export interface EmptiedNotice {
  readonly type: 'emptied';
  readonly emptied: EmptiedDomains;
}

/** Entries the sender has a working link to, or is. */
export interface MembersNotice {
  readonly type: 'members';
  readonly entries: readonly DispatcherPlace[];
}

/** Messages that both sides of a link send: what the operators have written, and who is there. */
export type SharedMessage =
  | ConfigurationRequest
  | ConfigurationNotice
  | ConfigurationSummary
  | ConfigurationPiece
  | EmptiedRequest
  | EmptiedNotice
  | MembersNotice;

/** Messages of agents. */
export type ExecutorMessage =
  ExecutorHello | Ping | CapacityChange | AttemptResult | CrashNotice | SharedMessage;

/** Messages of entries. */
export type DispatcherMessage =
  | DispatcherWelcome
  | DispatcherHello
  | Pong
  | DemandNotice
  | StartOrder
  | StopOrder
  | SuspectNotice
  | SharedMessage;

/** Any message of a link. */
export type PeerMessage = ExecutorMessage | DispatcherMessage;

/** Any line of a link. */
export type WireMessage = PeerMessage | StartBatch;

/**
 * Returns the key of an attempt's task.
 *
 * @param name - job, step and index
 * @returns a text that is unique for the task
 * @example
 * buildTaskKey({ job: 'a', step: 0, index: 3 }); // 'a/0/3'
 */
export function buildTaskKey({ job, step, index }: Omit<AttemptName, 'attempt'>): string {
  return `${job}/${step}/${index}`;
}
