/** What the randomised runs of dispatchers and agents hold: links, processes, upstreams and jobs. */
import type {
  ExecutorMessage,
  DispatcherMessage,
  Ping,
  Pong,
} from '../../src/connection/peer/peerMessages.js';
import type { Dispatcher } from '../../src/process/dispatcher/Dispatcher.js';
import type { OperatorExchange } from '../../src/process/OperatorExchange.js';
import type { Executor } from '../../src/process/executor/Executor.js';
import type { FakeCaller } from './FakeCaller.js';
import type { FakeUpstream } from './FakeUpstream.js';
import type { ProcessGate } from './ProcessGate.js';

/** A message on its way. */
export interface Parcel<Message> {
  readonly at: number;
  readonly message: Message;
}

/** A connection of an agent to an entry. */
export interface Link {
  readonly entry: WorldEntry;
  readonly agent: WorldAgent;
  readonly toEntry: Parcel<ExecutorMessage>[];
  readonly toAgent: Parcel<DispatcherMessage>[];
  readonly openedAt: number;
  agentId: string;
  life: string;
  broken: boolean;
  /** Carries nothing any more, not even its end. */
  silent: boolean;
}

/** Creates a connection that has just been opened. */
export function createLink(entry: WorldEntry, agent: WorldAgent, openedAt: number): Link {
  const closed = { broken: false, silent: false };
  return { entry, agent, toEntry: [], toAgent: [], openedAt, agentId: '', life: '', ...closed };
}

/** An entry in its newest life. */
export interface WorldEntry {
  readonly index: number;
  life: number;
  gate: ProcessGate;
  exchange: OperatorExchange;
  core: Dispatcher;
  lastTurnAt: number;
}

/** An agent in its newest life. */
export interface WorldAgent {
  readonly index: number;
  life: number;
  gate: ProcessGate;
  exchange: OperatorExchange;
  core: Executor;
  restartAt: number;
  upstream: WorldUpstream;
  readonly lastLives: Map<number, string>;
}

/** A life of an upstream. */
export interface WorldUpstream {
  /** Of the upstream; lives have one each, or one for all of them. */
  readonly id: string;
  readonly life: number;
  readonly fake: FakeUpstream;
  /**
   * Until when something may run there that its executor has had no time to stop: it was suspended along with it, which its
   * leases do not count.
   */
  doubtfulUntil: number;
  /** Tasks that it has room for. */
  roomTasks: number;
  /** Those that its executor was last told of, when that was, and those before. */
  toldTasks: number;
  toldAt: number;
  toldBefore: number;
  /** Starts that have been checked. */
  checkedStarts: number;
  /** Reports that this life has sent, where each life counts its own. */
  reports: number;
}

/** A job and the callers that have submitted it, one after another. */
export interface WorldJob {
  readonly id: string;
  readonly tasks: number;
  readonly callers: { caller: FakeCaller; entry: WorldEntry; leftAt: number | undefined }[];
  started: boolean;
}

/** Configurations play no part in the runs. */
const VERSION = 1;

/** Builds the next ping of a link. */
export function buildPing({ agent, life }: Link): Ping {
  const { emptiedRevision } = agent.exchange.versions;
  return { ...agent.core.buildPing(life, VERSION), emptiedRevision };
}

/** Builds the echo of a ping, as of an entry at which tasks wait. */
export function buildPong({ core, exchange }: WorldEntry, { at }: Ping): Pong {
  const { emptiedRevision } = exchange.versions;
  const { typicalSpeed } = core;
  return { type: 'pong', at, version: VERSION, emptiedRevision, typicalSpeed, isWaiting: true };
}

/** Picks an item by a number that may be larger than there are items. */
export function pickOne<Item>(items: readonly Item[], index: number): Item {
  const item = items[index % items.length];
  if (item === undefined) throw new Error('nothing to pick from');
  return item;
}
