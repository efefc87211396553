import type { ExecutorView } from './ExecutorView.js';
import type { DispatchTask } from './dispatchJob.js';
import { Placement } from './Placement.js';
import type { PlacementContext } from './Placement.js';

/** How long an executor with a suspect of another dispatcher is skipped, ms: the time of a short task. */
const OCCUPIED_MS = 60;
/**
 * How long an executor is chosen last after its upstream has crashed, ms. An upstream that keeps crashing is
 * idle after each restart, and its next crash would be blamed on the suspect sent there.
 */
const CRASHED_MS = 10_000;

/**
 * Chooses executors for suspect tasks: one without another suspect and with the least load, so that a crash
 * identifies its cause and affects few other tasks.
 */
export class IsolatedPlacement extends Placement {
  /** Suspects with an outstanding attempt. */
  private readonly running = new Set<DispatchTask>();
  /** Until when executors are skipped, by id, ms. */
  private readonly occupiedUntil = new Map<string, number>();
  /** Until when executors are chosen last, by id, ms. */
  private readonly crashedUntil = new Map<string, number>();

  /** @param placement - chooses among executors with equal load */
  constructor(private readonly placement: Placement) {
    super();
  }

  override choose(
    task: DispatchTask,
    executors: readonly ExecutorView[],
    context: PlacementContext,
  ): ExecutorView | undefined {
    const occupied = this.listOccupied(context.now);
    const unoccupied = executors.filter(({ id }) => !occupied.has(id));
    const healthy = unoccupied.filter(({ id }) => !task.avoid.has(id) && !this.hasCrashed(id, context.now));
    return this.chooseAmong(task, healthy, context) ?? this.chooseAmong(task, unoccupied, context);
  }

  /** Records a crash of the upstream of an executor. */
  recordCrash(executorId: string, now: number): void {
    this.crashedUntil.set(executorId, now + CRASHED_MS);
  }

  /** Removes expired crashes. */
  tick(now: number): void {
    for (const [id, until] of this.crashedUntil) if (until <= now) this.crashedUntil.delete(id);
  }

  private hasCrashed(executorId: string, now: number): boolean {
    return (this.crashedUntil.get(executorId) ?? 0) > now;
  }

  private chooseAmong(
    task: DispatchTask,
    candidates: ExecutorView[],
    context: PlacementContext,
  ): ExecutorView | undefined {
    const idle = candidates.filter((executor) => computeLoad(executor) === 0);
    const chosen = this.placement.choose(task, idle, context);
    if (chosen) return chosen;
    const byLoad = candidates.sort((left, right) => computeLoad(left) - computeLoad(right));
    return byLoad.find((executor) => this.placement.choose(task, [executor], context) !== undefined);
  }

  /** Records that a suspect was sent to its executor. */
  recordSent(task: DispatchTask): void {
    this.running.add(task);
  }

  /**
   * Records the end of an attempt of a suspect.
   *
   * @param task - the suspect
   * @param wasOccupied - whether its executor rejected it because another suspect runs there
   * @param now - monotonic time, ms
   */
  recordEnd(task: DispatchTask, wasOccupied: boolean, now: number): void {
    this.running.delete(task);
    if (wasOccupied) this.occupiedUntil.set(task.executorId, now + OCCUPIED_MS);
  }

  private listOccupied(now: number): Set<string> {
    const occupied = new Set([...this.running].map(({ executorId }) => executorId));
    for (const [id, until] of this.occupiedUntil) {
      if (until > now) occupied.add(id);
      else this.occupiedUntil.delete(id);
    }
    return occupied;
  }
}

/** Computes the used fraction of an executor's CPU, or counts its starts in flight if that is unknown. */
function computeLoad({ report, free, startsInFlight }: ExecutorView): number {
  if (!report || report.capacity.cpuMilli === 0) return startsInFlight;
  return 1 - free.cpuMilli / report.capacity.cpuMilli;
}
