/**
 * Messages of the links, with one JSON message per line. An executor dials every dispatcher of which it has
 * the address; dispatchers also dial each other. Times named `at` are on the monotonic clock of the process
 * that dialed, in ms; clocks of different processes are never compared. On the wire, `agent` is an executor
 * and `entry` a dispatcher.
 */
import type { Resources } from '../../request/dispatch/submission.js';
import type { Configuration } from '../../version/configuration.js';
import type { EmptiedDomains } from '../../version/emptiedDomains.js';

/** Identifies an attempt of a dispatcher to run a task. */
export interface AttemptName {
  readonly job: string;
  readonly step: number;
  readonly index: number;
  /** Number of the attempt in one incarnation of the dispatcher, from 1. */
  readonly attempt: number;
}

/** Whether an upstream accepts tasks. `silent`: an order or a renewal was not answered. */
export type UpstreamState = 'absent' | 'joining' | 'ready' | 'silent' | 'draining';

/** Health of an upstream as rated by its executor from recent runs. */
export type UpstreamHealth = 'healthy' | 'probation' | 'suspect';

/** Properties of an executor's upstream, sent on a link after it opens and after a change. */
export interface UpstreamDescription {
  readonly upstream: string;
  readonly service: string;
  readonly labels: readonly string[];
  readonly capacity: Resources;
  /** Largest amount of each resource that the upstream has had; undefined for `capacity`, and in earlier versions. */
  readonly largest?: Resources | undefined;
}

/** State and free capacity of an executor's upstream. */
export interface CapacityReport {
  /** Undefined while it is unchanged since it was last sent on the link. */
  readonly description: UpstreamDescription | undefined;
  readonly state: UpstreamState;
  readonly trust: UpstreamHealth;
  readonly free: Resources;
  /** Number of starts from the addressed dispatcher, since its link opened, that `free` accounts for. */
  readonly startsSeen: number;
  /** Estimated run time of tasks divided by their actual run time; 1 when estimates are exact. */
  readonly speed: number;
  /** Whether the executor prefers the addressed dispatcher; undefined for no. */
  readonly isHome?: boolean | undefined;
  /** Whether the upstream has not reported its capacity to this process yet; undefined for no. */
  readonly isRecalled?: boolean | undefined;
  /** Whether the upstream itself drains, whatever the state of the executor; undefined for no. */
  readonly isUpstreamDraining?: boolean | undefined;
}

/** Capacity of an upstream that an earlier incarnation of an executor has reported. */
export interface EarlierCapacity {
  readonly upstream: string;
  readonly capacity: Resources;
  /** Time since that incarnation last confirmed it, ms. */
  readonly ageMs: number;
}

/** Progress of a running attempt. */
export interface AttemptProgress {
  readonly name: AttemptName;
  /** 0 to 100. */
  readonly percent: number;
  /** Time since the percentage last changed, ms. */
  readonly stalledMs: number;
}

/** First message of an executor on a link. */
export interface ExecutorHello {
  readonly type: 'agent-hello';
  readonly agent: string;
  /** Incarnation of the process. */
  readonly life: string;
  readonly failureDomain: string;
  /** Attempts of the addressed dispatcher that the executor still holds. */
  readonly holding: readonly AttemptName[];
  /** Incarnation of the dispatcher to which `holding` belongs; empty if none. */
  readonly entryLife: string;
  /** Results of the last seconds, since those sent on a broken link may be lost. */
  readonly results: readonly AttemptResult[];
  /** Longest time for which attempts of the dispatcher can still run after a ping without a pong, ms. */
  readonly orphanMs: number;
  /** Whether the executor accepts batches of starts; earlier versions do not. */
  readonly takesBatches?: boolean;
  /**
   * Rises with each link that this incarnation opens, since the first message of an earlier link may arrive
   * after that of a later one. Not set by earlier versions.
   */
  readonly linkNumber?: number;
}

/** Address at which a dispatcher accepts links. */
export interface DispatcherPlace {
  /** `host:port`. */
  readonly address: string;
  readonly failureDomain: string;
}

/** First message of a dispatcher on a link that an executor dialed. */
export interface DispatcherWelcome {
  readonly type: 'entry-welcome';
  readonly entry: string;
  readonly life: string;
  readonly place: DispatcherPlace;
  /** As in a pong. */
  readonly lagMs?: number | undefined;
  /** Undefined if no earlier incarnation of the executor is known. */
  readonly earlierCapacity?: EarlierCapacity | undefined;
}

/** First message of a dispatcher that dials another one, to announce itself. */
export interface DispatcherHello {
  readonly type: 'entry-hello';
  readonly entry: string;
  readonly place: DispatcherPlace;
}

/** Periodic heartbeat of the process that dialed the link: an executor or another dispatcher. */
export interface Ping {
  readonly type: 'ping';
  readonly at: number;
  /** Version of the sender's newest configuration; -1 for none. */
  readonly version: number;
  /** Revision of the newest list of emptied failure domains; -1 for none. Not sent by earlier versions. */
  readonly emptiedRevision?: number | undefined;
  /** Undefined while it is unchanged since it was last sent on the link. */
  readonly room: CapacityReport | undefined;
  /** Latest round-trip time of a ping, ms; undefined before the first pong. Not sent by earlier versions. */
  readonly echoMs?: number | undefined;
  /** Time since the upstream last reported its capacity, ms; undefined for a short time, and in earlier versions. */
  readonly reportAgeMs?: number | undefined;
  /** Stalled or slow attempts; undefined for none. */
  readonly progress: readonly AttemptProgress[] | undefined;
}

/** Reply to a ping: shows that the dispatcher was alive after the ping was sent. */
export interface Pong {
  readonly type: 'pong';
  readonly at: number;
  /** Version of the dispatcher's newest configuration; -1 for none. */
  readonly version: number;
  /** Revision of the newest list of emptied failure domains; -1 for none. Not sent by earlier versions. */
  readonly emptiedRevision?: number | undefined;
  /** Typical speed of the upstreams as seen by the dispatcher; a much lower one is slow. */
  readonly typicalSpeed: number;
  /** Whether tasks wait at the dispatcher; the executor then reports freed capacity immediately. */
  readonly isWaiting: boolean;
  /**
   * CPU requested by those tasks, thousandths of a core. Sent in the first pong of a link and while tasks wait;
   * not sent by earlier versions.
   */
  readonly waitingCpuMilli?: number | undefined;
  /**
   * How long ago the end of a caller's connection may have arrived that is not handled yet, ms. Undefined for
   * a short time; not sent by earlier versions.
   */
  readonly lagMs?: number | undefined;
}

/** Tasks have begun to wait at the dispatcher; the next pong reports whether they still do. */
export interface DemandNotice {
  readonly type: 'demand';
  /** CPU requested by these tasks, thousandths of a core. Not sent by earlier versions. */
  readonly waitingCpuMilli?: number | undefined;
}

/** Change of the free capacity between two pings. */
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
  /** Order among attempts that wait at the executor; lower ranks first. */
  readonly rank: number;
  /** Latest start of the run, on the executor's clock, ms. */
  readonly expiresAt: number;
  /**
   * Whether upstreams have crashed while running the task; an upstream runs one such task at a time.
   * Undefined for no; earlier versions ignore it.
   */
  readonly isSuspect?: boolean | undefined;
}

/** Fields of a start that differ within a batch. */
export interface StartBatchTask {
  readonly step: number;
  readonly index: number;
  readonly attempt: number;
  readonly resources: Resources;
  readonly estimateMs: number;
}

/** Starts of one job, merged and split by the channel. */
export interface StartBatch {
  readonly type: 'starts';
  readonly job: string;
  readonly service: string;
  readonly spec: string;
  readonly rank: number;
  readonly expiresAt: number;
  readonly tasks: readonly StartBatchTask[];
}

/** Order to stop an attempt. */
export interface StopOrder {
  readonly type: 'stop';
  readonly name: AttemptName;
  /**
   * How long ago the attempt may have been given up, at most, ms: its caller may submit the job again some
   * time after that. Not set by earlier versions, which means 0.
   */
  readonly givenUpMs?: number | undefined;
}

/** How an attempt ended. `not-run`: it never started. `lost`: its outcome is lost with its upstream. */
export type AttemptEnd = 'done' | 'failed' | 'stopped' | 'lost' | 'not-run';

/** Result of an attempt. */
export interface AttemptResult {
  readonly type: 'result';
  readonly name: AttemptName;
  readonly end: AttemptEnd;
  readonly reason: string;
}

/** Reason of a lost result: the upstream crashed and may have been running the task. */
export const UPSTREAM_CRASHED = 'upstream-crashed';

/** Reason of a `not-run` result: the task is suspect, and the upstream has another suspect task. */
export const OTHER_SUSPECT = 'other-suspect';

/** A task that may have been running at an upstream when it crashed. */
export interface CrashedTask {
  readonly job: string;
  readonly step: number;
  readonly index: number;
  readonly estimateMs: number;
  /** Time from its first start until the crash was detected, ms. */
  readonly ranMs: number;
  /** Whether no other suspect task was at the upstream. */
  readonly isIsolated: boolean;
}

/**
 * Crashes that an executor reports to another dispatcher, since the one that ordered the tasks is
 * unresponsive.
 */
export interface CrashNotice {
  readonly type: 'crashes';
  readonly tasks: readonly CrashedTask[];
}

/** A task during which upstreams have crashed, with its crash counters. */
export interface SuspectTask {
  readonly job: string;
  readonly step: number;
  readonly index: number;
  /** Rises with each change; of two records of a task, the higher revision is valid. */
  readonly revision: number;
  /** Number of upstream crashes while the task was there. */
  readonly crashes: number;
  /** Crashes that did not occur together with many others. */
  readonly blames: number;
  /** Crashes among `blames` at which the task was the only suspect. */
  readonly proofs: number;
}

/** Suspect tasks, sent from one dispatcher to another. */
export interface SuspectNotice {
  readonly type: 'suspects';
  readonly tasks: readonly SuspectTask[];
}

/** A job that a caller has cancelled. */
export interface CancelledJob {
  readonly job: string;
  /** Time since it was cancelled, ms. */
  readonly ageMs: number;
}

/**
 * Cancelled jobs, between dispatchers and between these and some executors. No submission of them is run, also one that
 * arrives later. Earlier versions ignore it.
 */
export interface CancelNotice {
  readonly type: 'cancelled';
  readonly jobs: readonly CancelledJob[];
}

/**
 * Requests the peer's newest configuration, which is newer than the sender's: a piece of it when `version` is
 * set, its summary when only `position` is set. Earlier versions set neither, request the whole configuration
 * in one message and answer with it.
 */
export interface ConfigurationRequest {
  readonly type: 'configuration-request';
  /** Version of the requested piece; undefined when it is not known. */
  readonly version?: number | undefined;
  /** Number of characters of the encoded text that the sender already has. */
  readonly position?: number | undefined;
  /** Maximum number of characters in the answer. */
  readonly length?: number | undefined;
  /** Whether the sender cannot serve requests without it. */
  readonly isUrgent?: boolean | undefined;
}

/** The sender's newest configuration as a whole: the answer to earlier versions. */
export interface ConfigurationNotice {
  readonly type: 'configuration';
  readonly configuration: Configuration;
}

/** Fields of the newest configuration that all processes need immediately. */
export interface ConfigurationSummary {
  readonly type: 'configuration-summary';
  readonly version: number;
  /** Services of its routes; undefined when they are too many for one message. */
  readonly services?: readonly string[] | undefined;
  /** Length of the encoded text, characters. */
  readonly length?: number | undefined;
}

/** A piece of an encoded configuration. */
export interface ConfigurationPiece {
  readonly type: 'configuration-piece';
  readonly version: number;
  /** Position of the piece in the encoded text, characters. */
  readonly position: number;
  /** Length of the whole encoded text, characters. */
  readonly length: number;
  readonly text: string;
}

/** Requests the peer's list of emptied failure domains, which is newer than the sender's. */
export interface EmptiedRequest {
  readonly type: 'emptied-request';
}

/** The sender's newest list of emptied failure domains. */
export interface EmptiedNotice {
  readonly type: 'emptied';
  readonly emptied: EmptiedDomains;
}

/**
 * Addresses of dispatchers: an executor lists those to which it has a working link, a dispatcher new ones, or
 * itself and some others.
 */
export interface MembersNotice {
  readonly type: 'members';
  readonly entries: readonly DispatcherPlace[];
}

/** Messages that both sides of a link send. */
export type SharedMessage =
  | ConfigurationRequest
  | ConfigurationNotice
  | ConfigurationSummary
  | ConfigurationPiece
  | EmptiedRequest
  | EmptiedNotice
  | MembersNotice
  | CancelNotice;

/** Messages of executors. */
export type ExecutorMessage =
  ExecutorHello | Ping | CapacityChange | AttemptResult | CrashNotice | SharedMessage;

/** Messages of dispatchers. */
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

/** Any message on the wire. */
export type WireMessage = PeerMessage | StartBatch;

/**
 * Builds the key of an attempt's task.
 *
 * @param name - job, step and index
 * @returns a key that is unique to the task
 * @example
 * buildTaskKey({ job: 'a', step: 0, index: 3 }); // 'a/0/3'
 */
export function buildTaskKey({ job, step, index }: Omit<AttemptName, 'attempt'>): string {
  return `${job}/${step}/${index}`;
}
