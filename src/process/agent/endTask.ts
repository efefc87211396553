import { assertInvariant } from '../../_lib/assertInvariant.js';
import { changeTask, releaseCredit } from './_lib/changeTask.js';
import { replyResult } from './_lib/replyResult.js';
import type { AgentState, AgentTask } from './agentState.js';
import { grantCredits } from './grantCredits.js';
import { runWaiting } from './runWaiting.js';

/** How the upstream's handling of a task ended. */
export type UpstreamOutcome =
  | { readonly type: 'answered'; readonly status: number; readonly body: string }
  /** The request never left: no connection was made. */
  | { readonly type: 'unsent'; readonly reason: string }
  /** The connection broke after the request was sent. */
  | { readonly type: 'lost'; readonly reason: string };

/**
 * Records how a running task ended, tells the job's owner, and uses the freed slot.
 *
 * @param state - the agent's state
 * @param task - a running task
 * @param outcome - what the upstream did
 * @param now - ms since the epoch
 * @example
 * endTask(state, task, { type: 'answered', status: 200, body: '{}' }, Date.now());
 */
export function endTask(state: AgentState, task: AgentTask, outcome: UpstreamOutcome, now: number): void {
  assertInvariant(task.state === 'running', `task ${task.job.key}/${task.index} ended twice`);
  state.running -= 1;
  task.body = '';
  task.workMs = now - task.startedAt;
  recordOutcome(state, task, outcome);
  releaseCredit(state, task);
  runWaiting(state, now);
  const owner = state.credits.get(task.job.owner);
  if (owner) owner.answering = true;
  grantCredits(state);
  if (owner) owner.answering = false;
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
