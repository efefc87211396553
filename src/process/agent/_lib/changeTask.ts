import { assertInvariant } from '../../../_lib/assertInvariant.js';
import { stepMachine } from '../../../_lib/compileMachine.js';
import { AGENT_TASK_TABLE } from '../../../request/agentTaskMachine.js';
import type { AgentTaskEvent } from '../../../request/agentTaskMachine.js';
import { findCredit } from './findCredit.js';
import type { AgentState, AgentTask } from '../agentState.js';

/**
 * Applies an event to a task's state machine.
 *
 * @param task - the task, which is changed
 * @param event - the event
 * @throws InvariantError when the task's state does not allow the event
 */
export function changeTask(task: AgentTask, event: AgentTaskEvent): void {
  task.state = stepMachine(AGENT_TASK_TABLE, task.state, event);
}

/**
 * Releases the credit that a task used.
 *
 * @param state - the agent's state
 * @param task - a task that has just ended
 */
export function releaseCredit(state: AgentState, task: AgentTask): void {
  const credit = findCredit(state, task.from);
  credit.outstanding -= 1;
  assertInvariant(credit.outstanding >= 0, `entry ${task.from} has a negative number of outstanding tasks`);
  if (!credit.connected && credit.outstanding === 0) state.credits.delete(task.from);
}

/**
 * Refuses a waiting task: removes it from the queue and releases its credit.
 *
 * @param state - the agent's state
 * @param task - a waiting task
 * @param reason - reason for the log and the entry
 */
export function refuseWaitingTask(state: AgentState, task: AgentTask, reason: string): void {
  const index = state.waiting.indexOf(task);
  assertInvariant(index >= 0, `waiting task ${task.job.key}/${task.index} is not in the queue`);
  state.waiting.splice(index, 1);
  changeTask(task, 'refuse');
  task.reason = reason;
  task.body = '';
  releaseCredit(state, task);
  state.outbox.push({ type: 'decision', decision: 'refuse', task, reason });
}
