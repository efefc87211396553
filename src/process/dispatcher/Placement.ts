/** Chooses the executor for a task. */
import { fitResources } from '../../request/dispatch/resources.js';
import type { ExecutorView } from './ExecutorView.js';
import type { DispatchTask } from './dispatchJob.js';

/** Fraction of the typical speed below which an upstream is not used. */
export const SLOW_SHARE = 0.4;
/** Weight of an executor's load relative to its slowness. */
const LOAD_WEIGHT = 0.25;
/** Maximum number of random candidates, so that dispatchers do not all choose the same executor. */
const MAX_COMPARED = 8;
/** Maximum random part of the cost, so that dispatchers with the same view choose differently. */
const JITTER = 0.1;
/**
 * Cost bonus of the executor that has just received a task of the same job, as a fraction of the task's time:
 * tasks sent together share a message and the job's spec in it.
 */
const SAME_JOB_BONUS = 0.2;
/**
 * Cost bonus of an executor that prefers this dispatcher, as a fraction of the task's time. It equals the
 * cost of a full load, so that these executors are filled first unless they are slower by about a quarter.
 * Most of the capacity of an executor is then used by one dispatcher, which knows what it has sent there, and
 * fewer starts are rejected.
 */
const PREFERRED_BONUS = LOAD_WEIGHT;

/** State of the dispatcher that a placement reads. */
export interface PlacementContext {
  readonly now: number;
  /** Typical speed of the upstreams. */
  readonly typicalSpeed: number;
  /** Age of the last message after which an executor is not used, ms. */
  readonly staleMs: number;
  /** Time that a task loses if an executor rejects it for lack of capacity, ms. */
  readonly returnMs: number;
  readonly nextRandom: () => number;
}

/** A strategy to choose an executor. */
export abstract class Placement {
  abstract choose(
    task: DispatchTask,
    executors: readonly ExecutorView[],
    context: PlacementContext,
  ): ExecutorView | undefined;
}

/** Chooses the executor where the task should end first, by speed, load and distance from the data. */
export class SpeedPlacement extends Placement {
  /** @param farFactor - factor by which a task takes longer away from its data */
  constructor(private readonly farFactor: number) {
    super();
  }

  override choose(
    task: DispatchTask,
    executors: readonly ExecutorView[],
    context: PlacementContext,
  ): ExecutorView | undefined {
    let best: ExecutorView | undefined;
    let bestCost = Infinity;
    const compare = (executor: ExecutorView, bonus: number): void => {
      const cost = this.computeCost(task, executor, context) - bonus;
      if (cost < bestCost) [best, bestCost] = [executor, cost];
    };
    for (const executor of executors) {
      const bonus = this.computeBonus(task, executor);
      if (bonus > 0 && isUsable(task, executor, context)) compare(executor, bonus);
    }
    // Few executors are near the data, so all are compared.
    const maxCompared = task.need.preferredRack === '' ? MAX_COMPARED : executors.length;
    const start = Math.floor(context.nextRandom() * executors.length);
    let compared = 0;
    for (let step = 0; step < executors.length && compared < maxCompared; step += 1) {
      const executor = executors[(start + step) % executors.length];
      if (!executor || this.computeBonus(task, executor) > 0 || !isUsable(task, executor, context)) continue;
      compared += 1;
      compare(executor, 0);
    }
    return best;
  }

  /** Cost bonus of an executor, as a fraction of the task's time; one with a bonus is always compared. */
  protected computeBonus(_task: DispatchTask, _executor: ExecutorView): number {
    return 0;
  }

  private computeCost(task: DispatchTask, executor: ExecutorView, context: PlacementContext): number {
    const { report } = executor;
    if (!report) return Infinity;
    const slowness = context.typicalSpeed / Math.max(report.speed, context.typicalSpeed * 0.1);
    const { preferredRack } = task.need;
    const distance = preferredRack !== '' && !report.labels.includes(preferredRack) ? this.farFactor : 1;
    const load = 1 - executor.free.cpuMilli / Math.max(1, report.capacity.cpuMilli);
    const retry = task.avoid.has(executor.id) ? 2 : 1;
    const { estimateMs, resources } = task.need;
    const returnCost =
      (executor.estimateRisk(resources, context.now) * context.returnMs * context.typicalSpeed) / estimateMs;
    return slowness * distance * retry + returnCost + LOAD_WEIGHT * load + JITTER * context.nextRandom();
  }
}

/** Like `SpeedPlacement`, but sends tasks of one job that start together to few executors. */
export class GroupedPlacement extends SpeedPlacement {
  protected override computeBonus({ job, avoid }: DispatchTask, { id }: ExecutorView): number {
    return job.lastExecutorId === id && !avoid.has(id) ? SAME_JOB_BONUS : 0;
  }
}

/** Like `GroupedPlacement`, but favors executors that prefer this dispatcher. */
export class PreferredPlacement extends GroupedPlacement {
  protected override computeBonus(task: DispatchTask, executor: ExecutorView): number {
    return super.computeBonus(task, executor) + (executor.isHome ? PREFERRED_BONUS : 0);
  }
}

function isUsable(
  task: DispatchTask,
  executor: ExecutorView,
  { now, typicalSpeed, staleMs }: PlacementContext,
): boolean {
  const { report } = executor;
  if (!report || !executor.isReady(now, staleMs)) return false;
  if (now < executor.pausedUntil || report.service !== task.job.submission.route.service) return false;
  const { requiredLabel } = task.need;
  if (requiredLabel !== '' && !report.labels.includes(requiredLabel)) return false;
  if (report.trust === 'suspect' || report.speed < typicalSpeed * SLOW_SHARE) return false;
  if (report.trust === 'probation' && !isIdle(executor)) return false;
  return fitResources(task.need.resources, executor.free);
}

function isIdle({ report, startsInFlight }: ExecutorView): boolean {
  return report !== undefined && startsInFlight === 0 && report.free.cpuMilli >= report.capacity.cpuMilli;
}
