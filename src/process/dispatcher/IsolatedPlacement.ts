import type { ExecutorView } from './ExecutorView.js';
import type { DispatchTask } from './dispatchJob.js';
import { Placement } from './Placement.js';
import type { PlacementContext } from './Placement.js';

/** How long an agent is left out at which a suspect of another dispatcher is, ms: about the time of a short task. */
const OCCUPIED_MS = 60;
/**
 * How long an agent comes last after its upstream has crashed, ms: one that goes down and up by turns is idle when it is
 * back, and would soon count against the task that is sent there.
 */
const CRASHED_MS = 10_000;

/**
 * Chooses agents for suspects: where no other suspect is, and of those where the least runs, so that the next crash tells
 * which task it is and takes little along.
 */
export class IsolatedPlacement extends Placement {
  /** Suspects that may run somewhere. */
  private readonly running = new Set<DispatchTask>();
  /** Until when agents are left out, by id, ms. */
  private readonly occupiedUntil = new Map<string, number>();

  /** Until when agents come last, by id, ms. */
  private readonly crashedUntil = new Map<string, number>();

  /** @param placement - chooses among agents that are equally free */
  constructor(private readonly placement: Placement) {
    super();
  }

  override choose(
    task: DispatchTask,
    agents: readonly ExecutorView[],
    context: PlacementContext,
  ): ExecutorView | undefined {
    const taken = this.listTaken(context.now);
    const apart = agents.filter(({ id }) => !taken.has(id));
    const sound = apart.filter(({ id }) => !task.avoid.has(id) && !this.hasCrashed(id, context.now));
    return this.chooseAmong(task, sound, context) ?? this.chooseAmong(task, apart, context);
  }

  /** The upstream of an agent has crashed. */
  noteCrash(agent: string, now: number): void {
    this.crashedUntil.set(agent, now + CRASHED_MS);
  }

  /** Forgets what is long ago. */
  tick(now: number): void {
    for (const [id, until] of this.crashedUntil) if (until <= now) this.crashedUntil.delete(id);
  }

  private hasCrashed(agent: string, now: number): boolean {
    return (this.crashedUntil.get(agent) ?? 0) > now;
  }

  private chooseAmong(
    task: DispatchTask,
    apart: ExecutorView[],
    context: PlacementContext,
  ): ExecutorView | undefined {
    const idle = apart.filter((agent) => measureLoad(agent) === 0);
    const chosen = this.placement.choose(task, idle, context);
    if (chosen) return chosen;
    const byLoad = apart.sort((left, right) => measureLoad(left) - measureLoad(right));
    return byLoad.find((agent) => this.placement.choose(task, [agent], context) !== undefined);
  }

  /** A suspect was sent to its agent. */
  noteSent(task: DispatchTask): void {
    this.running.add(task);
  }

  /**
   * A suspect does not run any more.
   *
   * @param task - the suspect
   * @param wasOccupied - whether its agent has not begun it as another suspect is there
   * @param now - monotonic time, ms
   */
  noteEnd(task: DispatchTask, wasOccupied: boolean, now: number): void {
    this.running.delete(task);
    if (wasOccupied) this.occupiedUntil.set(task.agent, now + OCCUPIED_MS);
  }

  private listTaken(now: number): Set<string> {
    const taken = new Set([...this.running].map(({ agent }) => agent));
    for (const [id, until] of this.occupiedUntil) {
      if (until > now) taken.add(id);
      else this.occupiedUntil.delete(id);
    }
    return taken;
  }
}

/** Share of an agent's processor room that is taken, 0 to 1. */
function measureLoad({ room, free, unseenStarts }: ExecutorView): number {
  if (!room || room.capacity.cpuMilli === 0) return unseenStarts;
  return 1 - free.cpuMilli / room.capacity.cpuMilli;
}
