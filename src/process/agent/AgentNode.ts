/** Logic of an agent process without I/O: takes messages, log records and the time, and returns effects. */
import type { Heartbeat, Hello, Message } from '../../connection/messages.js';
import type { ConfigState } from '../../version/configState.js';
import { createConfigState } from '../../version/configState.js';
import { followLog } from '../../version/followLog.js';
import type { LogEntry, LogRecord } from '../../version/logRecord.js';
import { createLeave, selectDueRecords, proposeJoin } from '../membership.js';
import type { ProposalState } from '../membership.js';
import { applyRegistrarConfig } from '../registrar/applyRegistrarConfig.js';
import { handleAgentSet, handleAnnounce, expireClaims, renewLease } from '../registrar/handleAnnounce.js';
import { handleClaim } from '../registrar/handleClaim.js';
import { createRegistrarState } from '../registrar/registrarState.js';
import type { RegistrarLimits, RegistrarState } from '../registrar/registrarState.js';
import { createAgentState } from './agentState.js';
import type { AgentEffect, AgentLimits, AgentState, AgentTask } from './agentState.js';
import { endTask } from './endTask.js';
import type { UpstreamOutcome } from './endTask.js';
import { expireAgentJobs } from './expireAgentJobs.js';
import { grantCredits, sendCredits } from './grantCredits.js';
import { handleAck } from './handleAck.js';
import { handleStart } from './handleStart.js';
import { handleCancel, handleSweep } from './handleSweep.js';
import { isAgentDrained, leaveAgent } from './leaveAgent.js';
import { closeEntryLink, handleDemand, openEntryLink } from './openEntryLink.js';

/** Interval between removals of expired jobs and claims, ms. */
const EXPIRE_INTERVAL_MS = 1_000;

/** Membership settings of an agent. */
export interface AgentMembership {
  readonly address: string;
  readonly failureDomain: string;
  /** Whether the process joins as a registrar. */
  readonly registrar: boolean;
  /** Wait before a proposal without effect is repeated, ms. */
  readonly proposeRepeatMs: number;
}

/** An effect of an agent, or a record to append to the log. */
export type AgentNodeEffect = AgentEffect | { readonly type: 'append'; readonly record: LogRecord };

/** An agent process, with its registrar, as a state machine without I/O. */
export class AgentNode {
  readonly state: AgentState;
  readonly registrar: RegistrarState;
  private readonly proposals: ProposalState;
  private appends: LogRecord[] = [];
  private expiredAt = 0;

  constructor(
    peer: string,
    limits: AgentLimits,
    registrarLimits: RegistrarLimits,
    private readonly membership: AgentMembership,
  ) {
    this.state = createAgentState(peer, limits);
    this.registrar = createRegistrarState(peer, registrarLimits, createConfigState());
    this.proposals = { proposedAt: new Map(), repeatMs: membership.proposeRepeatMs };
  }

  /** Returns the first message of a link. */
  buildHello(): Hello {
    const { peer, limits, leaving, waiting } = this.state;
    const { address, failureDomain } = this.membership;
    const load = { slots: limits.slots, queued: waiting.length, leaving };
    return {
      type: 'hello',
      peer,
      role: 'agent',
      offset: this.registrar.config.offset,
      address,
      failureDomain,
      ...load,
    };
  }

  /** Handles a new link of an entry. */
  openLink(hello: Hello): void {
    openEntryLink(this.state, hello.peer);
    this.requestNewerState(hello.peer, hello.offset);
  }

  /** Handles the loss of an entry's link. */
  closeLink(peer: string): void {
    closeEntryLink(this.state, peer);
  }

  /** Handles one message from a linked entry. */
  receive(from: string, message: Message, now: number): void {
    const { state, registrar } = this;
    switch (message.type) {
      case 'start':
        return handleStart(state, from, message, now);
      case 'demand':
        return handleDemand(state, from, message);
      case 'ack':
        return handleAck(state, message);
      case 'cancel':
        return handleCancel(state, from, message);
      case 'sweep':
        return handleSweep(state, from, message);
      case 'claim':
        return handleClaim(registrar, from, message, now);
      case 'agentSet':
        return handleAgentSet(registrar, from, message);
      case 'announce':
        return void handleAnnounce(registrar, from, message);
      case 'heartbeat':
        return this.handleHeartbeat(from, message, now);
      case 'stateRequest':
        return this.sendState(from, message.offset);
      case 'stateReply':
        return this.applyState(message.state);
      default:
        return;
    }
  }

  /** Records the outcome of a task's request to the upstream. */
  endTask(task: AgentTask, outcome: UpstreamOutcome, now: number): void {
    endTask(this.state, task, outcome, now);
  }

  /** Applies records read from the log. An empty read renews the lease too. */
  followLog(entries: readonly LogEntry[], now: number): void {
    renewLease(this.registrar, now);
    const config = followLog(this.registrar.config, entries);
    if (config !== this.registrar.config) applyRegistrarConfig(this.registrar, config);
  }

  /** Runs the periodic work: expiry and membership proposals. */
  tick(now: number): void {
    if (now - this.expiredAt >= EXPIRE_INTERVAL_MS) {
      this.expiredAt = now;
      expireAgentJobs(this.state, now);
      expireClaims(this.registrar, now);
    }
    this.proposeMemberChanges(now);
  }

  /** Records whether the upstream accepts connections; no credit is granted while it does not. */
  setUpstreamDown(down: boolean): void {
    this.state.upstreamDown = down;
    grantCredits(this.state);
  }

  /** Invalidates the registrar's lease after the process was paused. */
  revalidate(): void {
    this.registrar.leaseRenewedAt = Number.NEGATIVE_INFINITY;
  }

  /** Starts a planned stop. */
  leave(): void {
    leaveAgent(this.state);
    this.registrar.leaving = true;
  }

  /** True when the agent has no tasks to run, no answers to deliver and no seat. */
  get isDrained(): boolean {
    const { config, peer } = this.registrar;
    return isAgentDrained(this.state) && !config.seats.some((seat) => seat.peer === peer);
  }

  /** Ends a turn and returns the effects to apply. */
  takeEffects(): readonly AgentNodeEffect[] {
    sendCredits(this.state);
    const effects: AgentNodeEffect[] = this.state.outbox;
    this.state.outbox = [];
    for (const { to, message } of this.registrar.outbox) effects.push({ type: 'send', to, message });
    this.registrar.outbox = [];
    for (const record of this.appends) effects.push({ type: 'append', record });
    this.appends = [];
    return effects;
  }

  private proposeMemberChanges(now: number): void {
    if (!this.membership.registrar) return;
    const { config, peer, leaving } = this.registrar;
    const member = [...config.registrars, ...config.standbys].find((one) => one.peer === peer);
    const records: LogRecord[] = [];
    if (leaving && member) records.push(createLeave(peer, member.joinedOffset));
    if (!leaving)
      records.push(...proposeJoin(config, { role: 'registrar', peer, address: this.membership.address }));
    this.appends.push(...selectDueRecords(this.proposals, records, now));
  }

  /**
   * Handles a heartbeat. Renews the lease if the entry has recently received messages from a majority of the
   * registrars and its configuration is not older.
   */
  private handleHeartbeat(from: string, heartbeat: Heartbeat, now: number): void {
    const { config } = this.registrar;
    const majority = heartbeat.registrarsHeard > config.registrars.length / 2;
    if (heartbeat.offset >= config.offset && majority) renewLease(this.registrar, now);
    this.requestNewerState(from, heartbeat.offset);
    if (!heartbeat.reply) return;
    const granted = this.state.credits.get(from)?.granted ?? 0;
    const { offset } = config;
    const state = { registrarsHeard: 0, heardLog: false, reply: false, granted };
    this.send(from, { type: 'heartbeat', offset, ...state });
  }

  private requestNewerState(peer: string, offset: number): void {
    const { config } = this.registrar;
    if (offset > config.offset) this.send(peer, { type: 'stateRequest', offset: config.offset });
  }

  private sendState(to: string, offset: number): void {
    const { config } = this.registrar;
    if (config.offset <= offset) return;
    this.send(to, { type: 'stateReply', offset: config.offset, state: JSON.stringify(config) });
  }

  private applyState(text: string): void {
    const config = JSON.parse(text) as ConfigState;
    if (config.offset > this.registrar.config.offset) applyRegistrarConfig(this.registrar, config);
  }

  private send(to: string, message: Message): void {
    this.state.outbox.push({ type: 'send', to, message });
  }
}
