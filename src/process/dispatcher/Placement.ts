/** Chooses the agent for a task. */
import { fitResources } from '../../request/dispatch/resources.js';
import type { ExecutorView } from './ExecutorView.js';
import type { DispatchTask } from './dispatchJob.js';

/** Share of the typical speed below which an upstream is left alone. */
export const SLOW_SHARE = 0.4;
/** Weight of an agent's load against its speed. */
const LOAD_WEIGHT = 0.25;
/** Agents that are compared where there are more: the best of a few, so that entries do not all choose the same one. */
const MAX_COMPARED = 8;
/** Spread of choices between entries that see the same room. */
const JITTER = 0.1;
/**
 * How much costlier, in parts of a task's time, another agent may be than the one that has just got a task of the same
 * job: tasks that go to one agent together share a message, of which the job's text is most.
 */
const TOGETHER_WORTH = 0.2;
/**
 * How much costlier, in parts of a task's time, an agent may be that prefers this dispatcher: by as much as an agent's
 * whole load, so that those are filled first unless they are slower by about a quarter. Most of an agent's room is then
 * asked for by one dispatcher only, which knows what it has sent there, and fewer starts come back.
 */
const HOME_WORTH = LOAD_WEIGHT;

/** What a placement may know besides the agents. */
export interface PlacementContext {
  readonly now: number;
  /** Typical speed of the upstreams. */
  readonly typicalSpeed: number;
  /** Age of a ping from which on an agent is not used, ms. */
  readonly staleMs: number;
  /** Time that a task loses at an agent that has no room for it any more, ms. */
  readonly returnMs: number;
  readonly nextRandom: () => number;
}

/** A way to choose an agent. */
export abstract class Placement {
  abstract choose(
    task: DispatchTask,
    agents: readonly ExecutorView[],
    context: PlacementContext,
  ): ExecutorView | undefined;
}

/** The agent where the task will probably end first, of some that have room: fast, near its data, with little load. */
export class SpeedPlacement extends Placement {
  /** @param farFactor - how much longer a task takes away from its data */
  constructor(private readonly farFactor: number) {
    super();
  }

  override choose(
    task: DispatchTask,
    agents: readonly ExecutorView[],
    context: PlacementContext,
  ): ExecutorView | undefined {
    let best: ExecutorView | undefined;
    let bestCost = Infinity;
    const compare = (agent: ExecutorView, worth: number): void => {
      const cost = this.measureCost(task, agent, context) - worth;
      if (cost < bestCost) [best, bestCost] = [agent, cost];
    };
    for (const agent of agents) {
      const worth = this.measurePreference(task, agent);
      if (worth > 0 && isUsable(task, agent, context)) compare(agent, worth);
    }
    // Data are in few places: those must not be passed over.
    const mostCompared = task.need.preferredRack === '' ? MAX_COMPARED : agents.length;
    const start = Math.floor(context.nextRandom() * agents.length);
    let compared = 0;
    for (let step = 0; step < agents.length && compared < mostCompared; step += 1) {
      const agent = agents[(start + step) % agents.length];
      if (!agent || this.measurePreference(task, agent) > 0 || !isUsable(task, agent, context)) continue;
      compared += 1;
      compare(agent, 0);
    }
    return best;
  }

  /** How much costlier an agent may be than others, in parts of the task's time; any above 0 is always compared. */
  protected measurePreference(_task: DispatchTask, _agent: ExecutorView): number {
    return 0;
  }

  private measureCost(task: DispatchTask, agent: ExecutorView, context: PlacementContext): number {
    const { room } = agent;
    if (!room) return Infinity;
    const slowness = context.typicalSpeed / Math.max(room.speed, context.typicalSpeed * 0.1);
    const { preferredRack } = task.need;
    const far = preferredRack !== '' && !room.labels.includes(preferredRack) ? this.farFactor : 1;
    const load = 1 - agent.free.cpuMilli / Math.max(1, room.capacity.cpuMilli);
    const again = task.avoid.has(agent.id) ? 2 : 1;
    const { estimateMs, resources } = task.need;
    const returnCost =
      (agent.estimateRisk(resources, context.now) * context.returnMs * context.typicalSpeed) / estimateMs;
    return slowness * far * again + returnCost + LOAD_WEIGHT * load + JITTER * context.nextRandom();
  }
}

/** As `SpeedPlacement`, and tasks of one job that start together go to few agents. */
export class GroupedPlacement extends SpeedPlacement {
  protected override measurePreference({ job, avoid }: DispatchTask, { id }: ExecutorView): number {
    return job.lastAgent === id && !avoid.has(id) ? TOGETHER_WORTH : 0;
  }
}

/** As `GroupedPlacement`, and agents that prefer this dispatcher come first. */
export class PreferredPlacement extends GroupedPlacement {
  protected override measurePreference(task: DispatchTask, agent: ExecutorView): number {
    return super.measurePreference(task, agent) + (agent.isHome ? HOME_WORTH : 0);
  }
}

function isUsable(
  task: DispatchTask,
  agent: ExecutorView,
  { now, typicalSpeed, staleMs }: PlacementContext,
): boolean {
  const { room } = agent;
  if (!room || !agent.isReady(now, staleMs)) return false;
  if (now < agent.pausedUntil || room.service !== task.job.submission.route.service) return false;
  const { requiredLabel } = task.need;
  if (requiredLabel !== '' && !room.labels.includes(requiredLabel)) return false;
  if (room.trust === 'suspect' || room.speed < typicalSpeed * SLOW_SHARE) return false;
  if (room.trust === 'probation' && !isIdle(agent)) return false;
  return fitResources(task.need.resources, agent.free);
}

function isIdle({ room, unseenStarts }: ExecutorView): boolean {
  return room !== undefined && unseenStarts === 0 && room.free.cpuMilli >= room.capacity.cpuMilli;
}
