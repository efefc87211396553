/** Handlers for links that open and close. */
import type { Hello } from '../../connection/messages.js';
import { findProcessId } from '../../connection/findProcessId.js';
import { failLostTask } from './handleResult.js';
import { buildStart } from './placeTasks.js';
import { startClaim } from './_lib/sendClaim.js';
import type { AgentView, EntryState, PeerView } from './entryState.js';

/**
 * Handles a new link after the peer's hello. Resends the start of every outstanding task to an agent, and
 * removes earlier incarnations of the same process.
 *
 * @param state - the entry's state
 * @param hello - the peer's first message
 * @param now - ms since the epoch
 * @example
 * openPeerLink(state, hello, Date.now());
 */
export function openPeerLink(state: EntryState, hello: Hello, now: number): void {
  const { peer } = hello;
  dropEarlierIncarnations(state, peer, now);
  const view: PeerView = { peer, connected: true, downSince: 0, lastReceivedAt: now };
  state.peers.set(peer, view);
  state.sentSetIds.delete(peer);
  state.announcedAt.delete(peer);
  if (hello.role === 'agent') openAgentLink(state, hello, now);
}

/**
 * Handles the loss of a link. The peer's outstanding tasks are kept until the peer counts as lost.
 *
 * @param state - the entry's state
 * @param peer - `id@incarnation`
 * @param now - ms since the epoch
 */
export function closePeerLink(state: EntryState, peer: string, now: number): void {
  const view = state.peers.get(peer);
  if (view?.connected) {
    view.connected = false;
    view.downSince = now;
  }
  const agent = state.agents.get(peer);
  if (!agent?.connected) return;
  agent.connected = false;
  agent.downSince = now;
}

/**
 * Removes an agent incarnation and fails the jobs of its outstanding tasks, since these may have run.
 *
 * @param state - the entry's state
 * @param peer - `id@incarnation`
 * @param reason - why it is lost
 * @param now - ms since the epoch
 */
export function removeLostAgent(state: EntryState, peer: string, reason: string, now: number): void {
  const agent = state.agents.get(peer);
  if (!agent) return;
  agent.connected = false;
  for (const task of [...agent.outstanding]) {
    const job = state.jobs.get(task.job);
    if (job && task.state === 'sent') failLostTask(state, job, task, reason, now);
  }
  state.agents.delete(peer);
  state.acks.delete(peer);
}

/**
 * Marks an agent as leaving, so that no more tasks are sent to it.
 *
 * @param state - the entry's state
 * @param peer - `id@incarnation`
 */
export function markPeerLeaving(state: EntryState, peer: string): void {
  const agent = state.agents.get(peer);
  if (agent) agent.leaving = true;
}

function openAgentLink(state: EntryState, hello: Hello, now: number): void {
  const { peer, failureDomain, slots, leaving } = hello;
  const known = state.agents.get(peer);
  const fresh = {
    connected: true,
    downSince: 0,
    leaving,
    granted: 0,
    used: 0,
    reportedWaiting: 0,
    reportedHeadRank: 0,
  };
  if (known) {
    Object.assign(known, fresh, { leaving: known.leaving || leaving });
    resendStarts(state, known, now);
    return;
  }
  state.agents.set(peer, { peer, failureDomain, slots, ...fresh, outstanding: new Set(), slowness: 1 });
  createAgentSet(state, now);
}

function resendStarts(state: EntryState, agent: AgentView, now: number): void {
  for (const task of agent.outstanding) {
    const job = state.jobs.get(task.job);
    if (!job) continue;
    task.askAt = now + state.limits.askAgainMs;
    state.outbox.push({ type: 'send', to: agent.peer, message: buildStart(job, task, agent.used, true) });
  }
}

/** Creates the agent set for a new agent, and widens the claims of held jobs and jobs with waiting tasks to it. */
function createAgentSet(state: EntryState, now: number): void {
  state.setId += 1;
  state.agentSets.set(state.setId, [...state.agents.keys()]);
  for (const job of state.active) {
    const open = job.state === 'running' || job.state === 'held';
    if (!open || job.claimId !== 0) continue;
    if (job.state === 'running' && job.queued.length === 0) continue;
    startClaim(state, job, 'widen', now);
  }
}

function dropEarlierIncarnations(state: EntryState, peer: string, now: number): void {
  const id = findProcessId(peer);
  for (const other of [...state.peers.keys()]) {
    if (other === peer || findProcessId(other) !== id) continue;
    state.peers.delete(other);
    removeLostAgent(state, other, 'agent-replaced', now);
  }
}
