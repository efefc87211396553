import type { Ack } from '../../connection/messages.js';
import type { AgentState, AgentTask } from './agentState.js';

/** Share of `maxAnswerBytes` above which acknowledged answers are dropped. */
const DROP_ABOVE_SHARE = 0.5;

/**
 * Records that the owner has received some answers. The agent keeps them for a takeover, but drops the oldest of
 * them when the held answers grow too large.
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
  const bound = state.limits.maxAnswerBytes * DROP_ABOVE_SHARE;
  while (state.answerBytes > bound && state.acked.length > 0) dropAnswer(state, state.acked.shift());
}

function dropAnswer(state: AgentState, task: AgentTask | undefined): void {
  if (!task?.hasAnswer) return;
  state.answerBytes -= task.answer.length;
  task.answer = '';
  task.hasAnswer = false;
}
