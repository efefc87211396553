/** Measures how fast an upstream works, against the callers' estimates, from the progress of its tasks. */
import type { SpeedMeasureKind } from '../settings/dispatchSettings.js';

/** Time over which earlier observations fade, ms. */
const FADE_MS = 600;
/** Run time that must be observed before the figure counts, ms. */
const MIN_OBSERVED_MS = 40;
/** Time after which an idle upstream is taken for an ordinary one again, ms. */
const FORGET_MS = 3_000;

/** Progress of one task since it was last looked at. */
export interface ProgressSample {
  /** Names the task. */
  readonly key: string;
  /** Part of the task's work, 0 to 1. */
  readonly share: number;
  /** The caller's estimate of the whole task, ms. */
  readonly estimateMs: number;
  /** Run time it took, ms. */
  readonly elapsedMs: number;
}

/** A way to measure the speed of one upstream. */
export abstract class SpeedMeter {
  /** Notes that a task has made some progress, or none. */
  abstract note(sample: ProgressSample, now: number): void;
  /** Notes that a task does not run any more. */
  abstract noteEnd(key: string, isDone: boolean, now: number): void;
  /** Work in ms of estimates done in one ms of run time. */
  abstract read(now: number): number;
}

/** All work of late by all run time of late. */
export class MeanSpeedMeter extends SpeedMeter {
  private workMs = 0;
  private timeMs = 0;
  private updatedAt: number;
  private value = 1;

  constructor(now: number) {
    super();
    this.updatedAt = now;
  }

  override note({ share, estimateMs, elapsedMs }: ProgressSample, now: number): void {
    this.fade(now);
    this.workMs += share * estimateMs;
    this.timeMs += elapsedMs;
    if (this.timeMs >= MIN_OBSERVED_MS) this.value = this.workMs / this.timeMs;
  }

  override noteEnd(): void {
    // What a task has done counts beyond its end.
  }

  override read(now: number): number {
    return adjustIdle(this.value, now - this.updatedAt);
  }

  private fade(now: number): void {
    const factor = Math.exp(-(now - this.updatedAt) / FADE_MS);
    this.workMs *= factor;
    this.timeMs *= factor;
    this.updatedAt = now;
  }
}

/** Time over which the earlier progress of a running task fades, ms: a slower upstream is seen within twice that. */
const TASK_FADE_MS = 200;
/**
 * Run time from which on a running task counts, as a part of its estimate: progress is told in whole percents. Short tasks
 * count early, as those that are still at work late are the slow ones of them.
 */
const MIN_TASK_PART = 0.15;
/** Age up to which tasks that have ended count beside those that run, ms. */
const FRESH_MS = 400;
/** Least tasks that the median is taken of; the newest of those that ended earlier make up for what is missing. */
const MIN_TASKS = 3;
/** Ended tasks that are kept; more than end in `FRESH_MS` change little. */
const MAX_ENDED = 16;
/** Speed below which a task makes no progress. */
const STANDSTILL_SPEED = 0.05;

interface RunningTask {
  readonly estimateMs: number;
  workMs: number;
  timeMs: number;
  totalWorkMs: number;
  totalMs: number;
}

/**
 * The median of the speeds of tasks of late, each of which counts once: one task that takes far longer than its estimate
 * does not make its upstream slow.
 */
export class MedianSpeedMeter extends SpeedMeter {
  private readonly running = new Map<string, RunningTask>();
  /** Newest last. */
  private readonly ended: { readonly speed: number; readonly at: number }[] = [];
  private updatedAt: number;

  constructor(now: number) {
    super();
    this.updatedAt = now;
  }

  override note({ key, share, estimateMs, elapsedMs }: ProgressSample, now: number): void {
    this.updatedAt = now;
    const task = this.running.get(key) ?? { estimateMs, workMs: 0, timeMs: 0, totalWorkMs: 0, totalMs: 0 };
    this.running.set(key, task);
    const factor = Math.exp(-elapsedMs / TASK_FADE_MS);
    task.workMs = task.workMs * factor + share * estimateMs;
    task.timeMs = task.timeMs * factor + elapsedMs;
    task.totalWorkMs += share * estimateMs;
    task.totalMs += elapsedMs;
  }

  override noteEnd(key: string, isDone: boolean, now: number): void {
    const task = this.running.get(key);
    this.running.delete(key);
    if (!task || !isDone || task.totalMs === 0) return;
    this.ended.push({ speed: task.totalWorkMs / task.totalMs, at: now });
    if (this.ended.length > MAX_ENDED) this.ended.shift();
  }

  override read(now: number): number {
    const speeds = this.listRunning();
    if (speeds.length > 0 && speeds.every((speed) => speed < STANDSTILL_SPEED)) return Math.max(...speeds);
    for (let at = this.ended.length - 1; at >= 0; at -= 1) {
      const one = this.ended[at];
      if (!one || (now - one.at > FRESH_MS && speeds.length >= MIN_TASKS)) break;
      speeds.push(one.speed);
    }
    if (speeds.length === 0) return 1;
    speeds.sort((left, right) => left - right);
    const upper = speeds[Math.floor(speeds.length / 2)] ?? 1;
    const lower = speeds[Math.floor((speeds.length - 1) / 2)] ?? 1;
    return adjustIdle((upper + lower) / 2, now - this.updatedAt);
  }

  private listRunning(): number[] {
    const speeds: number[] = [];
    for (const { workMs, timeMs, totalMs, estimateMs } of this.running.values())
      if (totalMs >= Math.max(MIN_OBSERVED_MS, estimateMs * MIN_TASK_PART)) speeds.push(workMs / timeMs);
    return speeds;
  }
}

/**
 * Creates the meter that the settings name.
 *
 * @param kind - of the measure
 * @param now - monotonic time, ms
 * @returns a meter that takes the upstream for an ordinary one
 */
export function createSpeedMeter(kind: SpeedMeasureKind, now: number): SpeedMeter {
  return kind === 'median' ? new MedianSpeedMeter(now) : new MeanSpeedMeter(now);
}

/** Speed after so long without work: an upstream that has been idle for long is taken for an ordinary one again. */
function adjustIdle(speed: number, idleMs: number): number {
  if (idleMs <= FADE_MS) return speed;
  const kept = Math.max(0, 1 - (idleMs - FADE_MS) / FORGET_MS);
  return 1 + (speed - 1) * kept;
}
