import { assertInvariant } from '../../../_lib/assertInvariant.js';
import { stepMachine } from '../../../_lib/compileMachine.js';
import { AGENT_TASK_TABLE } from '../../../request/agentTaskMachine.js';
import type { AgentTaskEvent } from '../../../request/agentTaskMachine.js';
import { findCredit } from './findCredit.js';
import type { AgentState, AgentTask } from '../agentState.js';

/**
 * Moves a task along its machine.
 *
 * @param task - the task, which is changed
 * @param event - what happened
 * @throws InvariantError when the machine has no such transition
 */
export function changeTask(task: AgentTask, event: AgentTaskEvent): void {
  task.state = stepMachine(AGENT_TASK_TABLE, task.state, event);
}

/**
 * Gives a task's credit back to the entry it was accepted from.
 *
 * @param state - the agent's state
 * @param task - a task that has just ended
 */
export function releaseCredit(state: AgentState, task: AgentTask): void {
  const credit = findCredit(state, task.from);
  credit.outstanding -= 1;
  assertInvariant(credit.outstanding >= 0, `entry ${task.from} has fewer than no tasks outstanding`);
  if (!credit.connected && credit.outstanding === 0) state.credits.delete(task.from);
}

/**
 * Ends a task that waits: it will not be started by this attempt.
 *
 * @param state - the agent's state
 * @param task - a waiting task
 * @param reason - for the log and the entry
 */
export function refuseWaiting(state: AgentState, task: AgentTask, reason: string): void {
  const place = state.waiting.indexOf(task);
  assertInvariant(place >= 0, `waiting task ${task.job.key}/${task.index} is not in the queue`);
  state.waiting.splice(place, 1);
  changeTask(task, 'refuse');
  task.reason = reason;
  task.body = '';
  releaseCredit(state, task);
  state.outbox.push({ type: 'decision', decision: 'refuse', task, reason });
}
