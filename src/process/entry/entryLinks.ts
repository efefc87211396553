/** What an entry does when a link comes up or goes down. */
import type { Hello } from '../../connection/messages.js';
import { findProcessId } from '../../connection/findProcessId.js';
import { loseTask } from './handleResult.js';
import { buildStart } from './placeTasks.js';
import { startClaim } from './_lib/sendClaim.js';
import type { AgentView, EntryState, PeerView } from './entryState.js';

/**
 * Takes a link into use after the peer's hello. An agent is asked again for every task that it was sent; an
 * earlier incarnation of the same process is given up at once.
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
  const view: PeerView = { peer, connected: true, downSince: 0, heardAt: now };
  state.peers.set(peer, view);
  state.sentSets.delete(peer);
  state.announcedAt.delete(peer);
  if (hello.role === 'agent') openAgentLink(state, hello, now);
}

/**
 * Notes that a link is down. The peer keeps its tasks until it is lost for good.
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
 * Gives an agent incarnation up: whatever it was sent and did not answer may have run.
 *
 * @param state - the entry's state
 * @param peer - `id@incarnation`
 * @param reason - why it is lost
 * @param now - ms since the epoch
 */
export function loseAgent(state: EntryState, peer: string, reason: string, now: number): void {
  const agent = state.agents.get(peer);
  if (!agent) return;
  agent.connected = false;
  for (const task of [...agent.outstanding]) {
    const job = state.jobs.get(task.job);
    if (job && task.state === 'sent') loseTask(state, job, task, reason, now);
  }
  state.agents.delete(peer);
  state.acks.delete(peer);
}

/**
 * Stops sending to a peer that leaves.
 *
 * @param state - the entry's state
 * @param peer - `id@incarnation`
 */
export function notePeerLeaving(state: EntryState, peer: string): void {
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
    toldWaiting: 0,
    toldHeadRank: 0,
  };
  if (known) {
    Object.assign(known, fresh, { leaving: known.leaving || leaving });
    askAgain(state, known, now);
    return;
  }
  state.agents.set(peer, { peer, failureDomain, slots, ...fresh, outstanding: new Set(), slowness: 1 });
  renewAgentSet(state, now);
}

function askAgain(state: EntryState, agent: AgentView, now: number): void {
  for (const task of agent.outstanding) {
    const job = state.jobs.get(task.job);
    if (!job) continue;
    task.askAt = now + state.limits.askAgainMs;
    state.outbox.push({ type: 'send', to: agent.peer, message: buildStart(job, task, agent.used, true) });
  }
}

/** A new agent makes a new set; running jobs with waiting tasks are widened to it. */
function renewAgentSet(state: EntryState, now: number): void {
  state.setId += 1;
  state.sets.set(state.setId, [...state.agents.keys()]);
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
    loseAgent(state, other, 'agent-replaced', now);
  }
}
