/**
 * Model of one dispatcher under more load than its executors have capacity for, on virtual time. The dispatcher is
 * production code; the simulated executors accept every start and report their capacity when a task ends.
 *
 * Loads are bursts of large or urgent jobs or both, wrong estimates, slow upstreams, and executors that fail and return.
 */
import { createRandom } from '../../src/_lib/createRandom.js';
import type {
  AttemptResult,
  DispatcherMessage,
  CapacityReport,
} from '../../src/connection/peer/peerMessages.js';
import type { Admission } from '../../src/process/dispatcher/Admission.js';
import { Dispatcher } from '../../src/process/dispatcher/Dispatcher.js';
import { SpeedPlacement } from '../../src/process/dispatcher/Placement.js';
import { UnboundedWindow } from '../../src/process/dispatcher/SendWindow.js';
import type { TaskOrder } from '../../src/process/dispatcher/TaskOrder.js';
import { JobBounds } from '../../src/request/dispatch/JobBounds.js';
import type { JobOutcome } from '../../src/request/dispatch/submission.js';
import { ROUTE, STEP, WIDE_LIMITS } from './dispatchFixtures.js';

const TICK_MS = 40;
const PING_MS = 170;
const ORPHAN_MS = 1_240;
const EXECUTORS = 6;
const EXECUTOR_CPU = 64_000;
const CAPACITY = { cpuMilli: EXECUTOR_CPU, memoryMb: 1_000_000, gpus: 0 };
const TASK_CPU = 5_800;
const TARGET_LATENCY_MS = 61;
/** Time that callers wait beyond the work, ms. */
const WAIT_MS = 1_500;
/** Answers later than this multiple of the objective are useless. */
const USELESS_FACTOR = 3;
/** Spread of job widths and durations (standard deviation of the logarithm). */
const SPREAD = 0.4;

/** Queue; at normal rates all queues together need 0.7 of the capacity. */
interface ModelQueue {
  readonly name: string;
  readonly priority: number;
  readonly perSecond: number;
  readonly width: number;
  readonly workMs: number;
}

const QUEUES: readonly ModelQueue[] = [
  { name: 'urgent', priority: 0, perSecond: 14.2, width: 8, workMs: 86 },
  { name: 'middle', priority: 1, perSecond: 41.3, width: 2, workMs: 286 },
  { name: 'large', priority: 2, perSecond: 2.59, width: 4, workMs: 1_286 },
];

/** Increased rate of a queue for some time. */
export interface ModelBurst {
  readonly queue: string;
  readonly fromMs: number;
  readonly untilMs: number;
  readonly factor: number;
}

/** Outage of executors. */
export interface ModelOutage {
  readonly executors: number;
  readonly fromMs: number;
  readonly untilMs: number;
}

/** Parameters of a run. */
export interface ScarceCapacityRun {
  readonly seed: number;
  readonly lengthMs: number;
  readonly bursts: readonly ModelBurst[];
  /** Largest relative error of estimates. */
  readonly estimateError?: number;
  /** Number of executors whose upstreams take 1.5 times as long. */
  readonly slowExecutors?: number;
  readonly outage?: ModelOutage;
  /** Executors whose failure domain is emptied, and when. */
  readonly emptied?: { readonly executors: number; readonly fromMs: number };
  /** Factor of the rates of all queues. */
  readonly load?: number;
  readonly createOrder?: () => TaskOrder;
  readonly createAdmission?: () => Admission;
}

/** Job and its outcome. */
export interface ScarceCapacityJob {
  readonly queue: string;
  readonly arrivedAt: number;
  /** Actual work, core-ms. */
  readonly work: number;
  /** Duration of its longest task, ms. */
  readonly longestTaskMs: number;
  readonly objectiveMs: number;
  readonly tasks: number;
  outcome: JobOutcome | undefined;
  answeredAt: number;
}

/** Value of an answer to its caller. */
export type ModelVerdict = 'in-time' | 'late' | 'useless' | 'refused' | 'interrupted';

/** Evaluates a job's answer. */
export function evaluateJob({
  outcome,
  answeredAt,
  arrivedAt,
  objectiveMs,
}: ScarceCapacityJob): ModelVerdict {
  if (outcome?.kind === 'refused') return 'refused';
  if (outcome?.kind !== 'completed') return 'interrupted';
  const tookMs = answeredAt - arrivedAt;
  if (tookMs <= objectiveMs) return 'in-time';
  return tookMs <= objectiveMs * USELESS_FACTOR ? 'late' : 'useless';
}

interface ModelRun {
  readonly name: AttemptResult['name'];
  readonly cpuMilli: number;
  readonly endsAt: number;
}

interface ModelExecutor {
  readonly name: string;
  id: string;
  incarnation: number;
  startsSeen: number;
  runs: ModelRun[];
  readonly slowness: number;
  isOut: boolean;
  nextPingAt: number;
}

/** Runs one scenario. */
export class ScarceCapacityModel {
  readonly jobs: ScarceCapacityJob[] = [];
  /** Times at which an executor had free capacity while a task waited after placing, ms. */
  readonly idleAt: number[] = [];
  readonly dispatcher: Dispatcher;
  private readonly executors: ModelExecutor[] = [];
  private readonly random: () => number;
  private readonly workOf = new Map<string, readonly number[]>();
  private now = 0;
  private readonly nextAt: number[] = [];

  constructor(private readonly scenario: ScarceCapacityRun) {
    this.random = createRandom(scenario.seed);
    this.dispatcher = new Dispatcher(
      {
        pingMs: PING_MS,
        bounds: new JobBounds(WIDE_LIMITS),
        placement: new SpeedPlacement(1),
        window: new UnboundedWindow(),
        nextRandom: createRandom(scenario.seed + 1),
        ...(scenario.createOrder ? { order: scenario.createOrder() } : {}),
        ...(scenario.createAdmission ? { admission: scenario.createAdmission() } : {}),
      },
      {
        send: (id, message) => this.handleOrder(id, message),
        log: () => undefined,
        recordOutcome: () => undefined,
      },
    );
    for (let number = 0; number < EXECUTORS; number += 1) {
      const slowness = number < (scenario.slowExecutors ?? 0) ? 1.5 : 1;
      const base = { id: '', incarnation: 0, startsSeen: 0, runs: [], isOut: false, nextPingAt: 0 };
      const executor: ModelExecutor = { ...base, name: `a${number}`, slowness };
      this.executors.push(executor);
      this.link(executor);
    }
    this.dispatcher.tick(0);
    for (const queue of QUEUES) this.nextAt.push(this.drawGap(queue));
  }

  /** Runs to the end, and until all jobs are answered. */
  run(): this {
    for (this.now = 1; this.now < this.scenario.lengthMs + 4_000; this.now += 1) this.step();
    return this;
  }

  private step(): void {
    const { outage, emptied, lengthMs } = this.scenario;
    this.executors.forEach((executor, number) => {
      if (outage && number < outage.executors) this.stepOutage(executor, outage);
      if (!executor.isOut) this.stepExecutor(executor);
    });
    if (emptied && this.now === emptied.fromMs) this.dispatcher.setEmptied(['emptied']);
    QUEUES.forEach((queue, at) => {
      while (this.now < lengthMs && (this.nextAt[at] ?? Infinity) <= this.now) {
        this.submit(queue);
        this.nextAt[at] = (this.nextAt[at] ?? 0) + this.drawGap(queue);
      }
    });
    if (this.now % TICK_MS === 0) this.dispatcher.tick(this.now);
    this.dispatcher.place(this.now);
    this.recordIdleCapacity();
  }

  /** Records free capacity that the dispatcher left unused; starts arrive without delay. */
  private recordIdleCapacity(): void {
    if (this.dispatcher.waitingTasks === 0) return;
    const hasRoom = this.executors.some(
      (executor) => !executor.isOut && this.buildCapacityReport(executor).free.cpuMilli >= TASK_CPU,
    );
    if (hasRoom) this.idleAt.push(this.now);
  }

  private drawGap({ name, perSecond }: ModelQueue): number {
    const bursts = this.scenario.bursts.filter(
      ({ queue, fromMs, untilMs }) => queue === name && this.now >= fromMs && this.now < untilMs,
    );
    const factor = bursts.reduce((product, burst) => product * burst.factor, this.scenario.load ?? 1);
    return (-Math.log(1 - this.random()) * 1_000) / (perSecond * factor);
  }

  /** Draws a factor with mean 1 and the given standard deviation of its logarithm. */
  private drawFactor(spread: number): number {
    const normal = Math.sqrt(-2 * Math.log(1 - this.random())) * Math.cos(2 * Math.PI * this.random());
    return Math.exp(spread * normal - spread ** 2 / 2);
  }

  private submit(queue: ModelQueue): void {
    const id = `job${this.jobs.length}`;
    const count = Math.max(1, Math.min(queue.width * 4, Math.round(queue.width * this.drawFactor(SPREAD))));
    const workMs = Math.min(queue.workMs * 4, queue.workMs * this.drawFactor(SPREAD));
    const works = Array.from({ length: count }, () => workMs * (1 + 0.15 * (2 * this.random() - 1)));
    const off = 1 + (this.scenario.estimateError ?? 0) * (2 * this.random() - 1);
    const chainMs = Math.max(...works);
    const job: ScarceCapacityJob = {
      queue: queue.name,
      arrivedAt: this.now,
      work: (works.reduce((sum, work) => sum + work, 0) * TASK_CPU) / 1_000,
      longestTaskMs: chainMs,
      objectiveMs: ROUTE.stretch * chainMs + TARGET_LATENCY_MS,
      tasks: count,
      outcome: undefined,
      answeredAt: 0,
    };
    this.jobs.push(job);
    this.workOf.set(id, works);
    const route = {
      ...ROUTE,
      name: queue.name,
      priority: queue.priority,
      targetLatencyMs: TARGET_LATENCY_MS,
    };
    const resources = { cpuMilli: TASK_CPU, memoryMb: 64, gpus: 0 };
    const steps = [{ ...STEP, count, resources, estimateMs: workMs * off }];
    const answer = (outcome: JobOutcome): void => {
      job.outcome = outcome;
      job.answeredAt = this.now;
    };
    const patienceMs = chainMs + WAIT_MS;
    this.dispatcher.submit({ id, route, spec: '', steps, patienceMs }, { answer }, this.now);
  }

  private link(executor: ModelExecutor): void {
    executor.incarnation += 1;
    executor.startsSeen = 0;
    const isEmptied = this.executors.indexOf(executor) < (this.scenario.emptied?.executors ?? 0);
    executor.id = this.dispatcher.handleHello(
      {
        type: 'agent-hello',
        agent: executor.name,
        life: String(executor.incarnation),
        failureDomain: isEmptied ? 'emptied' : 'kept',
        holding: [],
        results: [],
        entryLife: 'me',
        orphanMs: ORPHAN_MS,
      },
      'me',
      this.now,
    );
    this.ping(executor);
  }

  private stepOutage(executor: ModelExecutor, { fromMs, untilMs }: ModelOutage): void {
    if (this.now === fromMs) {
      executor.isOut = true;
      executor.runs = [];
      this.dispatcher.handleClose(executor.id, 'test', this.now);
    }
    if (this.now !== untilMs) return;
    executor.isOut = false;
    this.link(executor);
  }

  private handleOrder(id: string, message: DispatcherMessage): void {
    const executor = this.executors.find((one) => one.id === id);
    if (!executor || executor.isOut) return;
    if (message.type === 'start') {
      const { name, resources } = message;
      executor.startsSeen += 1;
      const workMs = this.workOf.get(name.job)?.[name.index] ?? 0;
      executor.runs.push({
        name,
        cpuMilli: resources.cpuMilli,
        endsAt: this.now + workMs * executor.slowness + 2,
      });
    }
    if (message.type !== 'stop') return;
    const { job, index } = message.name;
    const run = executor.runs.find(({ name }) => name.job === job && name.index === index);
    if (run) executor.runs.splice(executor.runs.indexOf(run), 1, { ...run, endsAt: this.now + 1 });
  }

  private stepExecutor(executor: ModelExecutor): void {
    const ended = executor.runs.filter(({ endsAt }) => endsAt <= this.now);
    if (ended.length > 0) {
      executor.runs = executor.runs.filter(({ endsAt }) => endsAt > this.now);
      for (const { name } of ended) {
        const result = { type: 'result', name, end: 'done', reason: '' } as const;
        this.dispatcher.handleResult(executor.id, result, this.now);
      }
      const room = this.buildCapacityReport(executor);
      this.dispatcher.handleCapacity(executor.id, { type: 'room', at: this.now, room }, this.now);
    }
    if (this.now >= executor.nextPingAt) this.ping(executor);
  }

  private ping(executor: ModelExecutor): void {
    executor.nextPingAt = this.now + PING_MS;
    const room = this.buildCapacityReport(executor);
    const ping = { type: 'ping', version: 1, at: this.now, room, progress: undefined } as const;
    this.dispatcher.handlePing(executor.id, ping, this.now);
  }

  private buildCapacityReport({ name, startsSeen, runs, slowness }: ModelExecutor): CapacityReport {
    const used = runs.reduce((sum, { cpuMilli }) => sum + cpuMilli, 0);
    const description = {
      upstream: `of-${name}`,
      service: ROUTE.service,
      labels: [],
      capacity: CAPACITY,
    };
    const free = { ...CAPACITY, cpuMilli: EXECUTOR_CPU - used };
    return { description, state: 'ready', trust: 'healthy', free, startsSeen, speed: 1 / slowness };
  }
}

/** Bursts after 4 s at the normal rate. */
const LARGE: ModelBurst = { queue: 'large', fromMs: 4_000, untilMs: 10_000, factor: 2.3 };
const URGENT: ModelBurst = { queue: 'urgent', fromMs: 4_000, untilMs: 8_000, factor: 1.7 };
const BOTH = [LARGE, { ...URGENT, fromMs: 5_000, untilMs: 9_000 }];

/** Burst of four times the normal rate. */
const FLOOD: ModelBurst = { queue: 'middle', fromMs: 4_000, untilMs: 9_000, factor: 4 };

/** Loads of the comparison by name, without seed and policies. */
export const LOADS: Readonly<Record<string, Omit<ScarceCapacityRun, 'seed'>>> = {
  calm: { lengthMs: 12_000, bursts: [] },
  large: { lengthMs: 12_000, bursts: [LARGE] },
  urgent: { lengthMs: 10_000, bursts: [URGENT] },
  both: { lengthMs: 12_000, bursts: BOTH },
  'estimates off': { lengthMs: 12_000, bursts: BOTH, estimateError: 0.4 },
  flood: { lengthMs: 12_000, bursts: [FLOOD] },
  'room lost': { lengthMs: 12_000, bursts: BOTH, outage: { executors: 3, fromMs: 6_000, untilMs: 10_000 } },
  'slow third': { lengthMs: 12_000, bursts: BOTH, slowExecutors: 2 },
};
