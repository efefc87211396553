/** Which agent a task goes to. */

/** What a placement knows of an agent. */
export interface AgentChoice {
  readonly peer: string;
  readonly slots: number;
  /** Credits not used yet. */
  readonly credits: number;
  /** Tasks sent by this entry that have not ended. */
  readonly outstanding: number;
  /** Measured duration over the expected one; 1 is as expected. */
  readonly slowness: number;
}

/** Chooses the agent for a task. */
export abstract class Placement {
  /** Whether a task may be sent without a credit. */
  abstract readonly needsCredit: boolean;

  /**
   * Chooses among agents that may take the task.
   *
   * @param agents - the candidates; each has a credit where the placement needs one
   * @returns one of them, or undefined to let the task wait
   */
  abstract chooseAgent(agents: readonly AgentChoice[]): AgentChoice | undefined;
}

/** Any agent, without regard to credits: the baseline. */
export class RandomPlacement extends Placement {
  override readonly needsCredit = false;

  constructor(private readonly nextRandom: () => number) {
    super();
  }

  override chooseAgent(agents: readonly AgentChoice[]): AgentChoice | undefined {
    return agents[Math.floor(this.nextRandom() * agents.length)];
  }
}

/** Slowness above which an agent is used only when nothing else has a credit. */
export const MAX_SLOWNESS = 3;

/** The agent with the earliest estimated start among those with a credit. */
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

/** Relative delay: load for each slot, weighed by slowness, and far behind the others when ejected. */
function estimateDelay(agent: AgentChoice): number {
  const load = (agent.outstanding + 1) / agent.slots;
  const ejected = agent.slowness > MAX_SLOWNESS ? 1_000 : 0;
  return load * agent.slowness - agent.credits / (100 * agent.slots) + ejected;
}
