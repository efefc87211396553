/** Logic of an entry process without I/O: takes messages, log records and the time, and returns effects. */
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
import { applyEntryConfig, recordAnnounced } from './applyEntryConfig.js';
import { handleAttach, handleAttached } from './attachJob.js';
import { closePeerLink, removeLostAgent, markPeerLeaving, openPeerLink } from './entryLinks.js';
import { createEntryState } from './entryState.js';
import type { EntryEffect, EntryLimits, EntryPolicy, EntryState } from './entryState.js';
import { finishTurn } from './finishTurn.js';
import { handleClaimed } from './handleClaimed.js';
import { handleResult } from './handleResult.js';
import { placeTasks } from './placeTasks.js';
import { submitJob } from './submitJob.js';
import { handleSwept } from './sweepJob.js';
import { releaseHeldJobs, tickEntry } from './tickEntry.js';

/** Share of the lease after which a heartbeat is sent even on a busy link. */
const FULL_HEARTBEAT_SHARE = 0.75;

/**
 * Share of `removeAfterMs`, counted from the loss of a member, after which a message from a majority of the
 * registrars shows that this entry is not isolated. The links cut by one network partition may fail up to half
 * of `removeAfterMs` apart; heartbeats arrive within the other half.
 */
const REMOVAL_CONTACT_SHARE = 0.5;

/** Membership settings of an entry. Times in ms. */
export interface EntryMembership {
  readonly address: string;
  readonly failureDomain: string;
  /** Interval between heartbeats on a link. */
  readonly heartbeatMs: number;
  /** How long a member is unreachable before its removal is proposed. */
  readonly removeAfterMs: number;
  /** Wait before a proposal without effect is repeated. */
  readonly proposeRepeatMs: number;
  /** Number of log records between snapshots. */
  readonly snapshotEvery: number;
}

/** Default membership settings. */
export const DEFAULT_ENTRY_MEMBERSHIP: Omit<EntryMembership, 'address' | 'failureDomain'> = {
  heartbeatMs: 1_000,
  removeAfterMs: 2_000,
  proposeRepeatMs: 1_000,
  snapshotEvery: 200,
};

/** An effect of an entry, or a record to append to the log. */
export type EntryNodeEffect = EntryEffect | { readonly type: 'append'; readonly record: LogRecord };

/** An entry process as a state machine without I/O. */
export class EntryNode {
  readonly state: EntryState;
  private readonly proposals: ProposalState;
  private readonly unreachableSince = new Map<string, number>();
  private heartbeatAt = 0;
  private heartbeatRounds = 0;
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

  /** True while the log lists this incarnation as a member; only members may claim. */
  get isMember(): boolean {
    return this.state.config.entries.some((entry) => entry.peer === this.state.peer);
  }

  /** True once the log has removed this incarnation; the process must be restarted. */
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

  /** Handles a new link. */
  openLink(hello: Hello, now: number): void {
    openPeerLink(this.state, hello, now);
    this.requestNewerState(hello.peer, hello.offset);
  }

  /** Handles the loss of a link. */
  closeLink(peer: string, now: number): void {
    closePeerLink(this.state, peer, now);
  }

  /** Accepts a submission; the answer is returned later as an effect. */
  submit(request: JobRequest, caller: string, now: number): void {
    submitJob(this.state, request, caller, now);
  }

  /** Handles one message from a linked peer. */
  receive(from: string, message: Message, now: number): void {
    const view = this.state.peers.get(from);
    if (view) view.lastReceivedAt = now;
    const { state } = this;
    switch (message.type) {
      case 'result':
        return handleResult(state, from, message, now);
      case 'credit':
        return this.recordCredit(from, message.granted);
      case 'claimed':
        return handleClaimed(state, from, message, now);
      case 'swept':
        return handleSwept(state, from, message, now);
      case 'attach':
        return handleAttach(state, from, message);
      case 'attached':
        return handleAttached(state, from, message, now);
      case 'announced':
        return recordAnnounced(state, from, message.offset);
      case 'leaving':
        return markPeerLeaving(state, from);
      case 'heartbeat':
        return this.handleHeartbeat(from, message);
      case 'stateRequest':
        return this.sendState(from, message.offset);
      case 'stateReply':
        return this.applyState(message.state, now);
      default:
        return;
    }
  }

  /** Applies records read from the log. An empty read renews the lease too. */
  followLog(entries: readonly LogEntry[], now: number): void {
    this.state.logReadAt = now;
    this.applyConfig(followLog(this.state.config, entries), now);
  }

  /** Runs the periodic work: timeouts, heartbeats and membership proposals. */
  tick(now: number): void {
    tickEntry(this.state, now);
    this.updateMajorityContact();
    if (now - this.heartbeatAt >= this.membership.heartbeatMs) {
      this.heartbeatAt = now;
      this.sendHeartbeats(now);
    }
    this.proposeMemberChanges(now);
  }

  /** Removes an agent incarnation that the platform reports as gone. */
  removeAgent(peer: string, now: number): void {
    removeLostAgent(this.state, peer, 'agent-gone', now);
  }

  /** Invalidates the lease and all contact times after the process was paused. */
  revalidate(): void {
    this.state.logReadAt = Number.NEGATIVE_INFINITY;
    this.state.majorityReceivedAt = Number.NEGATIVE_INFINITY;
    for (const peer of this.state.peers.values()) peer.lastReceivedAt = Number.NEGATIVE_INFINITY;
  }

  /** Marks the agents of a process that the platform reports as leaving. */
  markProcessLeaving(id: string): void {
    for (const peer of this.state.agents.keys()) {
      if (findProcessId(peer) === id) markPeerLeaving(this.state, peer);
    }
  }

  /** Runs the held jobs whose events have started. */
  releaseHeldJobs(now: number): void {
    releaseHeldJobs(this.state, now);
  }

  /** True when the entry can serve jobs: it is a member and has a lease and an agent that is not lost. */
  isReady(now: number): boolean {
    return this.isMember && hasLease(this.state, now) && this.state.agents.size > 0;
  }

  /** Proposes to end this incarnation's membership. */
  resign(): void {
    const member = this.state.config.entries.find((entry) => entry.peer === this.state.peer);
    if (member) this.appends.push(createLeave(member.peer, member.joinedOffset));
  }

  /** Stops accepting new jobs; active jobs are finished. */
  leave(): void {
    this.state.leaving = true;
  }

  /** True when no job is active and no acknowledgement is unsent. */
  get isDrained(): boolean {
    return this.state.active.size === 0 && this.state.acks.size === 0;
  }

  /** Ends a turn: places tasks and returns the effects to apply. */
  takeEffects(now: number): readonly EntryNodeEffect[] {
    placeTasks(this.state, now);
    const effects: EntryNodeEffect[] = [...finishTurn(this.state)];
    for (const record of this.appends) effects.push({ type: 'append', record });
    this.appends = [];
    return effects;
  }

  private applyConfig(config: ConfigState, now: number): void {
    if (config === this.state.config) return;
    applyEntryConfig(this.state, config, now);
    this.wasMember ||= this.isMember;
  }

  private recordCredit(from: string, granted: number): void {
    const agent = this.state.agents.get(from);
    if (agent) agent.granted = Math.max(agent.granted, granted);
  }

  private handleHeartbeat(from: string, heartbeat: Heartbeat): void {
    this.recordCredit(from, heartbeat.granted);
    this.requestNewerState(from, heartbeat.offset);
    if (heartbeat.reply) this.send(from, this.buildHeartbeat(false));
  }

  private requestNewerState(peer: string, offset: number): void {
    if (offset <= this.state.config.offset) return;
    this.send(peer, { type: 'stateRequest', offset: this.state.config.offset });
  }

  private sendState(to: string, offset: number): void {
    const { config } = this.state;
    if (config.offset <= offset) return;
    this.send(to, { type: 'stateReply', offset: config.offset, state: JSON.stringify(config) });
  }

  private applyState(text: string, now: number): void {
    const config = JSON.parse(text) as ConfigState;
    if (config.offset > this.state.config.offset) this.applyConfig(config, now);
  }

  private updateMajorityContact(): void {
    const registrars = this.state.config.registrars.map((member) => member.peer);
    const at = findMajorityAt(registrars, (peer) => this.state.peers.get(peer)?.lastReceivedAt ?? -Infinity);
    this.state.majorityReceivedAt = at;
  }

  /**
   * Sends heartbeats on idle links. Some rounds, and all rounds while this entry cannot read the log, include the
   * busy links too, because a heartbeat renews a registrar's lease while the registrar cannot read the log.
   */
  private sendHeartbeats(now: number): void {
    this.heartbeatRounds += 1;
    const message = this.buildHeartbeat(true, now);
    const roundsPerLease = Math.floor(
      (FULL_HEARTBEAT_SHARE * this.state.limits.leaseMs) / this.membership.heartbeatMs,
    );
    const includeBusy = !message.heardLog || this.heartbeatRounds % Math.max(1, roundsPerLease) === 0;
    for (const { peer } of listMembers(this.state.config)) {
      const view = this.state.peers.get(peer);
      if (!view?.connected) continue;
      if (includeBusy || now - view.lastReceivedAt >= this.membership.heartbeatMs) this.send(peer, message);
    }
  }

  private buildHeartbeat(reply: boolean, now = this.heartbeatAt): Heartbeat {
    const { config, peers, limits, logReadAt } = this.state;
    const reachable = config.registrars.filter(
      ({ peer }) => (peers.get(peer)?.lastReceivedAt ?? -Infinity) + limits.leaseMs > now,
    );
    const heardLog = logReadAt + limits.leaseMs > now;
    return {
      type: 'heartbeat',
      offset: config.offset,
      registrarsHeard: reachable.length,
      heardLog,
      reply,
      granted: 0,
    };
  }

  private proposeMemberChanges(now: number): void {
    if (this.isRemoved) return;
    const { peer, config, leaving } = this.state;
    const records: LogRecord[] = [];
    if (!leaving)
      records.push(...proposeJoin(config, { role: 'entry', peer, address: this.membership.address }));
    records.push(...this.listUnreachable(now).map((member) => createLeave(member.peer, member.joinedOffset)));
    const snapshot = proposeSnapshot(config, peer, this.membership.snapshotEvery);
    if (snapshot) records.push(snapshot);
    this.appends.push(...selectDueRecords(this.proposals, records, now));
  }

  /** Lists the members unreachable for too long; none while this entry itself may be isolated. */
  private listUnreachable(now: number): { peer: string; joinedOffset: number }[] {
    const { config, peers } = this.state;
    return listMembers(config).filter((member) => {
      if (member.peer === this.state.peer || peers.get(member.peer)?.connected) {
        this.unreachableSince.delete(member.peer);
        return false;
      }
      const since = this.unreachableSince.get(member.peer) ?? now;
      this.unreachableSince.set(member.peer, since);
      return now - since >= this.membership.removeAfterMs && !this.mayBeIsolatedSince(since);
    });
  }

  /**
   * Checks whether this entry, and not the member lost at `since`, may be the isolated one. Messages received
   * shortly after `since` do not rule this out, because the links cut by a network partition fail one after
   * another. When no registrar is connected, all of them are assumed to have failed.
   */
  private mayBeIsolatedSince(since: number): boolean {
    const { config, peers, majorityReceivedAt } = this.state;
    if (config.registrars.length <= 1) return false;
    if (!config.registrars.some(({ peer }) => peers.get(peer)?.connected)) return false;
    return majorityReceivedAt - since < this.membership.removeAfterMs * REMOVAL_CONTACT_SHARE;
  }

  private send(to: string, message: Message): void {
    this.state.outbox.push({ type: 'send', to, message });
  }
}
