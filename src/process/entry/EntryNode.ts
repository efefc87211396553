/** One entry process without its input and output: messages, log records and time in, effects out. */
import { findProcessId } from '../../connection/findProcessId.js';
import type { Heartbeat, Hello, Message } from '../../connection/messages.js';
import type { JobRequest } from '../../request/job.js';
import type { ConfigState } from '../../version/configState.js';
import { createConfigState } from '../../version/configState.js';
import { followLog } from '../../version/followLog.js';
import type { LogEntry, LogRecord } from '../../version/logRecord.js';
import { findMajorityAt } from '../heartbeats.js';
import { createLeave, listMembers, selectDueRecords, proposeJoin } from '../membership.js';
import type { ProposalState } from '../membership.js';
import { proposeSnapshot } from '../proposeSnapshot.js';
import { hasLease } from './_lib/sendClaim.js';
import { applyEntryConfig, noteAnnounced } from './applyEntryConfig.js';
import { handleAttach, handleAttached } from './attachJob.js';
import { closePeerLink, loseAgent, notePeerLeaving, openPeerLink } from './entryLinks.js';
import { createEntryState } from './entryState.js';
import type { EntryEffect, EntryLimits, EntryPolicy, EntryState } from './entryState.js';
import { finishTurn } from './finishTurn.js';
import { handleClaimed } from './handleClaimed.js';
import { handleResult } from './handleResult.js';
import { placeTasks } from './placeTasks.js';
import { submitJob } from './submitJob.js';
import { handleSwept } from './sweepJob.js';
import { releaseHeld, tickEntry } from './tickEntry.js';

/** Share of the lease after which a heartbeat goes out even on a busy link. */
const FULL_BEAT_SHARE = 0.75;

/**
 * Share of the time before a member's removal after which a majority must have been heard: links of one cut break within
 * the first half of it, and heartbeats come within the second.
 */
const REMOVAL_PROOF_SHARE = 0.5;

/** Times of an entry's membership, ms. */
export interface EntryMembership {
  readonly address: string;
  readonly failureDomain: string;
  /** Between heartbeats on a link. */
  readonly heartbeatMs: number;
  /** How long a member is out of reach before its removal is proposed. */
  readonly removeAfterMs: number;
  /** Before a proposal without effect is repeated. */
  readonly proposeRepeatMs: number;
  /** Records after which a snapshot is due. */
  readonly snapshotEvery: number;
}

/** Times that the daemons start with. */
export const DEFAULT_ENTRY_MEMBERSHIP: Omit<EntryMembership, 'address' | 'failureDomain'> = {
  heartbeatMs: 1_000,
  removeAfterMs: 2_000,
  proposeRepeatMs: 1_000,
  snapshotEvery: 200,
};

/** An effect of an entry, or a record that it wants on the log. */
export type EntryNodeEffect = EntryEffect | { readonly type: 'append'; readonly record: LogRecord };

/** An entry process as a pure state machine over messages and time. */
export class EntryNode {
  readonly state: EntryState;
  private readonly proposals: ProposalState;
  private readonly missingSince = new Map<string, number>();
  private heartbeatAt = 0;
  private beats = 0;
  private appends: LogRecord[] = [];
  private wasMember = false;

  constructor(
    peer: string,
    limits: EntryLimits,
    private readonly membership: EntryMembership,
    options: { policy: EntryPolicy; nextRandom: () => number },
  ) {
    this.state = createEntryState(peer, limits, { ...options, config: createConfigState() });
    this.proposals = { proposedAt: new Map(), repeatMs: membership.proposeRepeatMs };
  }

  /** True while the log lists this incarnation, so that it may claim. */
  get isMember(): boolean {
    return this.state.config.entries.some((entry) => entry.peer === this.state.peer);
  }

  /** True once the log listed this incarnation and then removed it: the process must be replaced. */
  get isRemoved(): boolean {
    return this.wasMember && !this.isMember;
  }

  /** Returns the first message of a link. */
  buildHello(): Hello {
    const { peer, config, leaving } = this.state;
    const { address, failureDomain } = this.membership;
    const place = { address, failureDomain, slots: 0, queued: this.state.waitingTasks };
    return { type: 'hello', peer, role: 'entry', offset: config.offset, ...place, leaving };
  }

  /** Takes a link into use. */
  openLink(hello: Hello, now: number): void {
    openPeerLink(this.state, hello, now);
    this.compareOffset(hello.peer, hello.offset);
  }

  /** Notes that a link is down. */
  closeLink(peer: string, now: number): void {
    closePeerLink(this.state, peer, now);
  }

  /** Takes a submission; the answer comes as an effect. */
  submit(request: JobRequest, caller: string, now: number): void {
    submitJob(this.state, request, caller, now);
  }

  /** Handles one message of a linked peer. */
  receive(from: string, message: Message, now: number): void {
    const view = this.state.peers.get(from);
    if (view) view.heardAt = now;
    const { state } = this;
    switch (message.type) {
      case 'result':
        return handleResult(state, from, message, now);
      case 'credit':
        return this.noteCredit(from, message.granted);
      case 'claimed':
        return handleClaimed(state, from, message, now);
      case 'swept':
        return handleSwept(state, from, message, now);
      case 'attach':
        return handleAttach(state, from, message);
      case 'attached':
        return handleAttached(state, from, message, now);
      case 'announced':
        return noteAnnounced(state, from, message.offset);
      case 'leaving':
        return notePeerLeaving(state, from);
      case 'heartbeat':
        return this.handleHeartbeat(from, message);
      case 'stateRequest':
        return this.sendState(from, message.offset);
      case 'stateReply':
        return this.adoptState(message.state, now);
      default:
        return;
    }
  }

  /** Applies records read from the log; an empty read still proves that the log was reached. */
  followLog(entries: readonly LogEntry[], now: number): void {
    this.state.heardLogAt = now;
    this.useConfig(followLog(this.state.config, entries), now);
  }

  /** Does what time brings. */
  tick(now: number): void {
    tickEntry(this.state, now);
    this.noteMajority();
    if (now - this.heartbeatAt >= this.membership.heartbeatMs) {
      this.heartbeatAt = now;
      this.sendHeartbeats(now);
    }
    this.proposeMembers(now);
  }

  /** Gives an agent incarnation up that the platform says is gone. */
  loseAgent(peer: string, now: number): void {
    loseAgent(this.state, peer, 'agent-gone', now);
  }

  /** After a pause nothing that was heard before counts. */
  revalidate(): void {
    this.state.heardLogAt = Number.NEGATIVE_INFINITY;
    this.state.heardMajorityAt = Number.NEGATIVE_INFINITY;
    for (const peer of this.state.peers.values()) peer.heardAt = Number.NEGATIVE_INFINITY;
  }

  /** Marks the agents of a process that the platform says is leaving. */
  noteProcessLeaving(id: string): void {
    for (const peer of this.state.agents.keys()) {
      if (findProcessId(peer) === id) notePeerLeaving(this.state, peer);
    }
  }

  /** Lets the jobs of started events go. */
  releaseHeld(now: number): void {
    releaseHeld(this.state, now);
  }

  /** True when the entry may claim: it is a member and hears the log or a majority. */
  isReady(now: number): boolean {
    return this.isMember && hasLease(this.state, now) && this.state.agents.size > 0;
  }

  /** Proposes the end of this incarnation's own membership. */
  resign(): void {
    const member = this.state.config.entries.find((entry) => entry.peer === this.state.peer);
    if (member) this.appends.push(createLeave(member.peer, member.joinedOffset));
  }

  /** Refuses new jobs; those that are here are finished. */
  leave(): void {
    this.state.leaving = true;
  }

  /** True when a leaving entry has answered all its jobs. */
  get isDrained(): boolean {
    return this.state.active.size === 0 && this.state.acks.size === 0;
  }

  /** Ends a turn: places tasks and returns everything to carry out. */
  takeEffects(now: number): readonly EntryNodeEffect[] {
    placeTasks(this.state, now);
    const effects: EntryNodeEffect[] = [...finishTurn(this.state)];
    for (const record of this.appends) effects.push({ type: 'append', record });
    this.appends = [];
    return effects;
  }

  private useConfig(config: ConfigState, now: number): void {
    if (config === this.state.config) return;
    applyEntryConfig(this.state, config, now);
    this.wasMember ||= this.isMember;
  }

  private noteCredit(from: string, granted: number): void {
    const agent = this.state.agents.get(from);
    if (agent) agent.granted = Math.max(agent.granted, granted);
  }

  private handleHeartbeat(from: string, heartbeat: Heartbeat): void {
    this.noteCredit(from, heartbeat.granted);
    this.compareOffset(from, heartbeat.offset);
    if (heartbeat.reply) this.send(from, this.buildHeartbeat(false));
  }

  private compareOffset(peer: string, offset: number): void {
    if (offset <= this.state.config.offset) return;
    this.send(peer, { type: 'stateRequest', offset: this.state.config.offset });
  }

  private sendState(to: string, offset: number): void {
    const { config } = this.state;
    if (config.offset <= offset) return;
    this.send(to, { type: 'stateReply', offset: config.offset, state: JSON.stringify(config) });
  }

  private adoptState(text: string, now: number): void {
    const config = JSON.parse(text) as ConfigState;
    if (config.offset > this.state.config.offset) this.useConfig(config, now);
  }

  private noteMajority(): void {
    const registrars = this.state.config.registrars.map((member) => member.peer);
    const at = findMajorityAt(registrars, (peer) => this.state.peers.get(peer)?.heardAt ?? -Infinity);
    this.state.heardMajorityAt = at;
  }

  /** Traffic stands for heartbeats, but for every few, which renew the registrars' leases without the log. */
  private sendHeartbeats(now: number): void {
    this.beats += 1;
    const message = this.buildHeartbeat(true, now);
    const every = Math.floor((FULL_BEAT_SHARE * this.state.limits.leaseMs) / this.membership.heartbeatMs);
    const toAll = !message.heardLog || this.beats % Math.max(1, every) === 0;
    for (const { peer } of listMembers(this.state.config)) {
      const view = this.state.peers.get(peer);
      if (!view?.connected) continue;
      if (toAll || now - view.heardAt >= this.membership.heartbeatMs) this.send(peer, message);
    }
  }

  private buildHeartbeat(reply: boolean, now = this.heartbeatAt): Heartbeat {
    const { config, peers, limits, heardLogAt } = this.state;
    const heard = config.registrars.filter(
      ({ peer }) => (peers.get(peer)?.heardAt ?? -Infinity) + limits.leaseMs > now,
    );
    const heardLog = heardLogAt + limits.leaseMs > now;
    return {
      type: 'heartbeat',
      offset: config.offset,
      registrarsHeard: heard.length,
      heardLog,
      reply,
      granted: 0,
    };
  }

  private proposeMembers(now: number): void {
    if (this.isRemoved) return;
    const { peer, config, leaving } = this.state;
    const records: LogRecord[] = [];
    if (!leaving)
      records.push(...proposeJoin(config, { role: 'entry', peer, address: this.membership.address }));
    records.push(...this.listMissing(now).map((member) => createLeave(member.peer, member.joinedOffset)));
    const snapshot = proposeSnapshot(config, peer, this.membership.snapshotEvery);
    if (snapshot) records.push(snapshot);
    this.appends.push(...selectDueRecords(this.proposals, records, now));
  }

  /** Members out of reach for too long; none while this entry itself may be the one that is cut off. */
  private listMissing(now: number): { peer: string; joinedOffset: number }[] {
    const { config, peers } = this.state;
    return listMembers(config).filter((member) => {
      if (member.peer === this.state.peer || peers.get(member.peer)?.connected) {
        this.missingSince.delete(member.peer);
        return false;
      }
      const since = this.missingSince.get(member.peer) ?? now;
      this.missingSince.set(member.peer, since);
      return now - since >= this.membership.removeAfterMs && !this.isIsolatedSince(since);
    });
  }

  /**
   * Whether this entry may have been cut off from the majority together with a member that it has lost: what it heard
   * before may come from behind the same cut, whose links break one after another. With no registrar in reach at all,
   * they are taken to be gone.
   */
  private isIsolatedSince(since: number): boolean {
    const { config, peers, heardMajorityAt } = this.state;
    if (config.registrars.length <= 1) return false;
    if (!config.registrars.some(({ peer }) => peers.get(peer)?.connected)) return false;
    return heardMajorityAt - since < this.membership.removeAfterMs * REMOVAL_PROOF_SHARE;
  }

  private send(to: string, message: Message): void {
    this.state.outbox.push({ type: 'send', to, message });
  }
}
