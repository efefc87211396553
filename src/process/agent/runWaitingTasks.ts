import { assertInvariant } from '../../_lib/assertInvariant.js';
import { changeTask, refuseWaitingTask } from './_lib/changeTask.js';
import { replyResult } from './_lib/replyResult.js';
import type { AgentState } from './agentState.js';

/**
 * Starts waiting tasks, lowest rank first, while slots are free. Tasks past their deadline are refused.
 *
 * @param state - the agent's state; its outbox receives a `run` effect for each start
 * @param now - ms since the epoch
 * @example
 * runWaitingTasks(state, Date.now());
 */
export function runWaitingTasks(state: AgentState, now: number): void {
  while (state.running < state.limits.slots) {
    const task = state.waiting[0];
    if (!task) return;
    if (task.deadline < now) {
      refuseWaitingTask(state, task, 'late');
      replyResult(state, task.job.owner, task);
      continue;
    }
    assertInvariant(
      !state.leaving,
      `task ${task.job.key}/${task.index} cannot start while the agent is leaving`,
    );
    state.waiting.shift();
    changeTask(task, 'run');
    task.startedAt = now;
    state.running += 1;
    assertInvariant(state.running <= state.limits.slots, 'the number of running tasks exceeds the slots');
    state.outbox.push({ type: 'decision', decision: 'start', task, reason: 'slot-free' });
    state.outbox.push({ type: 'run', task });
  }
}
