/**
 * Forecasts the service rate of a dispatcher's share of the capacity of one service, and the waiting work.
 * Work is in thousandths of a core times estimated ms; a service rate is work per ms.
 */
import type { StepNeed } from '../../request/dispatch/submission.js';
import type { ExecutorView } from './ExecutorView.js';
import { computeJobWork, computeTaskWork } from './dispatchJob.js';
import type { DispatchJob, DispatchTask } from './dispatchJob.js';
import { SLOW_SHARE } from './Placement.js';
import { RateMeter } from './RateMeter.js';

/** Time constant of the measured throughput, ms; longer than the tasks of most queues run. */
const THROUGHPUT_WINDOW_MS = 2_000;
/** CPU use of recently completed tasks below which the throughput is unknown, thousandths of a core. */
const MIN_COMPLETED_CPU_MILLI = 1_000;
/** Time constant of the arrival rate, ms; short enough to detect a burst within a second. */
const ARRIVAL_WINDOW_MS = 1_000;

/**
 * Maximum computations of the state for one time; each refusal makes the state stale, and many jobs may be
 * refused at once.
 */
const MAX_UPDATES = 8;

/** State of the dispatcher that a forecast reads. */
export interface CapacityView {
  readonly now: number;
  readonly typicalSpeed: number;
  /** Age of the last message after which an executor is not used, ms. */
  readonly staleMs: number;
  readonly listExecutors: () => readonly ExecutorView[];
  /** Lists the waiting tasks in the order of placement. */
  readonly listWaiting: () => readonly DispatchTask[];
}

/** Capacity of a service at one time. */
export interface CapacityState {
  /** Free capacity of usable executors, thousandths of a core. */
  readonly freeCpu: number;
  /** Service rate of the free capacity and of the capacity used by this dispatcher, work per ms. */
  readonly serviceRate: number;
  /** Measured work per ms of one thousandth of a core. */
  readonly throughput: number;
  /** Arrival rate of work as a fraction of the service rate. */
  readonly demand: number;
  /** Waiting work up to and including the last task of each job. */
  readonly workUntil: ReadonlyMap<DispatchJob, number>;
  readonly waitingWork: number;
}

/** Cached capacity for one time. */
interface MeasuredState {
  readonly now: number;
  capacity: CapacityState | undefined;
  /** Whether a waiting job was dropped since the last computation. */
  isStale: boolean;
  /** Number of computations for this time. */
  updates: number;
}

/** Capacity forecast for one service. */
export class CapacityForecast {
  private readonly completedWork = new RateMeter(THROUGHPUT_WINDOW_MS);
  private readonly completedCpuMs = new RateMeter(THROUGHPUT_WINDOW_MS);
  private readonly arrivals = new RateMeter(ARRIVAL_WINDOW_MS);
  /** CPU used by attempts of this dispatcher, by executor id, thousandths of a core. */
  private readonly usedCpu = new Map<string, number>();
  private state: MeasuredState | undefined;

  /** @param service - service whose executors are counted */
  constructor(private readonly service: string) {}

  /** Latest service rate, work per ms; 0 while it is unknown. */
  get lastServiceRate(): number {
    return this.state?.capacity?.serviceRate ?? 0;
  }

  /** Records the work of a new job. */
  recordArrived(job: DispatchJob, now: number): void {
    this.state = undefined;
    this.arrivals.add(computeJobWork(job), now);
  }

  /** Records that an attempt uses capacity. */
  recordSent({ executorId, need }: DispatchTask): void {
    this.usedCpu.set(executorId, (this.usedCpu.get(executorId) ?? 0) + need.resources.cpuMilli);
  }

  /** Records the end of an attempt; `executorId` and `sentAt` of the task are still those of the attempt. */
  recordEnded(task: DispatchTask, isDone: boolean, now: number): void {
    const { cpuMilli } = task.need.resources;
    const usedCpu = (this.usedCpu.get(task.executorId) ?? 0) - cpuMilli;
    if (usedCpu > 0) this.usedCpu.set(task.executorId, usedCpu);
    else this.usedCpu.delete(task.executorId);
    if (!isDone) return;
    this.completedWork.add(computeTaskWork(task), now);
    this.completedCpuMs.add(cpuMilli * (now - task.sentAt), now);
  }

  /** Records that a waiting job was dropped. */
  recordDropped(): void {
    if (this.state) this.state.isStale = true;
  }

  /**
   * Finds the capacity as last computed for this time; it may still count jobs that were dropped since.
   *
   * @returns undefined while no executor is usable or too few tasks have completed recently
   */
  findState(view: CapacityView): CapacityState | undefined {
    return this.measureState(view).capacity;
  }

  /**
   * Finds the capacity, computed again if a job was dropped since the last computation for this time.
   *
   * @returns undefined also if another computation would exceed `MAX_UPDATES`
   */
  findLatestState(view: CapacityView): CapacityState | undefined {
    const state = this.measureState(view);
    if (!state.isStale) return state.capacity;
    if (state.updates === MAX_UPDATES) return undefined;
    state.updates += 1;
    state.isStale = false;
    state.capacity = this.measureCapacity(view);
    return state.capacity;
  }

  private measureState(view: CapacityView): MeasuredState {
    if (this.state?.now === view.now) return this.state;
    this.state = { now: view.now, capacity: this.measureCapacity(view), isStale: false, updates: 1 };
    return this.state;
  }

  private measureCapacity(view: CapacityView): CapacityState | undefined {
    const { now } = view;
    const completedCpu = this.completedCpuMs.read(now);
    if (completedCpu < MIN_COMPLETED_CPU_MILLI) return undefined;
    const throughput = this.completedWork.read(now) / completedCpu;
    let freeCpu = 0;
    let usedCpu = 0;
    for (const executor of view.listExecutors()) {
      if (!this.isUsable(executor, view)) continue;
      freeCpu += Math.max(0, executor.free.cpuMilli);
      usedCpu += this.usedCpu.get(executor.id) ?? 0;
    }
    const serviceRate = (freeCpu + usedCpu) * throughput;
    if (serviceRate === 0) return undefined;
    const demand = this.arrivals.read(now) / serviceRate;
    return { freeCpu, serviceRate, throughput, demand, ...this.sumWaiting(view) };
  }

  private sumWaiting({ listWaiting }: CapacityView): Pick<CapacityState, 'workUntil' | 'waitingWork'> {
    const workUntil = new Map<DispatchJob, number>();
    let waitingWork = 0;
    for (const task of listWaiting()) {
      if (task.job.submission.route.service !== this.service || !canRunAnywhere(task.need)) continue;
      waitingWork += computeTaskWork(task);
      workUntil.set(task.job, waitingWork);
    }
    return { workUntil, waitingWork };
  }

  private isUsable(executor: ExecutorView, { now, staleMs, typicalSpeed }: CapacityView): boolean {
    const { report } = executor;
    if (!report || report.service !== this.service || !executor.isReady(now, staleMs)) return false;
    return report.trust !== 'suspect' && report.speed >= typicalSpeed * SLOW_SHARE;
  }
}

/** Whether a task can run at any executor of the service: it requires neither a label nor GPUs. */
export function canRunAnywhere({ requiredLabel, resources }: StepNeed): boolean {
  return requiredLabel === '' && resources.gpus === 0;
}
