import { assertInvariant } from '../../_lib/assertInvariant.js';
import { changeTask, releaseCredit } from './_lib/changeTask.js';
import { replyResult } from './_lib/replyResult.js';
import type { AgentState, AgentTask } from './agentState.js';
import { grantCredits } from './grantCredits.js';
import { runWaitingTasks } from './runWaitingTasks.js';

/** Outcome of a task's request to the upstream. */
export type UpstreamOutcome =
  | { readonly type: 'answered'; readonly status: number; readonly body: string }
  /** The request was not sent, because no connection could be opened. */
  | { readonly type: 'unsent'; readonly reason: string }
  /** The request failed and the task may have run. */
  | { readonly type: 'lost'; readonly reason: string };

/**
 * Records the outcome of a running task, sends the result to the job's owner and reuses the freed slot.
 *
 * @param state - the agent's state
 * @param task - a running task
 * @param outcome - outcome of its request
 * @param now - ms since the epoch
 * @example
 * endTask(state, task, { type: 'answered', status: 200, body: '{}' }, Date.now());
 */
export function endTask(state: AgentState, task: AgentTask, outcome: UpstreamOutcome, now: number): void {
  assertInvariant(
    task.state === 'running',
    `task ${task.job.key}/${task.index} is not running and cannot end`,
  );
  state.running -= 1;
  task.body = '';
  task.workMs = now - task.startedAt;
  recordOutcome(state, task, outcome);
  releaseCredit(state, task);
  runWaitingTasks(state, now);
  const owner = state.credits.get(task.job.owner);
  if (owner) owner.hasPendingResult = true;
  grantCredits(state);
  if (owner) owner.hasPendingResult = false;
  replyResult(state, task.job.owner, task);
}

function recordOutcome(state: AgentState, task: AgentTask, outcome: UpstreamOutcome): void {
  if (outcome.type === 'answered') {
    changeTask(task, 'finish');
    task.status = outcome.status;
    task.answer = outcome.body;
    task.hasAnswer = true;
    state.answerBytes += outcome.body.length;
    return;
  }
  changeTask(task, outcome.type === 'unsent' ? 'refuse' : 'lose');
  task.reason = outcome.reason;
}
