import { refuseWaitingTask } from './_lib/changeTask.js';
import { replyResult } from './_lib/replyResult.js';
import type { AgentState } from './agentState.js';

/**
 * Starts a planned stop: refuses waiting and new tasks, and notifies the entries. Running tasks are finished and
 * their answers delivered.
 *
 * @param state - the agent's state
 * @example
 * leaveAgent(state);
 */
export function leaveAgent(state: AgentState): void {
  if (state.leaving) return;
  state.leaving = true;
  for (const task of [...state.waiting]) {
    refuseWaitingTask(state, task, 'leaving');
    replyResult(state, task.job.owner, task);
  }
  for (const peer of state.credits.keys()) {
    state.outbox.push({ type: 'send', to: peer, message: { type: 'leaving', done: false } });
  }
}

/**
 * Checks whether a leaving agent has no tasks to run and no answers to deliver.
 *
 * @param state - the agent's state
 * @returns true when no task runs and every finished answer was acknowledged
 * @example
 * isAgentDrained(createAgentState('a@1', DEFAULT_AGENT_LIMITS)); // true
 */
export function isAgentDrained(state: AgentState): boolean {
  if (state.running > 0) return false;
  const acked = new Set(state.acked);
  for (const job of state.jobs.values()) {
    for (const task of job.tasks.values()) {
      if (task.hasAnswer && !acked.has(task)) return false;
    }
  }
  return true;
}
