/**
 * Model of dispatchers that share executors, on virtual time. Dispatchers, executors and the rate of capacity reports are
 * production code; links and upstreams are simulated.
 *
 * It reproduces optimistic concurrency conflicts between schedulers: each dispatcher places tasks by a stale copy of an
 * executor's capacity, and the executor rejects starts that no longer fit.
 */
import { createRandom } from '../../src/_lib/createRandom.js';
import { Dispatcher } from '../../src/process/dispatcher/Dispatcher.js';
import { PreferredPlacement } from '../../src/process/dispatcher/Placement.js';
import { DelayWindow } from '../../src/process/dispatcher/SendWindow.js';
import { deriveDispatchTimes } from '../../src/process/dispatchTimes.js';
import { DispatcherDirectory } from '../../src/process/executor/DispatcherDirectory.js';
import type { DispatchSettings, CapacitySharingKind } from '../../src/process/settings/dispatchSettings.js';
import { JobBounds } from '../../src/request/dispatch/JobBounds.js';
import type { JobOutcome } from '../../src/request/dispatch/submission.js';
import type { DispatcherMessage } from '../../src/connection/peer/peerMessages.js';
import { ROUTE, STEP, WIDE_LIMITS } from './dispatchFixtures.js';
import { CapacityModelExecutor } from './CapacityModelExecutor.js';
import type { ModelExecutorMessage, ModelLink } from './CapacityModelExecutor.js';
import { VirtualTime } from './VirtualTime.js';

const DISPATCHERS = 8;
const DOMAINS = ['a', 'b', 'c', 'd'];
const EXECUTORS = 54;
const MAX_LINKS = 3;
/** Every third upstream is larger and slower. */
const SLOTS = 12;
const LARGER = 1.5;
const SLOWER = 1.7;
const FASTER = 0.7;
/** Kinds of jobs: share of a thousand, number of tasks, and the caller's estimate of one task, ms. */
const KINDS = [
  { share: 245, count: 8, estimateMs: 73 },
  { share: 44, count: 4, estimateMs: 1_086 },
  { share: 711, count: 2, estimateMs: 243 },
];
const TASK = { cpuMilli: 1_300, memoryMb: 64, gpus: 0 };
const TASK_SPREAD = 0.2;
/** Relative spread of a task's duration around its estimate. */
const WORK_SPREAD = 0.4;
/** Demand of a failure domain is a cosine wave: amplitude, period and phase shift between domains, ms. */
const AMPLITUDE = 0.55;
const PERIOD_MS = 17_000;
const PHASE_MS = 1_400;
/** Share of a failure domain's jobs that its first dispatcher receives. */
const FIRST_DISPATCHER_SHARE = 0.65;
const CALLER_TIMEOUT_MS = 1_528;
const TARGET_LATENCY_MS = 61;
const TICK_MS = 40;
const TIMES = deriveDispatchTimes({ resubmitMs: 1_300, maxLeaseMs: 1_000 } as DispatchSettings);

/** Parameters of a run. */
export interface CapacityScenario {
  readonly sharing: CapacitySharingKind;
  /** Requested work at the peak of all domains together, as a share of the capacity. */
  readonly load: number;
  /** One-way transit time between dispatcher and executor, ms. */
  readonly transitMs: number;
  readonly seed: number;
  /** Length of the run and start of counting, ms; the peak is in the middle of the counted interval. */
  readonly durationMs: number;
  readonly countFromMs: number;
  /** Number of dispatchers of the previous version, which report no demand. */
  readonly earlierDispatchers?: number;
  /** Events and the time of each, ms. */
  readonly events?: readonly { readonly at: number; readonly run: (model: CapacityModel) => void }[];
}

/** Counts of a run. */
export interface CapacityCounts {
  starts: number;
  /** Starts that were rejected as `full`. */
  full: number;
  submitted: number;
  completed: number;
  inTime: number;
  /** Capacity and demand messages without pings and pongs, and the bytes of all control messages. */
  capacityMessages: number;
  controlMessages: number;
  controlBytes: number;
  /** Sum over steps of the share of capacity that is free while a linked dispatcher has waiting tasks. */
  idleWhileWaiting: number;
  steps: number;
}

/** Dispatcher with its links and its state. */
export class ModelDispatcher {
  readonly core: Dispatcher;
  readonly incarnation: string;
  readonly links = new Map<string, ModelLink>();
  /** A frozen dispatcher handles its messages when it resumes; a dead one drops them. */
  state: 'live' | 'frozen' | 'dead' = 'live';
  /** Whether messages in both directions are lost. */
  isPartitioned = false;
  readonly inbox: (() => void)[] = [];
  private demandSentAt = -Infinity;
  private readonly demandLinks = new Set<string>();

  constructor(
    readonly index: number,
    private readonly scenario: CapacityScenario,
    private readonly model: CapacityModel,
    nextRandom: () => number,
  ) {
    this.incarnation = `e${index}@1`;
    const options = {
      pingMs: TIMES.pingMs,
      bounds: new JobBounds(WIDE_LIMITS),
      placement: new PreferredPlacement(1),
      window: new DelayWindow(),
      nextRandom,
    };
    this.core = new Dispatcher(options, {
      send: (executor, message) => this.send(executor, message),
      log: () => undefined,
      recordOutcome: () => undefined,
    });
  }

  get domain(): string {
    return DOMAINS[this.index % DOMAINS.length] ?? '';
  }

  get address(): string {
    return `10.0.0.${this.index}:1`;
  }

  /** Handles a message of an executor. */
  receive(executor: string, message: ModelExecutorMessage): void {
    if (this.state === 'dead') return;
    if (this.state === 'frozen') return void this.inbox.push(() => this.receive(executor, message));
    const now = this.model.time.now();
    if (message.type === 'agent-hello') return void this.core.handleHello(message, this.incarnation, now);
    if (message.type === 'ping') {
      const { waitingTasks, waitingCpuMilli, typicalSpeed } = this.core;
      const isWaiting = waitingTasks > 0;
      const pong = { type: 'pong', at: message.at, version: 1, typicalSpeed, isWaiting } as const;
      const needsDemand = isWaiting || !this.demandLinks.has(executor);
      this.demandLinks.add(executor);
      this.send(executor, this.isPreviousVersion || !needsDemand ? pong : { ...pong, waitingCpuMilli });
      this.core.handlePing(executor, message, now);
    }
    if (message.type === 'room') this.core.handleCapacity(executor, message, now);
    if (message.type === 'result') this.core.handleResult(executor, message, now);
  }

  /** Runs one iteration of the daemon's loop. */
  step(now: number): void {
    if (this.state !== 'live') return;
    if (now % TICK_MS === 0) this.core.tick(now);
    if (this.core.waitingTasks === 0) return;
    this.core.place(now);
    if (this.core.waitingTasks === 0 || now - this.demandSentAt < TIMES.pingMs) return;
    this.demandSentAt = now;
    const { waitingCpuMilli } = this.core;
    const notice = {
      type: 'demand',
      waitingCpuMilli: this.isPreviousVersion ? undefined : waitingCpuMilli,
    } as const;
    for (const id of this.links.keys()) this.send(id, notice);
  }

  private get isPreviousVersion(): boolean {
    return this.index < (this.scenario.earlierDispatchers ?? 0);
  }

  private send(executor: string, message: DispatcherMessage): void {
    if (message.type === 'start') this.model.recordStart('starts');
    else if (message.type !== 'stop') this.model.recordControlMessage(message);
    const link = this.links.get(executor);
    if (this.isPartitioned || !link) return;
    this.model.time.schedule(this.scenario.transitMs, () => link.executor.receive(link, message));
  }
}

/** Runs one scenario. */
export class CapacityModel {
  readonly time = new VirtualTime();
  readonly dispatchers: ModelDispatcher[] = [];
  readonly executors: CapacityModelExecutor[] = [];
  readonly count: CapacityCounts = {
    starts: 0,
    full: 0,
    submitted: 0,
    completed: 0,
    inTime: 0,
    capacityMessages: 0,
    controlMessages: 0,
    controlBytes: 0,
    idleWhileWaiting: 0,
    steps: 0,
  };
  private readonly nextRandom: () => number;
  private readonly pendingJobs: number[] = DOMAINS.map(() => 0);
  private jobs = 0;

  constructor(readonly scenario: CapacityScenario) {
    this.nextRandom = createRandom(scenario.seed);
    for (let index = 0; index < DISPATCHERS; index += 1)
      this.dispatchers.push(new ModelDispatcher(index, scenario, this, this.nextRandom));
    for (let index = 0; index < EXECUTORS; index += 1) this.addExecutor(index, 1);
  }

  /** Runs to the end and returns the counts. */
  async run(): Promise<CapacityCounts> {
    const { durationMs, events = [] } = this.scenario;
    for (const { at, run } of events) this.time.schedule(at, () => run(this));
    while (this.time.now() < durationMs) {
      await this.time.advance();
      const now = this.time.now();
      if (Number.isInteger(now)) this.submitDue(now);
      for (const dispatcher of this.dispatchers) dispatcher.step(now);
      for (const executor of this.executors) executor.step(now);
      if (now % 10 === 0) this.measureIdle();
    }
    return this.count;
  }

  /** Adds an executor, or the next incarnation of one. */
  addExecutor(index: number, incarnation: number): void {
    const isLarger = index % 3 === 2;
    const slots = isLarger ? SLOTS * LARGER : SLOTS;
    const slowness = isLarger ? SLOWER : FASTER;
    const capacity = {
      cpuMilli: Math.floor(slots * TASK.cpuMilli * (1 + TASK_SPREAD / 10)),
      memoryMb: 65_536,
      gpus: 0,
    };
    const findWork = ({ job }: { job: string }): number =>
      (KINDS[Number(job[0])]?.estimateMs ?? 0) * slowness * this.drawFactor(WORK_SPREAD);
    const options = {
      index,
      incarnation,
      domain: DOMAINS[index % DOMAINS.length] ?? '',
      capacity,
      findWork,
      sharing: this.scenario.sharing,
      transitMs: this.scenario.transitMs,
      times: TIMES,
    };
    const executor = new CapacityModelExecutor(options, this.time, {
      recordStart: (what) => this.recordStart(what),
      recordControlMessage: (message) => this.recordControlMessage(message),
    });
    this.executors[index] = executor;
    const directory = new DispatcherDirectory(executor.name, MAX_LINKS, 0);
    const live = this.dispatchers.filter(({ state }) => state !== 'dead');
    directory.recordMembers(
      live.map(({ address, domain }) => ({ address, failureDomain: domain })),
      0,
    );
    const wanted = directory.chooseLinks(0);
    for (const address of wanted) directory.recordAlive(address, 0);
    const home = directory.choosePreferred(wanted, 0);
    for (const dispatcher of live)
      if (wanted.has(dispatcher.address)) executor.link(dispatcher, dispatcher.address === home);
  }

  /** Counts a start that was sent or rejected. */
  recordStart(what: 'starts' | 'full'): void {
    if (this.time.now() >= this.scenario.countFromMs) this.count[what] += 1;
  }

  /** Counts a message other than a start, a stop or a result. */
  recordControlMessage(message: { readonly type: string }): void {
    if (this.time.now() < this.scenario.countFromMs) return;
    if (message.type === 'room' || message.type === 'demand') this.count.capacityMessages += 1;
    this.count.controlMessages += 1;
    this.count.controlBytes += JSON.stringify(message).length;
  }

  private measureIdle(): void {
    if (this.time.now() < this.scenario.countFromMs) return;
    this.count.steps += 1;
    let idle = 0;
    for (const executor of this.executors) {
      const isAwaited = [...executor.links].some(
        ({ dispatcher }) =>
          dispatcher.state === 'live' && !dispatcher.isPartitioned && dispatcher.core.waitingTasks > 0,
      );
      if (isAwaited) idle += executor.readFreeShare() / this.executors.length;
    }
    this.count.idleWhileWaiting += idle;
  }

  private submitDue(now: number): void {
    const { load, durationMs, countFromMs } = this.scenario;
    const peakAt = (durationMs + countFromMs) / 2;
    const middle = (DOMAINS.length - 1) / 2;
    // The domains peak one after another, so the total peak is below the sum of their peaks.
    let peak = 0;
    for (let domain = 0; domain < DOMAINS.length; domain += 1)
      peak += computeDemand((domain - middle) * PHASE_MS);
    DOMAINS.forEach((_, domain) => {
      const wave = computeDemand(now - peakAt - (domain - middle) * PHASE_MS) / peak;
      this.pendingJobs[domain] = (this.pendingJobs[domain] ?? 0) + load * JOBS_PER_MS * wave;
      while ((this.pendingJobs[domain] ?? 0) > this.nextRandom()) {
        this.pendingJobs[domain] = (this.pendingJobs[domain] ?? 0) - 1;
        this.submit(domain, now);
      }
    });
  }

  private submit(domain: number, now: number): void {
    // Alternates which of the two dispatchers is busier, so that the order of links does not favour it.
    const isFirst = this.nextRandom() < FIRST_DISPATCHER_SHARE === (domain % 2 === 0);
    const dispatcher = this.dispatchers[isFirst ? domain : domain + DOMAINS.length];
    if (dispatcher?.state !== 'live') return;
    const kind = this.drawKind();
    const { count, estimateMs } = KINDS[kind] ?? { count: 1, estimateMs: 1 };
    this.jobs += 1;
    const cpuMilli = Math.round(TASK.cpuMilli * (1 + TASK_SPREAD * (this.nextRandom() - 0.5)));
    const submission = {
      id: `${kind}-${this.jobs}`,
      route: { ...ROUTE, targetLatencyMs: TARGET_LATENCY_MS },
      spec: '',
      steps: [{ ...STEP, count, estimateMs, resources: { ...TASK, cpuMilli } }],
      patienceMs: CALLER_TIMEOUT_MS,
    };
    const isCounted = now >= this.scenario.countFromMs && now < this.scenario.durationMs - CALLER_TIMEOUT_MS;
    if (isCounted) this.count.submitted += 1;
    const objectiveMs = 1.6 * estimateMs + TARGET_LATENCY_MS;
    const answer = ({ kind: outcome }: JobOutcome): void => {
      if (!isCounted || outcome !== 'completed') return;
      this.count.completed += 1;
      if (this.time.now() - now <= objectiveMs) this.count.inTime += 1;
    };
    dispatcher.core.submit(submission, { answer }, now);
  }

  private drawKind(): number {
    let drawn = this.nextRandom() * 1_000;
    return Math.max(
      0,
      KINDS.findIndex(({ share }) => (drawn -= share) < 0),
    );
  }

  /** Draws a factor with mean 1. */
  private drawFactor(spread: number): number {
    return 1 + spread * (this.nextRandom() + this.nextRandom() - 1);
  }
}

/** Jobs per ms that use the whole capacity. */
const JOBS_PER_MS = computeCapacity() / computeMeanWork();

function computeCapacity(): number {
  const larger = Math.floor(EXECUTORS / 3);
  return (larger * SLOTS * LARGER) / SLOWER + ((EXECUTORS - larger) * SLOTS) / FASTER;
}

function computeMeanWork(): number {
  return KINDS.reduce((sum, { share, count, estimateMs }) => sum + (share * count * estimateMs) / 1_000, 0);
}

function computeDemand(ms: number): number {
  return 1 + AMPLITUDE * Math.cos((2 * Math.PI * ms) / PERIOD_MS);
}
