import type { Result, Start } from '../../../connection/messages.js';
import type { AgentState, AgentTask } from '../agentState.js';

/**
 * Sends a task's state to an entry, together with the entry's granted credits.
 *
 * @param state - the agent's state
 * @param to - the entry
 * @param task - the task
 */
export function replyResult(state: AgentState, to: string, task: AgentTask): void {
  const lost = task.state === 'finished' && !task.hasAnswer;
  sendResult(state, to, {
    type: 'result',
    job: task.job.key,
    epoch: task.epoch,
    index: task.index,
    attempt: task.attempt,
    state: lost ? 'unknown' : task.state,
    status: task.status,
    body: task.answer,
    reason: lost ? 'answer-dropped' : task.reason,
    granted: 0,
    workMs: task.workMs,
  });
}

/**
 * Rejects a start without recording it.
 *
 * @param state - the agent's state
 * @param to - the entry
 * @param start - the rejected start
 * @param outcome - `refused` for a fenced start; `unknown` when the task may have run before
 * @param reason - reason that the entry receives
 */
export function replyWithoutRecord(
  state: AgentState,
  to: string,
  start: Start,
  outcome: 'refused' | 'unknown',
  reason: string,
): void {
  const { job, epoch, index, attempt } = start;
  const answer = { status: 0, body: '', granted: 0, workMs: 0 };
  sendResult(state, to, { type: 'result', job, epoch, index, attempt, state: outcome, reason, ...answer });
}

function sendResult(state: AgentState, to: string, result: Result): void {
  const credit = state.credits.get(to);
  if (credit) credit.reportedGranted = credit.granted;
  state.outbox.push({ type: 'send', to, message: { ...result, granted: credit?.granted ?? 0 } });
}
