/** Selection of the agent for a task. */

/** Agent that may be selected. */
export interface AgentChoice {
  readonly peer: string;
  readonly slots: number;
  /** Unused credits. */
  readonly credits: number;
  /** Tasks sent by this entry that have not ended. */
  readonly outstanding: number;
  /** Ratio of measured to expected duration. */
  readonly slowness: number;
}

/** Selects the agent for a task. */
export abstract class Placement {
  /** Whether a task may be sent without a credit. */
  abstract readonly needsCredit: boolean;

  /**
   * Selects one of the agents that may run the task.
   *
   * @param agents - the candidates; each has a credit if the placement needs one
   * @returns the selected agent, or undefined if the task must wait
   */
  abstract chooseAgent(agents: readonly AgentChoice[]): AgentChoice | undefined;
}

/** Selects a random agent, regardless of credits; a baseline. */
export class RandomPlacement extends Placement {
  override readonly needsCredit = false;

  constructor(private readonly nextRandom: () => number) {
    super();
  }

  override chooseAgent(agents: readonly AgentChoice[]): AgentChoice | undefined {
    return agents[Math.floor(this.nextRandom() * agents.length)];
  }
}

/** Slowness above which an agent is used only if all others with a credit exceed it as well. */
export const MAX_SLOWNESS = 3;

/** Selects the agent with the least estimated delay among those with a credit. */
export class CreditPlacement extends Placement {
  override readonly needsCredit = true;

  override chooseAgent(agents: readonly AgentChoice[]): AgentChoice | undefined {
    let best: AgentChoice | undefined;
    let bestScore = Number.POSITIVE_INFINITY;
    for (const agent of agents) {
      const score = estimateDelay(agent);
      if (score >= bestScore) continue;
      best = agent;
      bestScore = score;
    }
    return best;
  }
}

/**
 * Estimates a relative delay: load per slot, weighted by slowness, with a penalty for agents that are too
 * slow and a small bonus for unused credits.
 */
function estimateDelay(agent: AgentChoice): number {
  const load = (agent.outstanding + 1) / agent.slots;
  const penalty = agent.slowness > MAX_SLOWNESS ? 1_000 : 0;
  return load * agent.slowness - agent.credits / (100 * agent.slots) + penalty;
}
