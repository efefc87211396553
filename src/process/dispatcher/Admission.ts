/** Which jobs are given up, and when the callers of those that are refused may come back. */
import { findChainMs } from './dispatchJob.js';
import type { DispatchJob, DispatchTask } from './dispatchJob.js';
import { ANSWER_MARGIN_MS, findGiveUpReason, USELESS_FACTOR } from './findGiveUpReason.js';
import type { GiveUpReason } from './findGiveUpReason.js';
import { canRunAnywhere, CapacityForecast } from './CapacityForecast.js';
import type { CapacityView } from './CapacityForecast.js';

/** Shortest time after which a refused caller may come back, ms. */
export const RETRY_AFTER_MS = 1_000;
/** Longest one, ms: bursts last for seconds, and a caller is not to stay away from room that is free again. */
const MAX_RETRY_MS = 10_000;
/** Callers come back spread over so long, ms: they are told whole seconds, which this parts into three. */
const RETRY_SPREAD_MS = 3_000;
/** Part of a forecast wait that is held against a job: estimates are off by up to a half, and others may be refused. */
const CERTAIN_PART = 0.5;
/** Part of the worth of an answer in time that a late one has; from the users' rules. */
const LATE_WORTH = 0.2;

/** What a refusal is logged with. */
export interface ForecastFigures {
  readonly waitMs: number;
  /** Cores' worth of estimated work that the room does. */
  readonly drainCores: number;
  readonly demand: number;
  readonly freeCpu: number;
  readonly ageMs: number;
}

/** Decides what is given up. It hears of what arrives, is sent, ends and is refused. */
export abstract class Admission {
  /** Finds why an open job is to be given up; undefined while it is to be served. */
  abstract findReason(job: DispatchJob, view: CapacityView): GiveUpReason | undefined;

  /** Finds after how long the caller of a refused job may come back, ms. */
  findRetryMs(_job: DispatchJob, _view: CapacityView): number {
    return RETRY_AFTER_MS;
  }

  /** Tells what a refusal went by; undefined if by no forecast. */
  describeForecast(_job: DispatchJob, _view: CapacityView): ForecastFigures | undefined {
    return undefined;
  }

  /** Cores' worth of estimated work that the room of all services was last expected to do. */
  get drainCores(): number {
    return 0;
  }

  noteArrived(_job: DispatchJob, _now: number): void {}

  noteSent(_task: DispatchTask): void {}

  /** An attempt has ended; its agent and the time of its sending are still known. */
  noteEnded(_task: DispatchTask, _isDone: boolean, _now: number): void {}

  noteRefused(_job: DispatchJob): void {}
}

/** Goes by the job's own clock: what its caller's patience and its objective leave. */
export class CallerTimeoutAdmission extends Admission {
  override findReason(job: DispatchJob, { now, typicalSpeed }: CapacityView): GiveUpReason | undefined {
    return findGiveUpReason(job, now, typicalSpeed);
  }
}

/** Also goes by what the dispatcher's part of the room is expected to serve before the job. In doubt, a job is kept. */
export class ForecastAdmission extends Admission {
  private readonly forecasts = new Map<string, CapacityForecast>();

  /** @param nextRandom - spreads the times at which callers come back */
  constructor(private readonly nextRandom: () => number) {
    super();
  }

  override get drainCores(): number {
    let drain = 0;
    for (const forecast of this.forecasts.values()) drain += forecast.lastServiceRate;
    return drain / 1_000;
  }

  override findReason(job: DispatchJob, view: CapacityView): GiveUpReason | undefined {
    const { now } = view;
    const reason = findGiveUpReason(job, now, view.typicalSpeed);
    if (reason !== undefined || job.begun || job.out > 0) return reason;
    if (!job.submission.steps.every(canRunAnywhere)) return undefined;
    const room = this.findForecast(job).findLatestState(view);
    if (!room || room.freeCpu >= sumCpu(job)) return undefined;
    const chainMs = findChainMs(job.submission.steps) / room.throughput;
    const waitMs = ((room.workUntil.get(job) ?? 0) / room.serviceRate) * CERTAIN_PART;
    const usefulUntil = findUsefulEnd(job, 1 - room.demand >= LATE_WORTH);
    return now + waitMs + chainMs > usefulUntil ? 'no-room' : undefined;
  }

  override findRetryMs(job: DispatchJob, view: CapacityView): number {
    const room = this.findForecast(job).findState(view);
    const drainMs = room ? room.waitingWork / room.serviceRate : 0;
    const soonestMs = Math.min(Math.max(drainMs, RETRY_AFTER_MS), MAX_RETRY_MS - RETRY_SPREAD_MS);
    return Math.round(soonestMs + this.nextRandom() * RETRY_SPREAD_MS);
  }

  override describeForecast(job: DispatchJob, view: CapacityView): ForecastFigures | undefined {
    const room = this.findForecast(job).findState(view);
    if (!room) return undefined;
    return {
      waitMs: Math.round((room.workUntil.get(job) ?? 0) / room.serviceRate),
      drainCores: Math.round(room.serviceRate / 1_000),
      demand: Math.round(room.demand * 100) / 100,
      freeCpu: room.freeCpu,
      ageMs: Math.round(view.now - job.arrivedAt),
    };
  }

  override noteArrived(job: DispatchJob, now: number): void {
    if (job.submission.steps.every(canRunAnywhere)) this.findForecast(job).recordArrived(job, now);
  }

  override noteSent(task: DispatchTask): void {
    this.findForecast(task.job).recordSent(task);
  }

  override noteEnded(task: DispatchTask, isDone: boolean, now: number): void {
    this.findForecast(task.job).recordEnded(task, isDone, now);
  }

  override noteRefused(job: DispatchJob): void {
    this.findForecast(job).recordDropped();
  }

  private findForecast({ submission }: DispatchJob): CapacityForecast {
    const { service } = submission.route;
    const known = this.forecasts.get(service);
    if (known) return known;
    const forecast = new CapacityForecast(service);
    this.forecasts.set(service, forecast);
    return forecast;
  }
}

/**
 * Until when an answer is worth its room. Late answers are worth a part of one in time, and get room only while that
 * much is to spare: else each would make another late.
 */
function findUsefulEnd({ arrivedAt, objectiveAt, deadlineAt }: DispatchJob, hasSpare: boolean): number {
  const factor = hasSpare ? USELESS_FACTOR : 1;
  return Math.min(deadlineAt - ANSWER_MARGIN_MS, arrivedAt + factor * (objectiveAt - arrivedAt));
}

/** Room that the waiting tasks of a job take, thousandths of a core. */
function sumCpu({ tasks }: DispatchJob): number {
  let sum = 0;
  for (const { phase, need } of tasks) if (phase === 'waiting') sum += need.resources.cpuMilli;
  return sum;
}
