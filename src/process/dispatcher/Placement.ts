/** Chooses the agent for a task. */
import { fitResources } from '../../request/dispatch/resources.js';
import type { AgentView } from './AgentView.js';
import type { DispatchTask } from './dispatchJob.js';

/** Share of the typical speed below which an upstream is left alone. */
export const SLOW_SHARE = 0.4;
/** How much longer a task takes away from its data, where nothing else is known. */
const FAR_FACTOR = 1.5;
/** Weight of an agent's load against its speed. */
const LOAD_WEIGHT = 0.25;
/** Spread of choices between entries that see the same room. */
const JITTER = 0.1;

/** What a placement may know besides the agents. */
export interface PlacementContext {
  readonly now: number;
  /** Typical speed of the upstreams. */
  readonly typicalSpeed: number;
  /** Age of a ping from which on an agent is not used, ms. */
  readonly staleMs: number;
  readonly nextRandom: () => number;
}

/** A way to choose an agent. */
export abstract class Placement {
  abstract choose(
    task: DispatchTask,
    agents: Iterable<AgentView>,
    context: PlacementContext,
  ): AgentView | undefined;
}

/** The agent where the task will probably end first: fast, near its data, with room. */
export class SpeedPlacement extends Placement {
  override choose(
    task: DispatchTask,
    agents: Iterable<AgentView>,
    context: PlacementContext,
  ): AgentView | undefined {
    let best: AgentView | undefined;
    let bestCost = Infinity;
    for (const agent of agents) {
      if (!isUsable(task, agent, context)) continue;
      const cost = measureCost(task, agent, context);
      if (cost < bestCost) [best, bestCost] = [agent, cost];
    }
    return best;
  }
}

function isUsable(
  task: DispatchTask,
  agent: AgentView,
  { now, typicalSpeed, staleMs }: PlacementContext,
): boolean {
  const { room } = agent;
  if (!agent.linked || !room || room.state !== 'ready' || now - agent.heardAt > staleMs) return false;
  if (now < agent.pausedUntil || room.service !== task.job.submission.route.service) return false;
  const { requiredLabel } = task.need;
  if (requiredLabel !== '' && !room.labels.includes(requiredLabel)) return false;
  if (room.trust === 'suspect' || room.speed < typicalSpeed * SLOW_SHARE) return false;
  if (room.trust === 'probation' && !isIdle(agent)) return false;
  return fitResources(task.need.resources, agent.free);
}

function isIdle({ room, unseenStarts }: AgentView): boolean {
  return room !== undefined && unseenStarts === 0 && room.free.cpuMilli >= room.capacity.cpuMilli;
}

function measureCost(task: DispatchTask, agent: AgentView, context: PlacementContext): number {
  const { room } = agent;
  if (!room) return Infinity;
  const slowness = context.typicalSpeed / Math.max(room.speed, context.typicalSpeed * 0.1);
  const { preferredRack } = task.need;
  const far = preferredRack !== '' && !room.labels.includes(preferredRack) ? FAR_FACTOR : 1;
  const load = 1 - agent.free.cpuMilli / Math.max(1, room.capacity.cpuMilli);
  const again = task.avoid.has(agent.id) ? 2 : 1;
  return slowness * far * again + LOAD_WEIGHT * load + JITTER * context.nextRandom();
}
