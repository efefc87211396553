/**
 * Model of dispatchers on links of limited bandwidth, on virtual time. The dispatchers are production code; executors
 * always have free capacity.
 *
 * It reproduces a metastable failure, congestion collapse: during a short overload starts expire in the link's queue and
 * are sent again, and these repeats keep the link full after the overload has ended.
 */
import type {
  AttemptResult,
  DispatcherMessage,
  CapacityReport,
} from '../../src/connection/peer/peerMessages.js';
import { createRandom } from '../../src/_lib/createRandom.js';
import { Dispatcher } from '../../src/process/dispatcher/Dispatcher.js';
import type { SendWindow } from '../../src/process/dispatcher/SendWindow.js';
import { SpeedPlacement } from '../../src/process/dispatcher/Placement.js';
import { deriveDispatchTimes } from '../../src/process/dispatchTimes.js';
import type { DispatchSettings } from '../../src/process/settings/dispatchSettings.js';
import { JobBounds } from '../../src/request/dispatch/JobBounds.js';
import type { JobOutcome } from '../../src/request/dispatch/submission.js';
import { ROUTE, STEP, WIDE_LIMITS } from './dispatchFixtures.js';

/** Step of the virtual time, ms. */
const STEP_MS = 1;
const TICK_MS = 40;
/** One-way transit time between two failure domains, ms. */
const TRANSIT_MS = 1;
/** Duration of a task, and the caller's timeout, ms. */
const WORK_MS = 60;
const CALLER_TIMEOUT_MS = 1_500;
/** Target latency beyond the work, ms. */
const TARGET_LATENCY_MS = 61;
/** Executors per dispatcher and the capacity of each; more than any load here needs. */
const EXECUTORS = 8;
const CAPACITY = { cpuMilli: 100_000, memoryMb: 1_000_000, gpus: 0 };
/** Most jobs per second that one dispatcher receives, also on a fast link. */
const MAX_PER_S = 400;
/** Bytes of a message without the job's text. */
const START_BYTES = 200;
const TIMES = deriveDispatchTimes({ resubmitMs: 1_300, maxLeaseMs: 1_000 } as DispatchSettings);

/** Parameters of a run. */
export interface CongestionScenario {
  /** Bandwidth of each dispatcher's link, Mbit/s. */
  readonly mbps: number;
  readonly dispatchers: number;
  /** Bytes of a job's text. */
  readonly bodyBytes: number;
  /** Load before and after the overload, as a share of the link's bandwidth. */
  readonly load: number;
  /** Load during the overload. */
  readonly triggerLoad: number;
  readonly seed: number;
  readonly createWindow: () => SendWindow;
}

/** Start and end of the overload, and end of the run, ms. */
export const TRIGGER_FROM_MS = 1_000;
export const TRIGGER_UNTIL_MS = 5_000;
export const RUN_MS = 9_000;

/** Jobs that were submitted within one second, by outcome. */
export interface SecondCount {
  submitted: number;
  completed: number;
  refused: number;
}

interface InFlightMessage {
  readonly message: DispatcherMessage;
  readonly executor: number;
  readonly arrivesAt: number;
}

interface Run {
  readonly name: AttemptResult['name'];
  readonly endsAt: number;
}

interface ModelExecutor {
  readonly id: string;
  startsSeen: number;
  /** Latest round-trip time, ms. */
  roundTripMs: number;
  readonly runs: Run[];
  nextPingAt: number;
}

/** Dispatcher with its link and executors; dispatchers share only the time. */
class ModelDispatcher {
  readonly seconds: SecondCount[] = [];
  private readonly core: Dispatcher;
  private readonly executors: ModelExecutor[] = [];
  private readonly inFlight: InFlightMessage[] = [];
  private now = 0;
  private linkFreeAt = 0;
  private pendingJobs = 0;
  private jobs = 0;

  constructor(
    private readonly scenario: CongestionScenario,
    index: number,
  ) {
    const nextRandom = createRandom(scenario.seed + index);
    this.core = new Dispatcher(
      {
        pingMs: TIMES.pingMs,
        bounds: new JobBounds(WIDE_LIMITS),
        placement: new SpeedPlacement(1),
        window: scenario.createWindow(),
        nextRandom,
      },
      {
        send: (id, message) => this.send(id, message),
        log: () => undefined,
        recordOutcome: () => undefined,
      },
    );
    for (let number = 0; number < EXECUTORS; number += 1) {
      const base = { failureDomain: 'x', holding: [], results: [], entryLife: 'me', orphanMs: 1_240 };
      const hello = { type: 'agent-hello', agent: `a${number}`, life: '1', ...base } as const;
      const id = this.core.handleHello(hello, 'me', 0);
      const nextPingAt = nextRandom() * TIMES.pingMs;
      this.executors.push({ id, startsSeen: 0, roundTripMs: 0, runs: [], nextPingAt });
      this.ping(this.executors[number] as ModelExecutor);
    }
  }

  /** Advances time by one step. */
  step(now: number): void {
    this.now = now;
    this.submitDue();
    while (this.inFlight[0] && this.inFlight[0].arrivesAt <= now)
      this.arrive(this.inFlight.shift() as InFlightMessage);
    for (const executor of this.executors) this.stepExecutor(executor);
    if (now % TICK_MS === 0) this.core.tick(now);
    this.core.place(now);
  }

  private submitDue(): void {
    const { mbps, bodyBytes, load, triggerLoad } = this.scenario;
    const isTriggered = this.now >= TRIGGER_FROM_MS && this.now < TRIGGER_UNTIL_MS;
    const perSecond = (mbps * 125_000 * (isTriggered ? triggerLoad : load)) / (bodyBytes + START_BYTES);
    this.pendingJobs += (Math.min(perSecond, MAX_PER_S) * STEP_MS) / 1_000;
    for (; this.pendingJobs >= 1; this.pendingJobs -= 1) this.submit();
  }

  private submit(): void {
    const second = Math.floor(this.now / 1_000);
    const count = (this.seconds[second] ??= { submitted: 0, completed: 0, refused: 0 });
    count.submitted += 1;
    this.jobs += 1;
    const submission = {
      id: `job${this.jobs}`,
      route: { ...ROUTE, targetLatencyMs: TARGET_LATENCY_MS },
      spec: 'x'.repeat(this.scenario.bodyBytes),
      steps: [{ ...STEP, estimateMs: WORK_MS }],
      patienceMs: CALLER_TIMEOUT_MS,
    };
    const answer = ({ kind }: JobOutcome): void => {
      if (kind === 'completed') count.completed += 1;
      if (kind === 'refused') count.refused += 1;
    };
    this.core.submit(submission, { answer }, this.now);
  }

  /** Queues a message on the link. */
  private send(id: string, message: DispatcherMessage): void {
    const bytes = START_BYTES + (message.type === 'start' ? message.spec.length : 0);
    this.linkFreeAt = Math.max(this.linkFreeAt, this.now) + (bytes * 8) / (this.scenario.mbps * 1_000);
    const executor = this.executors.findIndex((one) => one.id === id);
    this.inFlight.push({ message, executor, arrivesAt: this.linkFreeAt + TRANSIT_MS });
  }

  private arrive({ message, executor: number }: InFlightMessage): void {
    const executor = this.executors[number] as ModelExecutor;
    if (message.type === 'pong') executor.roundTripMs = this.now - message.at;
    if (message.type !== 'start') return;
    executor.startsSeen += 1;
    if (this.now > message.expiresAt) return this.sendResult(executor, message.name, 'not-run', 'expired');
    executor.runs.push({ name: message.name, endsAt: this.now + WORK_MS });
  }

  private stepExecutor(executor: ModelExecutor): void {
    while (executor.runs[0] && executor.runs[0].endsAt <= this.now) {
      const { name } = executor.runs.shift() as Run;
      this.sendResult(executor, name, 'done', '');
    }
    if (this.now < executor.nextPingAt) return;
    executor.nextPingAt += TIMES.pingMs;
    this.ping(executor);
  }

  private ping(executor: ModelExecutor): void {
    const at = this.now;
    const ping = {
      at,
      version: 1,
      room: this.buildCapacityReport(executor),
      progress: undefined,
      echoMs: executor.roundTripMs,
    };
    this.core.handlePing(executor.id, { type: 'ping', ...ping }, at);
    const versions = { version: 1, typicalSpeed: 1 };
    this.send(executor.id, { type: 'pong', at, ...versions, isWaiting: this.core.waitingTasks > 0 });
  }

  private sendResult(
    executor: ModelExecutor,
    name: AttemptResult['name'],
    end: AttemptResult['end'],
    reason: string,
  ): void {
    this.core.handleResult(executor.id, { type: 'result', name, end, reason }, this.now);
    this.core.handleCapacity(
      executor.id,
      { type: 'room', at: this.now, room: this.buildCapacityReport(executor) },
      this.now,
    );
  }

  private buildCapacityReport({ id, startsSeen, runs }: ModelExecutor): CapacityReport {
    const free = { ...CAPACITY, cpuMilli: CAPACITY.cpuMilli - runs.length * STEP.resources.cpuMilli };
    const description = { upstream: id, service: ROUTE.service, labels: [], capacity: CAPACITY };
    return { description, state: 'ready', trust: 'healthy', free, startsSeen, speed: 1 };
  }
}

/**
 * Simulates a load below the link's bandwidth, an overload, and the first load again.
 *
 * @param scenario - rates and loads
 * @returns the jobs of each second, summed over all dispatchers
 */
export function runCongestion(scenario: CongestionScenario): SecondCount[] {
  const dispatchers = Array.from(
    { length: scenario.dispatchers },
    (_, index) => new ModelDispatcher(scenario, index),
  );
  for (let now = 0; now < RUN_MS; now += STEP_MS) for (const dispatcher of dispatchers) dispatcher.step(now);
  const seconds: SecondCount[] = [];
  for (const { seconds: own } of dispatchers) {
    own.forEach(({ submitted, completed, refused }, at) => {
      const sum = (seconds[at] ??= { submitted: 0, completed: 0, refused: 0 });
      sum.submitted += submitted;
      sum.completed += completed;
      sum.refused += refused;
    });
  }
  return seconds;
}
