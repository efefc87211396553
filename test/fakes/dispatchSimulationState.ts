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
export interface InFlightMessage<Message> {
  readonly at: number;
  readonly message: Message;
}

/** A connection of an agent to an entry. */
export interface Link {
  readonly dispatcher: SimDispatcher;
  readonly executor: SimExecutor;
  readonly forth: InFlightMessage<ExecutorMessage>[];
  readonly back: InFlightMessage<DispatcherMessage>[];
  readonly openedAt: number;
  executorId: string;
  incarnation: string;
  broken: boolean;
  /** Carries nothing any more, not even its end. */
  silent: boolean;
}

/** Creates a connection that has just been opened. */
export function createLink(dispatcher: SimDispatcher, executor: SimExecutor, openedAt: number): Link {
  const closed = { broken: false, silent: false };
  return {
    dispatcher,
    executor,
    forth: [],
    back: [],
    openedAt,
    executorId: '',
    incarnation: '',
    ...closed,
  };
}

/** An entry in its newest life. */
export interface SimDispatcher {
  readonly index: number;
  incarnation: number;
  gate: ProcessGate;
  exchange: OperatorExchange;
  core: Dispatcher;
  lastStepAt: number;
}

/** An agent in its newest life. */
export interface SimExecutor {
  readonly index: number;
  incarnation: number;
  gate: ProcessGate;
  exchange: OperatorExchange;
  core: Executor;
  restartAt: number;
  upstream: SimUpstream;
  readonly lastIncarnations: Map<number, string>;
}

/** A life of an upstream. */
export interface SimUpstream {
  /** Of the upstream; lives have one each, or one for all of them. */
  readonly id: string;
  readonly incarnation: number;
  readonly fake: FakeUpstream;
  /**
   * Until when something may run there that its executor has had no time to stop: it was suspended along with it, which its
   * leases do not count.
   */
  uncertainUntil: number;
  /** Tasks that it has room for. */
  capacityTasks: number;
  /** Those that its executor was last told of, when that was, and those before. */
  reportedTasks: number;
  reportedAt: number;
  previousTasks: number;
  /** Starts that have been checked. */
  checkedStarts: number;
  /** Reports that this life has sent, where each life counts its own. */
  reports: number;
}

/** A job and the callers that have submitted it, one after another. */
export interface SimJob {
  readonly id: string;
  readonly tasks: number;
  readonly callers: { caller: FakeCaller; dispatcher: SimDispatcher; leftAt: number | undefined }[];
  started: boolean;
}

/** Configurations play no part in the runs. */
const VERSION = 1;

/** Builds the next ping of a link. */
export function buildPing({ executor, incarnation }: Link): Ping {
  const { emptiedRevision } = executor.exchange.versions;
  return { ...executor.core.buildPing(incarnation, VERSION), emptiedRevision };
}

/** Builds the echo of a ping, as of an entry at which tasks wait. */
export function buildPong({ core, exchange }: SimDispatcher, { at }: Ping): Pong {
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
