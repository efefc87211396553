import type { AgentState } from './agentState.js';

/** How long a job is kept beyond the horizon, to allow for clock skew, ms. */
export const HORIZON_MARGIN_MS = 10_000;

/**
 * Removes jobs past the horizon that have no waiting or running tasks. A later start for one of them is answered
 * with `unknown` and not run.
 *
 * @param state - the agent's state
 * @param now - ms since the epoch
 * @returns number of removed jobs
 * @example
 * expireAgentJobs(state, Date.now());
 */
export function expireAgentJobs(state: AgentState, now: number): number {
  let expired = 0;
  for (const job of state.jobs.values()) {
    if (job.createdAt + state.limits.horizonMs + HORIZON_MARGIN_MS > now) continue;
    const tasks = [...job.tasks.values()];
    if (tasks.some((task) => task.state === 'running' || task.state === 'waiting')) continue;
    for (const task of tasks) {
      if (task.hasAnswer) state.answerBytes -= task.answer.length;
      task.hasAnswer = false;
    }
    state.jobs.delete(job.key);
    expired += 1;
  }
  while (state.acked[0] && !state.acked[0].hasAnswer) state.acked.shift();
  return expired;
}
