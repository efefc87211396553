import type { Ack } from '../../connection/messages.js';
import type { AgentState, AgentTask } from './agentState.js';

/** Share of the answer bound above which acknowledged answers are dropped. */
const DROP_ABOVE = 0.5;

/**
 * Notes that the owner holds some answers. They are kept for a takeover while there is room and dropped,
 * oldest first, when there is not.
 *
 * @param state - the agent's state
 * @param ack - the message
 * @example
 * handleAck(state, { type: 'ack', jobs: [{ job: 'job-1', indexes: [0, 1] }] });
 */
export function handleAck(state: AgentState, ack: Ack): void {
  for (const { job, indexes } of ack.jobs) {
    for (const index of indexes) {
      const task = state.jobs.get(job)?.tasks.get(index);
      if (task?.hasAnswer) state.acked.push(task);
    }
  }
  const bound = state.limits.maxAnswerBytes * DROP_ABOVE;
  while (state.answerBytes > bound && state.acked.length > 0) dropAnswer(state, state.acked.shift());
}

function dropAnswer(state: AgentState, task: AgentTask | undefined): void {
  if (!task?.hasAnswer) return;
  state.answerBytes -= task.answer.length;
  task.answer = '';
  task.hasAnswer = false;
}
