/** The entry process: connects an `EntryNode` to HTTP, peer links and the platform. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';

import { createRandom } from '../../_lib/createRandom.js';
import { readClock } from '../../_lib/readClock.js';
import { findProcessId } from '../../connection/findProcessId.js';
import { decodePart } from '../../connection/http/decodePart.js';
import { readBody } from '../../connection/http/readBody.js';
import { writeAnswer } from '../../connection/http/writeAnswer.js';
import { writeJson } from '../../connection/http/writeJson.js';
import { findConnection } from '../../connection/input/guardHttpServer.js';
import type { Hello, Message } from '../../connection/messages.js';
import type { LiveVm } from '../../connection/PlatformClient.js';
import { checkJobRequest } from '../../request/checkJobRequest.js';
import { FullTableAdmission, LatenessAdmission } from '../../request/admission.js';
import { ArrivalOrdering, RemainingWorkOrdering } from '../../request/ordering.js';
import { CreditPlacement, RandomPlacement } from '../../request/placement.js';
import { chooseAgents } from '../../version/chooseAgents.js';
import type { LogEntry } from '../../version/logRecord.js';
import { CommandService } from '../commands/CommandService.js';
import { DaemonBase } from '../DaemonBase.js';
import type { DaemonOptions } from '../DaemonBase.js';
import { listMembers } from '../membership.js';
import type { EntrySettings } from '../settings/settings.js';
import { EntryNode } from './EntryNode.js';
import type { EntryNodeEffect } from './EntryNode.js';
import { DEFAULT_ENTRY_LIMITS } from './entryState.js';
import type { EntryLimits, EntryPolicy } from './entryState.js';

/** Interval between reads of the platform's list of live VMs, ms. */
const LIVE_POLL_MS = 1_500;
/** How long a leaving entry still accepts jobs, so that the load balancer can stop routing to it, ms. */
const LEAVE_GRACE_MS = 2_000;
/** Longest wait for the log to confirm that a leaving entry is no longer a member, ms. */
const RESIGN_TIMEOUT_MS = 2_000;
/** Longest timer set for an event's start, ms. */
const MAX_TIMER_MS = 60_000;
/** Retry hint for requests rejected before their body is read, ms. */
const UNAVAILABLE_RETRY_MS = 1_000;

const JOBS_PREFIX = '/v1/jobs/';

/** Accepts jobs over HTTP and runs the entry's state machine. */
export class EntryDaemon extends DaemonBase {
  protected override readonly role = 'entry';
  private node!: EntryNode;
  private commandService!: CommandService;
  private readonly callers = new Map<string, ServerResponse>();
  private nextCaller = 1;
  private liveVms: readonly LiveVm[] = [];
  /** Addresses of agents dialed only to sweep them. */
  private readonly sweepAddresses = new Set<string>();
  private startTimer: NodeJS.Timeout | undefined;
  private startTimerOffset = -1;

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
    this.commandService = new CommandService(this.node, this.platform, (to, message) => {
      this.hub.send(to, message);
      this.turns.run(() => undefined);
    });
    this.every(LIVE_POLL_MS, () => void this.updateLiveVms());
    void this.updateLiveVms();
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
      if (message.type === 'ask') this.commandService.handleAsk(peer, message, now);
      else if (message.type === 'told') this.commandService.handleTold(peer, message);
      else this.node.receive(peer, message, now);
    }
  }

  protected override applyLog(entries: readonly LogEntry[], now: number): void {
    this.node.followLog(entries, now);
    this.scheduleEventStart(now);
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
    for (const effect of this.node.takeEffects(now)) this.applyEffect(effect);
    this.hub.flush();
    this.commandService.checkResults();
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
    const handling = this.findHandling(request, response, path);
    handling?.catch((error: unknown) => this.handleFailure(request, response, error));
    return handling !== undefined;
  }

  private findHandling(
    request: IncomingMessage,
    response: ServerResponse,
    path: string,
  ): Promise<void> | undefined {
    const { method } = request;
    if (path === '/v1/jobs' && method === 'POST') return this.handleJobRequest(request, response);
    if (path.startsWith(JOBS_PREFIX) && method === 'GET') {
      return this.handleJobQuery(decodePart(path.slice(JOBS_PREFIX.length)), response);
    }
    if (path === '/v1/commands' && method === 'POST') return this.handleCommand(request, response);
    return undefined;
  }

  private applyEffect(effect: EntryNodeEffect): void {
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

  private async handleJobRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (this.callers.size >= this.settings.maxCallers)
      return this.writeUnavailable(response, 'too-many-callers');
    // Before the configuration has been read from the log, valid jobs would fail validation.
    if (!this.node.isMember) return this.writeUnavailable(response, 'not-ready');
    const body = await readBody(request, this.settings.maxBodyBytes);
    if (!body.ok) return this.writeBodyError(body.reason, response);
    const input = parseJson(body.text);
    if (input === undefined) return writeFindings(response, [{ pointer: '', message: 'is not JSON' }]);
    const caller = String(request.headers['marblehall-caller'] ?? '');
    const team = String(request.headers['marblehall-team'] ?? '');
    this.turns.run((now) => {
      const { skewMs } = this.settings;
      const { config } = this.node.state;
      const check = checkJobRequest(input, { config, now, skewMs, caller, team });
      if (!check.ok) return writeFindings(response, check.findings);
      findConnection(request)?.admit(response);
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

  /** Rejects a request without reading its body. Its job may have run before, so `ran` is unknown. */
  private writeUnavailable(response: ServerResponse, reason: string): void {
    const text = JSON.stringify({
      outcome: 'failed',
      ran: 'unknown',
      reason,
      retryAfterMs: UNAVAILABLE_RETRY_MS,
    });
    writeJson(response, 503, text, { 'retry-after': '1', connection: 'close' });
  }

  private writeBodyError(reason: 'too-large' | 'cut', response: ServerResponse): void {
    if (reason === 'cut') return void response.destroy();
    const { maxBodyBytes } = this.settings;
    const text = JSON.stringify({ error: 'too-large', maxBodyBytes });
    writeJson(response, 413, text, { connection: 'close' });
  }

  private async handleJobQuery(job: string | undefined, response: ServerResponse): Promise<void> {
    if (job === undefined) return writeJson(response, 400, '{"error":"malformed path"}');
    const row = await this.commandService.findJob(job, readClock());
    if (row) return writeJson(response, 200, JSON.stringify(row));
    writeJson(response, 404, JSON.stringify({ job, error: 'no such job' }));
  }

  private async handleCommand(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const expected = `Bearer ${this.settings.secret}`;
    const body = await readBody(request, this.settings.maxBodyBytes);
    if (!body.ok) return this.writeBodyError(body.reason, response);
    const { text } = (parseJson(body.text) ?? {}) as { text?: unknown };
    if (typeof text !== 'string')
      return writeFindings(response, [{ pointer: '/text', message: 'must be string' }]);
    const authorized = this.commandService.isAuthorized(
      text,
      String(request.headers.authorization ?? ''),
      expected,
    );
    if (!authorized) return writeJson(response, 401, '{"error":"commands need the shared secret"}');
    const answer = await this.commandService.runCommand(text, readClock());
    this.logger.info('command', { text, status: answer.status });
    writeJson(response, answer.status, JSON.stringify(answer.body));
  }

  private async updateLiveVms(): Promise<void> {
    try {
      this.liveVms = await this.platform.listLive();
    } catch {
      // Keep the last list; links detect unreachable peers on their own.
      return;
    }
    this.turns.run(() => {
      for (const vm of this.liveVms) {
        if (vm.role === 'agent' && vm.leaving) this.node.markProcessLeaving(vm.id);
      }
    });
    this.updateLinks();
  }

  /** Dials the selected agents, all registrars and the entries with a greater id; closes other links. */
  private updateLinks(): void {
    const wanted = new Set(this.sweepAddresses);
    const agents = this.liveVms.filter((vm) => vm.role === 'agent' && !vm.leaving);
    for (const { address } of chooseAgents(agents, this.settings.id, this.settings.maxAgents))
      wanted.add(address);
    const { config } = this.node.state;
    for (const { peer, address } of listMembers(config)) {
      const isEntry = config.entries.some((entry) => entry.peer === peer);
      if (!isEntry || findProcessId(peer) > this.settings.id) wanted.add(address);
    }
    for (const address of wanted) this.hub.dial(address);
    const leaving = new Set(this.liveVms.filter((vm) => vm.leaving).map((vm) => vm.address));
    for (const address of [...this.hub.addresses]) {
      // A leaving agent still has results to deliver.
      if (!wanted.has(address) && !leaving.has(address)) this.hub.hangUp(address);
    }
  }

  private dialPeer(peer: string): void {
    const vm = this.liveVms.find((one) => one.id === findProcessId(peer));
    if (!vm) return;
    this.sweepAddresses.add(vm.address);
    this.hub.dial(vm.address);
    setTimeout(() => this.sweepAddresses.delete(vm.address), LIVE_POLL_MS * 10).unref();
  }

  /** Sets a timer that releases held jobs at the next event's start, without waiting for a tick. */
  private scheduleEventStart(now: number): void {
    const { config } = this.node.state;
    if (config.offset === this.startTimerOffset) return;
    this.startTimerOffset = config.offset;
    clearTimeout(this.startTimer);
    const next = Math.min(...config.events.map((event) => event.startAt).filter((startAt) => startAt > now));
    if (!Number.isFinite(next)) return;
    this.startTimer = setTimeout(
      () => {
        this.startTimerOffset = -1;
        this.turns.run((at) => {
          this.node.releaseHeldJobs(at);
          this.scheduleEventStart(at);
        });
      },
      Math.min(MAX_TIMER_MS, next - now),
    );
  }

  private async resign(): Promise<void> {
    if (this.lifecycle.getSnapshot().value !== 'leaving' || !this.node.isMember) return;
    this.turns.run(() => this.node.resign());
    const until = readClock() + RESIGN_TIMEOUT_MS;
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
