/** Measures the speed of an upstream, relative to the callers' estimates, from the progress of its tasks. */
import type { SpeedMeasureKind } from '../settings/dispatchSettings.js';

/** Time constant of the exponential decay of observations, ms. */
const DECAY_MS = 600;
/** Run time that must be observed before the speed is valid, ms. */
const MIN_OBSERVED_MS = 40;
/** Time in which the speed of an idle upstream returns to 1, ms. */
const IDLE_RESET_MS = 3_000;

/** Progress of one task since the previous sample. */
export interface ProgressSample {
  /** Key of the task. */
  readonly key: string;
  /** Fraction of the task's work that was done since then, 0 to 1. */
  readonly share: number;
  /** Caller's estimate of the duration of the whole task, ms. */
  readonly estimateMs: number;
  /** Run time since then, ms. */
  readonly elapsedMs: number;
}

/** Speed measure of one upstream. */
export abstract class SpeedMeter {
  /** Records the progress of a task, which may be none. */
  abstract record(sample: ProgressSample, now: number): void;
  /** Records that a task has ended. */
  abstract recordEnd(key: string, isDone: boolean, now: number): void;
  /** Returns the speed: estimated work done per run time; 1 if tasks take as long as estimated. */
  abstract read(now: number): number;
}

/** Recent work of all tasks divided by their recent run time. */
export class MeanSpeedMeter extends SpeedMeter {
  private workMs = 0;
  private timeMs = 0;
  private updatedAt: number;
  private speed = 1;

  constructor(now: number) {
    super();
    this.updatedAt = now;
  }

  override record({ share, estimateMs, elapsedMs }: ProgressSample, now: number): void {
    this.decay(now);
    this.workMs += share * estimateMs;
    this.timeMs += elapsedMs;
    if (this.timeMs >= MIN_OBSERVED_MS) this.speed = this.workMs / this.timeMs;
  }

  override recordEnd(): void {
    // Work done still counts after the end of a task.
  }

  override read(now: number): number {
    return adjustIdle(this.speed, now - this.updatedAt);
  }

  private decay(now: number): void {
    const factor = Math.exp(-(now - this.updatedAt) / DECAY_MS);
    this.workMs *= factor;
    this.timeMs *= factor;
    this.updatedAt = now;
  }
}

/**
 * Time constant of the exponential decay of a running task's progress, ms; a slower upstream is detected
 * within twice this time.
 */
const TASK_DECAY_MS = 200;
/**
 * Run time from which a running task counts, as a fraction of its estimate, as progress is reported in whole
 * percent. A larger fraction would bias the speed: of the short tasks, only the slow ones run that long.
 */
const MIN_TASK_SHARE = 0.15;
/** Age up to which ended tasks count in addition to running ones, ms. */
const RECENT_MS = 400;
/** Minimum number of tasks for the median; if there are fewer, older ended tasks are included. */
const MIN_TASKS = 3;
/** Maximum number of ended tasks that are kept; more than end within `RECENT_MS` hardly change the median. */
const MAX_ENDED = 16;
/** Speed below which a task counts as stalled. */
const STALLED_SPEED = 0.05;

interface RunningTask {
  readonly estimateMs: number;
  workMs: number;
  timeMs: number;
  totalWorkMs: number;
  totalMs: number;
}

/** Median of the speeds of recent tasks; a single task that far exceeds its estimate has little effect. */
export class MedianSpeedMeter extends SpeedMeter {
  private readonly running = new Map<string, RunningTask>();
  /** Speeds of ended tasks, newest last. */
  private readonly ended: { readonly speed: number; readonly at: number }[] = [];
  private updatedAt: number;

  constructor(now: number) {
    super();
    this.updatedAt = now;
  }

  override record({ key, share, estimateMs, elapsedMs }: ProgressSample, now: number): void {
    this.updatedAt = now;
    const task = this.running.get(key) ?? { estimateMs, workMs: 0, timeMs: 0, totalWorkMs: 0, totalMs: 0 };
    this.running.set(key, task);
    const factor = Math.exp(-elapsedMs / TASK_DECAY_MS);
    task.workMs = task.workMs * factor + share * estimateMs;
    task.timeMs = task.timeMs * factor + elapsedMs;
    task.totalWorkMs += share * estimateMs;
    task.totalMs += elapsedMs;
  }

  override recordEnd(key: string, isDone: boolean, now: number): void {
    const task = this.running.get(key);
    this.running.delete(key);
    if (!task || !isDone || task.totalMs === 0) return;
    this.ended.push({ speed: task.totalWorkMs / task.totalMs, at: now });
    if (this.ended.length > MAX_ENDED) this.ended.shift();
  }

  override read(now: number): number {
    const speeds = this.listRunning();
    if (speeds.length > 0 && speeds.every((speed) => speed < STALLED_SPEED)) return Math.max(...speeds);
    for (let at = this.ended.length - 1; at >= 0; at -= 1) {
      const task = this.ended[at];
      if (!task || (now - task.at > RECENT_MS && speeds.length >= MIN_TASKS)) break;
      speeds.push(task.speed);
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
      if (totalMs >= Math.max(MIN_OBSERVED_MS, estimateMs * MIN_TASK_SHARE)) speeds.push(workMs / timeMs);
    return speeds;
  }
}

/**
 * Creates the speed meter selected in the settings.
 *
 * @param kind - kind of the measure
 * @param now - monotonic time, ms
 * @returns a meter with an initial speed of 1
 */
export function createSpeedMeter(kind: SpeedMeasureKind, now: number): SpeedMeter {
  return kind === 'median' ? new MedianSpeedMeter(now) : new MeanSpeedMeter(now);
}

/** Adjusts the speed of an idle upstream, which gradually returns to 1. */
function adjustIdle(speed: number, idleMs: number): number {
  if (idleMs <= DECAY_MS) return speed;
  const kept = Math.max(0, 1 - (idleMs - DECAY_MS) / IDLE_RESET_MS);
  return 1 + (speed - 1) * kept;
}
