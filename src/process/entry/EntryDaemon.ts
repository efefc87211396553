/** The entry as a daemon: an `EntryNode` with HTTP, links and the platform. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';

import { createRandom } from '../../_lib/createRandom.js';
import { readClock } from '../../_lib/readClock.js';
import { findProcessId } from '../../connection/findProcessId.js';
import { readBody } from '../../connection/http/readBody.js';
import { writeAnswer } from '../../connection/http/writeAnswer.js';
import { writeJson } from '../../connection/http/writeJson.js';
import type { Hello, Message } from '../../connection/messages.js';
import type { LiveVm } from '../../connection/PlatformClient.js';
import { checkJobRequest } from '../../request/checkJobRequest.js';
import { FullTableAdmission, LatenessAdmission } from '../../request/admission.js';
import { ArrivalOrdering, RemainingWorkOrdering } from '../../request/ordering.js';
import { CreditPlacement, RandomPlacement } from '../../request/placement.js';
import { chooseAgents } from '../../version/chooseAgents.js';
import type { LogEntry } from '../../version/logRecord.js';
import { CommandDesk } from '../commands/CommandDesk.js';
import { DaemonBase } from '../DaemonBase.js';
import type { DaemonOptions } from '../DaemonBase.js';
import { listMembers } from '../membership.js';
import type { EntrySettings } from '../settings/settings.js';
import { EntryNode } from './EntryNode.js';
import type { EntryNodeEffect } from './EntryNode.js';
import { DEFAULT_ENTRY_LIMITS } from './entryState.js';
import type { EntryLimits, EntryPolicy } from './entryState.js';

/** Between two readings of the live list, ms. */
const LIVE_MS = 1_500;
/** How long a leaving entry still takes jobs, so that the balancer can notice, ms. */
const LEAVE_GRACE_MS = 2_000;
/** Longest wait until the log shows that a leaving entry is no member any more, ms. */
const RESIGN_MS = 2_000;
/** Longest timer that is set for an event's start, ms. */
const MAX_TIMER_MS = 60_000;
/** Retry hint for callers that are not even read, ms. */
const FULL_RETRY_MS = 1_000;

/** An entry process. */
export class EntryDaemon extends DaemonBase {
  protected override readonly role = 'entry';
  private node!: EntryNode;
  private desk!: CommandDesk;
  private readonly callers = new Map<string, ServerResponse>();
  private nextCaller = 1;
  private live: readonly LiveVm[] = [];
  /** Addresses dialed for sweeps, beside the chosen agents. */
  private readonly extra = new Set<string>();
  private startTimer: NodeJS.Timeout | undefined;
  private timedOffset = -1;

  constructor(
    protected override readonly settings: EntrySettings,
    options: DaemonOptions = {},
  ) {
    super(settings, options);
  }

  override buildStats(): Record<string, unknown> {
    const { state } = this.node;
    const tables = { jobs: state.jobs.size, active: state.active.size, waitingTasks: state.waitingTasks };
    const agents = [...state.agents.values()].filter((agent) => agent.connected).length;
    return { ...super.buildStats(), ...tables, callers: this.callers.size, heldBytes: state.bytes, agents };
  }

  protected override get configOffset(): number {
    return this.node.state.config.offset;
  }

  protected override prepare(): void {
    const { failureDomain, heartbeatMs, removeAfterMs, snapshotEvery } = this.settings;
    const times = { heartbeatMs, removeAfterMs, proposeRepeatMs: 1_000, snapshotEvery };
    const membership = { address: this.address, failureDomain, ...times };
    const nextRandom = createRandom(Math.floor(readClock()));
    const policy = createPolicy(this.settings, nextRandom);
    this.node = new EntryNode(this.peer, createLimits(this.settings), membership, { policy, nextRandom });
    this.desk = new CommandDesk(this.node, this.platform, (to, message) => {
      this.hub.send(to, message);
      this.turns.run(() => undefined);
    });
    this.every(LIVE_MS, () => void this.readLive());
    void this.readLive();
  }

  protected override buildHello(): Hello {
    return this.node.buildHello();
  }

  protected override openLink(hello: Hello, now: number): void {
    this.logger.info('link-open', { peer: hello.peer, role: hello.role });
    this.node.openLink(hello, now);
  }

  protected override closeLink(peer: string, now: number): void {
    this.logger.info('link-closed', { peer });
    this.node.closeLink(peer, now);
  }

  protected override receive(peer: string, messages: readonly Message[], now: number): void {
    for (const message of messages) {
      if (message.type === 'ask') this.desk.answerAsk(peer, message, now);
      else if (message.type === 'told') this.desk.noteTold(peer, message);
      else this.node.receive(peer, message, now);
    }
  }

  protected override applyLog(entries: readonly LogEntry[], now: number): void {
    this.node.followLog(entries, now);
    this.armStartTimer(now);
    if (this.node.isRemoved && this.lifecycle.getSnapshot().value === 'ready') {
      this.logger.error('removed-by-others', {});
      void this.stop();
    }
  }

  protected override tick(now: number): void {
    this.node.tick(now);
  }

  protected override isBusy(): boolean {
    return this.node.state.active.size > 0 || !this.node.isMember;
  }

  protected override endTurn(now: number): void {
    for (const effect of this.node.takeEffects(now)) this.carryOut(effect);
    this.hub.flush();
    this.desk.noteConfig();
  }

  protected override revalidate(): void {
    this.node.revalidate();
  }

  protected override async beginLeaving(): Promise<void> {
    await sleep(LEAVE_GRACE_MS);
    this.turns.run(() => this.node.leave());
  }

  protected override isDrained(): boolean {
    return this.node.isDrained && this.callers.size === 0;
  }

  protected override isReady(): boolean {
    return this.node.isReady(readClock());
  }

  protected override reportMetrics(): void {
    const { state } = this.node;
    this.metrics.gauge('entry_active_jobs', state.active.size);
    this.metrics.gauge('entry_jobs', state.jobs.size);
    this.metrics.gauge('entry_waiting_tasks', state.waitingTasks);
    this.metrics.gauge('entry_callers', this.callers.size);
    this.metrics.gauge('entry_held_bytes', state.bytes);
    this.metrics.gauge('entry_agents', state.agents.size);
  }

  override async end(): Promise<void> {
    clearTimeout(this.startTimer);
    await this.resign();
    await super.end();
  }

  protected override routeHttp(request: IncomingMessage, response: ServerResponse, path: string): boolean {
    if (path === '/v1/jobs' && request.method === 'POST') {
      void this.takeJob(request, response);
      return true;
    }
    if (path.startsWith('/v1/jobs/') && request.method === 'GET') {
      void this.showJob(decodeURIComponent(path.slice('/v1/jobs/'.length)), response);
      return true;
    }
    if (path === '/v1/commands' && request.method === 'POST') {
      void this.takeCommand(request, response);
      return true;
    }
    return false;
  }

  private carryOut(effect: EntryNodeEffect): void {
    switch (effect.type) {
      case 'send':
        return this.hub.send(effect.to, effect.message);
      case 'answer':
        return this.answerCaller(effect.caller, effect.job, effect.answer);
      case 'append':
        return this.append(effect.record);
      case 'dial':
        return this.dialPeer(effect.peer);
      case 'decision':
        this.metrics.increment('entry_decisions', { decision: effect.decision });
        if (this.settings.decisionLog)
          this.logger.info(effect.decision, { job: effect.job, ...effect.detail });
    }
  }

  private answerCaller(caller: string, job: string, answer: Parameters<typeof writeAnswer>[2]): void {
    const response = this.callers.get(caller);
    if (!response) return;
    this.callers.delete(caller);
    this.metrics.increment('entry_answers', { outcome: answer.outcome });
    writeAnswer(response, job, answer);
  }

  private async takeJob(request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (this.callers.size >= this.settings.maxCallers) return this.refuseUnread(response, 'too-many-callers');
    // Without the log's configuration the events are not known, and a good job would look wrong.
    if (!this.node.isMember) return this.refuseUnread(response, 'not-ready');
    const body = await readBody(request, this.settings.maxBodyBytes);
    if (!body.ok) return this.refuseBody(body.reason, response);
    const input = parseJson(body.text);
    if (input === undefined) return writeFindings(response, [{ pointer: '', message: 'is not JSON' }]);
    const caller = String(request.headers['marblehall-caller'] ?? '');
    const team = String(request.headers['marblehall-team'] ?? '');
    this.turns.run((now) => {
      const { skewMs } = this.settings;
      const { config } = this.node.state;
      const check = checkJobRequest(input, { config, now, skewMs, caller, team });
      if (!check.ok) return writeFindings(response, check.findings);
      this.node.submit(check.request, this.addCaller(response), now);
    });
  }

  private addCaller(response: ServerResponse): string {
    const caller = String(this.nextCaller);
    this.nextCaller += 1;
    this.callers.set(caller, response);
    response.once('close', () => this.callers.delete(caller));
    return caller;
  }

  /** Nothing is known of the job, so nothing can be said of whether it ran. */
  private refuseUnread(response: ServerResponse, reason: string): void {
    const text = JSON.stringify({ outcome: 'failed', ran: 'unknown', reason, retryAfterMs: FULL_RETRY_MS });
    writeJson(response, 503, text, { 'retry-after': '1', connection: 'close' });
  }

  private refuseBody(reason: 'too-large' | 'cut', response: ServerResponse): void {
    if (reason === 'cut') return void response.destroy();
    const { maxBodyBytes } = this.settings;
    const text = JSON.stringify({ error: 'too-large', maxBodyBytes });
    writeJson(response, 413, text, { connection: 'close' });
  }

  private async showJob(job: string, response: ServerResponse): Promise<void> {
    const row = await this.desk.findJob(job, readClock());
    if (row) return writeJson(response, 200, JSON.stringify(row));
    writeJson(response, 404, JSON.stringify({ job, error: 'no such job' }));
  }

  private async takeCommand(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const expected = `Bearer ${this.settings.secret}`;
    const body = await readBody(request, this.settings.maxBodyBytes);
    if (!body.ok) return this.refuseBody(body.reason, response);
    const { text } = (parseJson(body.text) ?? {}) as { text?: unknown };
    if (typeof text !== 'string')
      return writeFindings(response, [{ pointer: '/text', message: 'must be string' }]);
    const authorized = this.desk.isAuthorized(text, String(request.headers.authorization ?? ''), expected);
    if (!authorized) return writeJson(response, 401, '{"error":"commands need the shared secret"}');
    const answer = await this.desk.runCommand(text, readClock());
    this.logger.info('command', { text, status: answer.status });
    writeJson(response, answer.status, JSON.stringify(answer.body));
  }

  private async readLive(): Promise<void> {
    try {
      this.live = await this.platform.listLive();
    } catch {
      // The last list serves on; links show by themselves who is gone.
      return;
    }
    this.turns.run(() => {
      for (const vm of this.live) {
        if (vm.role === 'agent' && vm.leaving) this.node.noteProcessLeaving(vm.id);
      }
    });
    this.keepLinks();
  }

  /** Dials the chosen agents, all registrars, and the entries with a greater id; hangs up the others. */
  private keepLinks(): void {
    const wanted = new Set(this.extra);
    const agents = this.live.filter((vm) => vm.role === 'agent' && !vm.leaving);
    for (const { address } of chooseAgents(agents, this.settings.id, this.settings.maxAgents))
      wanted.add(address);
    const { config } = this.node.state;
    for (const { peer, address } of listMembers(config)) {
      const isEntry = config.entries.some((entry) => entry.peer === peer);
      if (!isEntry || findProcessId(peer) > this.settings.id) wanted.add(address);
    }
    for (const address of wanted) this.hub.dial(address);
    const leaving = new Set(this.live.filter((vm) => vm.leaving).map((vm) => vm.address));
    for (const address of [...this.hub.addresses]) {
      // A leaving agent still delivers what it runs.
      if (!wanted.has(address) && !leaving.has(address)) this.hub.hangUp(address);
    }
  }

  private dialPeer(peer: string): void {
    const vm = this.live.find((one) => one.id === findProcessId(peer));
    if (!vm) return;
    this.extra.add(vm.address);
    this.hub.dial(vm.address);
    setTimeout(() => this.extra.delete(vm.address), LIVE_MS * 10).unref();
  }

  /** Held jobs are let go at the event's start and not at the next tick. */
  private armStartTimer(now: number): void {
    const { config } = this.node.state;
    if (config.offset === this.timedOffset) return;
    this.timedOffset = config.offset;
    clearTimeout(this.startTimer);
    const next = Math.min(...config.events.map((event) => event.startAt).filter((startAt) => startAt > now));
    if (!Number.isFinite(next)) return;
    this.startTimer = setTimeout(
      () => {
        this.timedOffset = -1;
        this.turns.run((at) => {
          this.node.releaseHeld(at);
          this.armStartTimer(at);
        });
      },
      Math.min(MAX_TIMER_MS, next - now),
    );
  }

  private async resign(): Promise<void> {
    if (this.lifecycle.getSnapshot().value !== 'leaving' || !this.node.isMember) return;
    this.turns.run(() => this.node.resign());
    const until = readClock() + RESIGN_MS;
    while (this.node.isMember && readClock() < until) await sleep(20);
  }
}

function createLimits(settings: EntrySettings): EntryLimits {
  const {
    horizonMs,
    skewMs,
    leaseMs,
    takeoverAfterMs,
    agentLostMs,
    maxActiveJobs,
    maxHeldBytes,
    demandStepMs,
  } = settings;
  const times = { horizonMs, skewMs, leaseMs, takeoverAfterMs, agentLostMs, demandStepMs };
  return { ...DEFAULT_ENTRY_LIMITS, ...times, maxActiveJobs, maxBytes: maxHeldBytes };
}

function createPolicy(settings: EntrySettings, nextRandom: () => number): EntryPolicy {
  const { priorityStepMs, ageWeight, maxActiveJobs } = settings;
  return {
    ordering:
      settings.ordering === 'arrival'
        ? new ArrivalOrdering()
        : new RemainingWorkOrdering({ priorityStepMs, ageWeight }),
    placement: settings.placement === 'random' ? new RandomPlacement(nextRandom) : new CreditPlacement(),
    admission:
      settings.admission === 'full-table'
        ? new FullTableAdmission(maxActiveJobs)
        : new LatenessAdmission(maxActiveJobs),
  };
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return undefined;
  }
}

function writeFindings(
  response: ServerResponse,
  findings: readonly { pointer: string; message: string }[],
): void {
  writeJson(response, 400, JSON.stringify({ ran: 'not-run', findings }));
}
