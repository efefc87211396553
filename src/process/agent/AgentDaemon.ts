/** The agent process: connects an `AgentNode` to peer links, an upstream and the platform. */
import type { IncomingMessage, ServerResponse } from 'node:http';

import type { Hello, Message } from '../../connection/messages.js';
import { UpstreamClient } from '../../connection/UpstreamClient.js';
import type { LogEntry } from '../../version/logRecord.js';
import { DaemonBase } from '../DaemonBase.js';
import type { DaemonOptions } from '../DaemonBase.js';
import { IDLE_POLL_MS, LEASED_POLL_MS } from '../LogFollower.js';
import type { AgentSettings } from '../settings/settings.js';
import { AgentNode } from './AgentNode.js';
import type { AgentNodeEffect } from './AgentNode.js';
import type { AgentTask } from './agentState.js';

/** Interval between probes of an upstream that refuses connections, ms. */
const PROBE_INTERVAL_MS = 500;

/** Runs tasks on an upstream and drives the agent's state machine. */
export class AgentDaemon extends DaemonBase {
  protected override readonly role = 'agent';
  private node!: AgentNode;
  private readonly upstream: UpstreamClient;

  constructor(
    protected override readonly settings: AgentSettings,
    options: DaemonOptions = {},
  ) {
    super(settings, { pollMs: settings.registrar ? LEASED_POLL_MS : IDLE_POLL_MS, ...options });
    this.upstream = new UpstreamClient(settings.upstreamUrl, settings);
  }

  override buildStats(): Record<string, unknown> {
    const { state, registrar } = this.node;
    const tables = { jobs: state.jobs.size, running: state.running, waiting: state.waiting.length };
    return {
      ...super.buildStats(),
      ...tables,
      answerBytes: state.answerBytes,
      claims: registrar.claims.size,
    };
  }

  override async end(): Promise<void> {
    await super.end();
    await this.upstream.close();
  }

  protected override get configOffset(): number {
    return this.node.registrar.config.offset;
  }

  protected override prepare(): void {
    const { slots, overcommit, horizonMs, maxJobs, maxAnswerBytes, skewMs, leaseMs, maxClaims } =
      this.settings;
    const { failureDomain, registrar, proposeRepeatMs, stickinessMs } = this.settings;
    const limits = { slots, overcommit, horizonMs, maxJobs, maxAnswerBytes, stickinessMs };
    const registrarLimits = { horizonMs, skewMs, leaseMs, maxClaims };
    const membership = { address: this.address, failureDomain, registrar, proposeRepeatMs };
    this.node = new AgentNode(this.peer, limits, registrarLimits, membership);
    this.every(PROBE_INTERVAL_MS, () => void this.probeUpstream());
  }

  protected override buildHello(): Hello {
    return this.node.buildHello();
  }

  protected override openLink(hello: Hello): void {
    this.logger.info('link-open', { peer: hello.peer });
    this.node.openLink(hello);
  }

  protected override closeLink(peer: string): void {
    this.logger.info('link-closed', { peer });
    this.node.closeLink(peer);
  }

  protected override receive(peer: string, messages: readonly Message[], now: number): void {
    for (const message of messages) this.node.receive(peer, message, now);
  }

  protected override applyLog(entries: readonly LogEntry[], now: number): void {
    this.node.followLog(entries, now);
  }

  protected override tick(now: number): void {
    this.node.tick(now);
  }

  protected override isBusy(): boolean {
    // Ticks only drive expiry and membership proposals, which are not urgent.
    return false;
  }

  protected override endTurn(): void {
    for (const effect of this.node.takeEffects()) this.applyEffect(effect);
    this.hub.flush();
  }

  protected override revalidate(): void {
    this.node.revalidate();
  }

  protected override async beginLeaving(): Promise<void> {
    this.turns.run(() => this.node.leave());
  }

  protected override isDrained(): boolean {
    return this.node.isDrained;
  }

  protected override isReady(): boolean {
    return !this.node.state.upstreamDown;
  }

  protected override reportMetrics(): void {
    const { state, registrar } = this.node;
    this.metrics.gauge('agent_running', state.running);
    this.metrics.gauge('agent_waiting', state.waiting.length);
    this.metrics.gauge('agent_jobs', state.jobs.size);
    this.metrics.gauge('agent_answer_bytes', state.answerBytes);
    this.metrics.gauge('registrar_claims', registrar.claims.size);
  }

  protected override routeHttp(_request: IncomingMessage, _response: ServerResponse): boolean {
    return false;
  }

  private applyEffect(effect: AgentNodeEffect): void {
    if (effect.type === 'send') return this.hub.send(effect.to, effect.message);
    if (effect.type === 'run') return void this.runTask(effect.task);
    if (effect.type === 'append') return this.append(effect.record);
    this.metrics.increment('agent_decisions', { decision: effect.decision });
    if (!this.settings.decisionLog) return;
    const { job, index, attempt, from, rank } = effect.task;
    const fields = { job: job.key, task: index, attempt, from, rank, reason: effect.reason };
    this.logger.info(effect.decision, fields);
  }

  private async runTask(task: AgentTask): Promise<void> {
    const { kind, body, deadline } = task;
    const taskId = `${task.job.key}/${task.index}`;
    const outcome = await this.upstream.runTask({ taskId, kind, body, deadline });
    if (outcome.type === 'unsent') this.setUpstreamDown(true);
    this.turns.run((now) => this.node.endTask(task, outcome, now));
  }

  private setUpstreamDown(down: boolean): void {
    if (this.node.state.upstreamDown === down) return;
    this.logger.warn(down ? 'upstream-down' : 'upstream-up');
    this.turns.run(() => this.node.setUpstreamDown(down));
  }

  private async probeUpstream(): Promise<void> {
    if (!this.node.state.upstreamDown) return;
    if (await this.upstream.probe()) this.setUpstreamDown(false);
  }
}
