/** Admission control: which jobs are given up, and when callers of refused jobs may retry. */
import { computeCriticalPathMs } from './dispatchJob.js';
import type { DispatchJob, DispatchTask } from './dispatchJob.js';
import { ANSWER_MARGIN_MS, findGiveUpReason, USELESS_AFTER_OBJECTIVES } from './findGiveUpReason.js';
import type { GiveUpReason } from './findGiveUpReason.js';
import { canRunAnywhere, CapacityForecast } from './CapacityForecast.js';
import type { CapacityView } from './CapacityForecast.js';

/** Shortest retry delay of a refused caller, ms. */
export const RETRY_AFTER_MS = 1_000;
/** Longest retry delay, ms. Bursts last for seconds, so a longer delay would leave free capacity unused. */
const MAX_RETRY_AFTER_MS = 10_000;
/** Jitter of the retry delay, ms; callers receive it in whole seconds, of which the jitter spans three. */
const RETRY_SPREAD_MS = 3_000;
/** Fraction of the forecast wait that is applied; estimates are rough, and other jobs may be refused. */
const WAIT_CONFIDENCE = 0.5;
/** Value of a late answer relative to one in time. */
const LATE_ANSWER_VALUE = 0.2;

/** Forecast that is logged with a refusal. */
export interface ForecastFigures {
  /** Time until the waiting work up to the end of the job is done. */
  readonly waitMs: number;
  /** Service rate, in cores of estimated work. */
  readonly drainCores: number;
  /** Arrival rate of work as a fraction of the service rate. */
  readonly demand: number;
  /** Free capacity, thousandths of a core. */
  readonly freeCpu: number;
  /** Time since the arrival of the job. */
  readonly ageMs: number;
}

/** Decides which jobs are given up, based on arrivals, sent tasks, ended attempts and refusals. */
export abstract class Admission {
  /** Finds the reason to give up an open job; undefined if the job is kept. */
  abstract findReason(job: DispatchJob, view: CapacityView): GiveUpReason | undefined;

  /** Computes the retry delay for the caller of a refused job, ms. */
  findRetryMs(_job: DispatchJob, _view: CapacityView): number {
    return RETRY_AFTER_MS;
  }

  /** Describes the forecast behind a refusal; undefined if there is none. */
  describeForecast(_job: DispatchJob, _view: CapacityView): ForecastFigures | undefined {
    return undefined;
  }

  /** Latest forecast of the service rate of all services, in cores of estimated work. */
  get forecastCores(): number {
    return 0;
  }

  recordArrived(_job: DispatchJob, _now: number): void {}

  recordSent(_task: DispatchTask): void {}

  /** Records the end of an attempt; `executorId` and `sentAt` of the task are still those of the attempt. */
  recordEnded(_task: DispatchTask, _isDone: boolean, _now: number): void {}

  recordRefused(_job: DispatchJob): void {}
}

/** Gives up a job based on its caller timeout and its latency objective only. */
export class CallerTimeoutAdmission extends Admission {
  override findReason(job: DispatchJob, { now, typicalSpeed }: CapacityView): GiveUpReason | undefined {
    return findGiveUpReason(job, now, typicalSpeed);
  }
}

/** Also gives up a job whose forecast wait in the queue is too long. Without a forecast the job is kept. */
export class ForecastAdmission extends Admission {
  private readonly forecasts = new Map<string, CapacityForecast>();

  /** @param nextRandom - source of the retry jitter */
  constructor(private readonly nextRandom: () => number) {
    super();
  }

  override get forecastCores(): number {
    let serviceRate = 0;
    for (const forecast of this.forecasts.values()) serviceRate += forecast.lastServiceRate;
    return serviceRate / 1_000;
  }

  override findReason(job: DispatchJob, view: CapacityView): GiveUpReason | undefined {
    const { now } = view;
    const reason = findGiveUpReason(job, now, view.typicalSpeed);
    if (reason !== undefined || job.begun || job.outstanding > 0) return reason;
    if (!job.submission.steps.every(canRunAnywhere)) return undefined;
    const capacity = this.findForecast(job).findLatestState(view);
    if (!capacity || capacity.freeCpu >= sumCpu(job)) return undefined;
    const criticalPathMs = computeCriticalPathMs(job.submission.steps) / capacity.throughput;
    const waitMs = ((capacity.workUntil.get(job) ?? 0) / capacity.serviceRate) * WAIT_CONFIDENCE;
    const usefulUntil = findUsefulEnd(job, 1 - capacity.demand >= LATE_ANSWER_VALUE);
    return now + waitMs + criticalPathMs > usefulUntil ? 'no-room' : undefined;
  }

  override findRetryMs(job: DispatchJob, view: CapacityView): number {
    const capacity = this.findForecast(job).findState(view);
    const backlogMs = capacity ? capacity.waitingWork / capacity.serviceRate : 0;
    const soonestMs = Math.min(Math.max(backlogMs, RETRY_AFTER_MS), MAX_RETRY_AFTER_MS - RETRY_SPREAD_MS);
    return Math.round(soonestMs + this.nextRandom() * RETRY_SPREAD_MS);
  }

  override describeForecast(job: DispatchJob, view: CapacityView): ForecastFigures | undefined {
    const capacity = this.findForecast(job).findState(view);
    if (!capacity) return undefined;
    return {
      waitMs: Math.round((capacity.workUntil.get(job) ?? 0) / capacity.serviceRate),
      drainCores: Math.round(capacity.serviceRate / 1_000),
      demand: Math.round(capacity.demand * 100) / 100,
      freeCpu: capacity.freeCpu,
      ageMs: Math.round(view.now - job.arrivedAt),
    };
  }

  override recordArrived(job: DispatchJob, now: number): void {
    if (job.submission.steps.every(canRunAnywhere)) this.findForecast(job).recordArrived(job, now);
  }

  override recordSent(task: DispatchTask): void {
    this.findForecast(task.job).recordSent(task);
  }

  override recordEnded(task: DispatchTask, isDone: boolean, now: number): void {
    this.findForecast(task.job).recordEnded(task, isDone, now);
  }

  override recordRefused(job: DispatchJob): void {
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
 * Finds the latest useful time of an answer. A late answer is worth less than one in time, and is only
 * attempted while there is spare capacity: otherwise it would make another job late.
 */
function findUsefulEnd({ arrivedAt, objectiveAt, deadlineAt }: DispatchJob, hasSpare: boolean): number {
  const factor = hasSpare ? USELESS_AFTER_OBJECTIVES : 1;
  return Math.min(deadlineAt - ANSWER_MARGIN_MS, arrivedAt + factor * (objectiveAt - arrivedAt));
}

/** Sums the CPU that the waiting tasks of a job require, thousandths of a core. */
function sumCpu({ tasks }: DispatchJob): number {
  let sum = 0;
  for (const { phase, need } of tasks) if (phase === 'waiting') sum += need.resources.cpuMilli;
  return sum;
}
