/** State of the simulation: links, processes, upstreams and jobs. */
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

/** Message in flight and its time of arrival. */
export interface InFlightMessage<Message> {
  readonly at: number;
  readonly message: Message;
}

/** Connection of an executor to a dispatcher. */
export interface Link {
  readonly dispatcher: SimDispatcher;
  readonly executor: SimExecutor;
  readonly forth: InFlightMessage<ExecutorMessage>[];
  readonly back: InFlightMessage<DispatcherMessage>[];
  readonly openedAt: number;
  executorId: string;
  incarnation: string;
  broken: boolean;
  /** Whether it carries nothing any more, not even a close. */
  silent: boolean;
}

/** Creates a newly opened connection. */
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

/** Latest incarnation of a dispatcher. */
export interface SimDispatcher {
  readonly index: number;
  incarnation: number;
  gate: ProcessGate;
  exchange: OperatorExchange;
  core: Dispatcher;
  lastStepAt: number;
}

/** Latest incarnation of an executor. */
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

/** Incarnation of an upstream. */
export interface SimUpstream {
  /** Id of the upstream; own or shared by all incarnations. */
  readonly id: string;
  readonly incarnation: number;
  readonly fake: FakeUpstream;
  /** Until when tasks may run that the executor could not stop yet; leases do not count suspended time. */
  uncertainUntil: number;
  /** Capacity, in tasks. */
  capacityTasks: number;
  /** Last reported capacity, the time of that report, and the capacity reported before. */
  reportedTasks: number;
  reportedAt: number;
  previousTasks: number;
  /** Number of starts that have been checked. */
  checkedStarts: number;
  /** Number of reports of this incarnation, if each one counts its own. */
  reports: number;
}

/** Caller of a job at one dispatcher. */
export interface SimCaller {
  readonly caller: FakeCaller;
  readonly dispatcher: SimDispatcher;
  /** Incarnation of the dispatcher to which it submitted the job. */
  readonly entryLife: string;
  /** When it left, or when its dispatcher was killed; undefined while it waits. */
  leftAt: number | undefined;
  /** When it left, lost its dispatcher or was told to come again, if the simulation records that. */
  goneAt?: number | undefined;
}

/** Job and its successive callers. */
export interface SimJob {
  readonly id: string;
  readonly tasks: number;
  readonly callers: SimCaller[];
  started: boolean;
}

/** Builds the name of the latest incarnation of a dispatcher. */
export function buildEntryLife({ index, incarnation }: Pick<SimDispatcher, 'index' | 'incarnation'>): string {
  return `entry-${index}@${incarnation}`;
}

/** The simulation has no configurations. */
const VERSION = 1;

/** Builds the next ping of a link. */
export function buildPing({ executor, incarnation }: Link): Ping {
  const { emptiedRevision } = executor.exchange.versions;
  return { ...executor.core.buildPing(incarnation, VERSION), emptiedRevision };
}

/** Builds the pong of a dispatcher with waiting tasks. */
export function buildPong({ core, exchange }: SimDispatcher, { at }: Ping): Pong {
  const { emptiedRevision } = exchange.versions;
  const { typicalSpeed } = core;
  return { type: 'pong', at, version: VERSION, emptiedRevision, typicalSpeed, isWaiting: true };
}

/** Picks an item by its index modulo the number of items. */
export function pickOne<Item>(items: readonly Item[], index: number): Item {
  const item = items[index % items.length];
  if (item === undefined) throw new Error('nothing to pick from');
  return item;
}
