/**
 * What a dispatcher's part of the room of one service is expected to serve. Work is in thousandths of a core times ms of
 * estimates; a drain is work per ms.
 */
import type { StepNeed } from '../../request/dispatch/submission.js';
import type { ExecutorView } from './ExecutorView.js';
import { findWork, measureWork } from './dispatchJob.js';
import type { DispatchJob, DispatchTask } from './dispatchJob.js';
import { SLOW_SHARE } from './Placement.js';
import { RateMeter } from './RateMeter.js';

/** Time over which the pace of ends is averaged, ms: longer than a task of most queues runs. */
const PACE_MS = 2_000;
/** Room whose ends must have been seen of late before the pace counts as known, thousandths of a core. */
const KNOWN_CPU = 1_000;
/** Time over which arriving work is averaged, ms: bursts last for seconds, and must be noticed in their first one. */
const ARRIVALS_MS = 1_000;

/** Times that waiting work is counted at one moment: each refusal makes it less, and many may be due at once. */
const MAX_COUNTS = 8;

/** What a forecast may know of the dispatcher. */
export interface CapacityView {
  readonly now: number;
  readonly typicalSpeed: number;
  /** Age of a ping from which on an agent is not used, ms. */
  readonly staleMs: number;
  readonly listExecutors: () => readonly ExecutorView[];
  /** Waiting tasks in the order in which they are offered. */
  readonly listWaiting: () => readonly DispatchTask[];
}

/** The room at one moment. */
export interface CapacityState {
  /** Room of usable agents that nothing takes, thousandths of a core. */
  readonly freeCpu: number;
  /** Work per ms that the room does, free or taken by us. */
  readonly serviceRate: number;
  /** Work per ms that one thousandth of a core does, as measured. */
  readonly throughput: number;
  /** Part of the drain that arriving work asks for. */
  readonly demand: number;
  /** Work that waits, up to the last task of each job. */
  readonly workUntil: ReadonlyMap<DispatchJob, number>;
  readonly waitingWork: number;
}

/** What was measured at one moment. */
interface MeasuredState {
  readonly now: number;
  room: CapacityState | undefined;
  /** Whether something that waited then is gone. */
  isStale: boolean;
  /** How often it was measured at that moment. */
  counts: number;
}

/** Forecast for one service. */
export class CapacityForecast {
  private readonly doneWork = new RateMeter(PACE_MS);
  private readonly doneCost = new RateMeter(PACE_MS);
  private readonly arrivals = new RateMeter(ARRIVALS_MS);
  /** What our attempts take of each life of an agent, thousandths of a core. */
  private readonly taken = new Map<string, number>();
  private state: MeasuredState | undefined;

  /** @param service - whose agents count */
  constructor(private readonly service: string) {}

  /** Work per ms that the room was last found to do; 0 while nothing is known. */
  get lastServiceRate(): number {
    return this.state?.room?.serviceRate ?? 0;
  }

  /** Counts work that callers ask for. */
  recordArrived(job: DispatchJob, now: number): void {
    this.state = undefined;
    this.arrivals.add(findWork(job), now);
  }

  /** An attempt takes room from now on. */
  recordSent({ agent, need }: DispatchTask): void {
    this.taken.set(agent, (this.taken.get(agent) ?? 0) + need.resources.cpuMilli);
  }

  /** An attempt has ended; its agent and the time of its sending are still known. */
  recordEnded(task: DispatchTask, isDone: boolean, now: number): void {
    const { cpuMilli } = task.need.resources;
    const taken = (this.taken.get(task.agent) ?? 0) - cpuMilli;
    if (taken > 0) this.taken.set(task.agent, taken);
    else this.taken.delete(task.agent);
    if (!isDone) return;
    this.doneWork.add(measureWork(task), now);
    this.doneCost.add(cpuMilli * (now - task.sentAt), now);
  }

  /** A job does not wait any more. */
  recordDropped(): void {
    if (this.state) this.state.isStale = true;
  }

  /**
   * Finds the state of the room as it was first measured at this moment.
   *
   * @returns undefined while no agent is usable or too little has ended of late
   */
  findState(view: CapacityView): CapacityState | undefined {
    return this.measure(view).room;
  }

  /**
   * Finds the state of the room without what was dropped at this moment.
   *
   * @returns undefined also when that was measured often enough at this moment
   */
  findLatestState(view: CapacityView): CapacityState | undefined {
    const state = this.measure(view);
    if (!state.isStale) return state.room;
    if (state.counts === MAX_COUNTS) return undefined;
    state.counts += 1;
    state.isStale = false;
    state.room = this.measureRoom(view);
    return state.room;
  }

  private measure(view: CapacityView): MeasuredState {
    if (this.state?.now === view.now) return this.state;
    this.state = { now: view.now, room: this.measureRoom(view), isStale: false, counts: 1 };
    return this.state;
  }

  private measureRoom(view: CapacityView): CapacityState | undefined {
    const { now } = view;
    const cost = this.doneCost.read(now);
    if (cost < KNOWN_CPU) return undefined;
    const pace = this.doneWork.read(now) / cost;
    let freeCpu = 0;
    let takenCpu = 0;
    for (const agent of view.listExecutors()) {
      if (!this.isUsable(agent, view)) continue;
      freeCpu += Math.max(0, agent.free.cpuMilli);
      takenCpu += this.taken.get(agent.id) ?? 0;
    }
    const drain = (freeCpu + takenCpu) * pace;
    if (drain === 0) return undefined;
    const demand = this.arrivals.read(now) / drain;
    return { freeCpu, serviceRate: drain, throughput: pace, demand, ...this.sumWaiting(view) };
  }

  private sumWaiting({ listWaiting }: CapacityView): Pick<CapacityState, 'workUntil' | 'waitingWork'> {
    const workUntil = new Map<DispatchJob, number>();
    let waitingWork = 0;
    for (const task of listWaiting()) {
      if (task.job.submission.route.service !== this.service || !canRunAnywhere(task.need)) continue;
      waitingWork += measureWork(task);
      workUntil.set(task.job, waitingWork);
    }
    return { workUntil, waitingWork };
  }

  private isUsable(agent: ExecutorView, { now, staleMs, typicalSpeed }: CapacityView): boolean {
    const { room } = agent;
    if (!room || room.service !== this.service || !agent.isReady(now, staleMs)) return false;
    return room.trust !== 'suspect' && room.speed >= typicalSpeed * SLOW_SHARE;
  }
}

/** Whether any agent of the service will do: room with a label or GPUs is not what the others wait for. */
export function canRunAnywhere({ requiredLabel, resources }: StepNeed): boolean {
  return requiredLabel === '' && resources.gpus === 0;
}
