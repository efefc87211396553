import { assertInvariant } from '../../_lib/assertInvariant.js';
import type { Start } from '../../connection/messages.js';
import { MAX_SLOWNESS } from '../../request/placement.js';
import type { AgentChoice } from '../../request/placement.js';
import type { Job, Task } from '../../request/job.js';
import { changeTask, logDecision } from './_lib/jobChanges.js';
import type { AgentView, EntryState, ReadyItem } from './entryState.js';

/** Factor of the expected duration that is added to the wait before a start is resent. */
const RESEND_FACTOR = 4;

/**
 * Sends queued tasks to agents, lowest rank first, until no queued task or no available agent is left.
 *
 * @param state - the entry's state; its outbox receives the starts
 * @param now - ms since the epoch
 * @example
 * placeTasks(state, Date.now());
 */
export function placeTasks(state: EntryState, now: number): void {
  const candidates = listCandidates(state);
  const skipped: ReadyItem[] = [];
  while (candidates.length > 0) {
    const item = state.ready.peek();
    if (!item) break;
    const { job } = item;
    if (item.rankVersion !== job.rankVersion || job.queued.length === 0) {
      state.ready.pop();
      continue;
    }
    const chosen = chooseAgent(state, job, candidates);
    if (!chosen) {
      // The job's claim covers none of the candidates; another job may use them.
      skipped.push(item);
      state.ready.pop();
      continue;
    }
    placeNextTask(state, job, chosen, candidates, now);
  }
  for (const item of skipped) state.ready.push(item);
}

/**
 * Builds the message that starts a task.
 *
 * @param job - the task's job
 * @param task - the task
 * @param used - credits used on the link, including this start
 * @param again - true when the start is a resend to the same agent
 * @returns the start; the demand is filled in when the turn ends
 */
export function buildStart(job: Job, task: Task, used: number, again: boolean): Start {
  const { key, createdAt, epoch, deadline, rank } = job;
  const { index, attempt, kind, body } = task;
  const ids = { job: key, createdAt, epoch, index, attempt };
  return { type: 'start', ...ids, kind, body, deadline, rank, used, waiting: 0, headRank: 0, again };
}

interface Candidate extends AgentChoice {
  readonly view: AgentView;
  credits: number;
  outstanding: number;
}

function listCandidates(state: EntryState): Candidate[] {
  const { needsCredit } = state.policy.placement;
  const candidates: Candidate[] = [];
  for (const view of state.agents.values()) {
    if (!view.connected || view.leaving || view.slots === 0) continue;
    if (state.config.emptiedDomains.includes(view.failureDomain)) continue;
    // An agent ejected for slowness is probed with one task at a time.
    if (view.slowness > MAX_SLOWNESS && view.outstanding.size > 0) continue;
    const credits = view.granted - view.used;
    if (needsCredit && credits <= 0) continue;
    const { peer, slots, slowness } = view;
    candidates.push({ view, peer, slots, credits, outstanding: view.outstanding.size, slowness });
  }
  return candidates;
}

function chooseAgent(state: EntryState, job: Job, candidates: readonly Candidate[]): Candidate | undefined {
  const covered =
    job.setId === state.setId ? candidates : candidates.filter((one) => job.members.includes(one.peer));
  return state.policy.placement.chooseAgent(covered) as Candidate | undefined;
}

function placeNextTask(
  state: EntryState,
  job: Job,
  chosen: Candidate,
  candidates: Candidate[],
  now: number,
): void {
  const task = job.tasks[job.queued.pop() as number] as Task;
  const { view } = chosen;
  assertInvariant(!view.leaving, `task ${job.key}/${task.index} cannot be sent to a leaving agent`);
  assertInvariant(
    job.members.includes(view.peer),
    `agent ${view.peer} is not covered by the claim of job ${job.key}`,
  );
  state.waitingTasks -= 1;
  task.agent = view.peer;
  task.sentAt = now;
  task.askAt = now + state.limits.askAgainMs + task.expectedMs * RESEND_FACTOR;
  changeTask(state, task, 'send');
  view.used += 1;
  const message = buildStart(job, task, view.used, false);
  state.outbox.push({ type: 'send', to: view.peer, message });
  const detail = { task: task.index, agent: view.peer, rank: job.rank, credits: chosen.credits };
  logDecision(state, 'place', job.key, { ...detail, choices: candidates.length });
  chosen.credits -= 1;
  chosen.outstanding += 1;
  if (!state.policy.placement.needsCredit || chosen.credits > 0) return;
  candidates.splice(candidates.indexOf(chosen), 1);
}
