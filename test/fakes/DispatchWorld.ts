/**
 * Dispatchers, agents and upstreams on a virtual clock, with links that stall, reset and heal, processes that freeze
 * and die, and callers that leave and come again elsewhere. The product's own core runs unchanged; the promises are
 * checked as it goes.
 */
import { createRandom } from '../../src/_lib/createRandom.js';
import type {
  ExecutorHello,
  ExecutorMessage,
  DispatcherMessage,
  PeerMessage,
} from '../../src/connection/peer/peerMessages.js';
import { createPolicies, ROUTE, STEP } from './dispatchFixtures.js';
import type { JobSubmission } from '../../src/request/dispatch/submission.js';
import type { EmptiedDomains } from '../../src/version/emptiedDomains.js';
import { Executor } from '../../src/process/executor/Executor.js';
import { buildExecutorId } from '../../src/process/dispatcher/ExecutorView.js';
import { Dispatcher } from '../../src/process/dispatcher/Dispatcher.js';
import { OperatorExchange } from '../../src/process/OperatorExchange.js';
import { deriveDispatchTimes } from '../../src/process/dispatchTimes.js';
import { checkAnswers, checkKnowledge, checkRuns, RESUBMIT_MS } from './checkDispatchWorld.js';
import {
  changeWritten,
  compareEmptied,
  createAgentExchange,
  DOMAINS,
  findDomain,
  knowsEmptied,
  takeStart,
} from './dispatchWorldDomains.js';
import { WorldUpstreams } from './dispatchWorldUpstreams.js';
import { buildPing, buildPong, createLink, pickOne } from './dispatchWorldState.js';
import type { Link, WorldAgent, WorldEntry, WorldJob } from './dispatchWorldState.js';
import { FakeCaller } from './FakeCaller.js';
import { FakeClock } from './FakeClock.js';
import { GatedExecutor, ProcessGate } from './ProcessGate.js';

export const WORLD_ENTRIES = 2;
export const WORLD_AGENTS = 3;

const STOP_MS = 50;
const MAX_LEASE_MS = 1_000;
const STEP_MS = 5;
const TICK_MS = 40;
const REDIAL_MS = 60;
const REPORT_MS = 500;
const RESTART_MS = 300;
/** Time of day when the runs begin, Unix ms. */
const FIRST_START_MS = 1_000_000;
const TIMES = deriveDispatchTimes({
  resubmitMs: RESUBMIT_MS,
  maxLeaseMs: 1_000,
} as Parameters<typeof deriveDispatchTimes>[0]);

/** A small deployment in memory. */
export class DispatchWorld {
  readonly clock = new FakeClock();
  readonly jobs: WorldJob[] = [];
  /** Counts for reports. */
  readonly counts = { submitted: 0, completed: 0, interrupted: 0, refused: 0, rejected: 0, failed: 0 };
  private readonly nextRandom: () => number;
  private readonly entries: WorldEntry[];
  private readonly agents: WorldAgent[];
  private readonly links = new Map<string, Link>();
  private readonly cutUntil = new Map<string, number>();
  private readonly redialAt = new Map<string, number>();
  private lastTickAt = 0;
  private lastPingAt = 0;
  private lastReportAt = 0;
  private readonly upstreams: WorldUpstreams;
  /** What the operators have written of the failure domains; undefined while nothing. */
  private written: EmptiedDomains | undefined;

  /**
   * @param seed - of what the parts draw
   * @param keepsIds - whether lives of an upstream follow each other under one id, each with counts of its own
   * @param crashLimit - of the dispatchers
   */
  constructor(
    seed: number,
    keepsIds = false,
    private readonly crashLimit = 0,
  ) {
    this.upstreams = new WorldUpstreams(this.clock, keepsIds);
    this.nextRandom = createRandom(seed);
    this.entries = Array.from({ length: WORLD_ENTRIES }, (_, index) => this.createEntry(index, 1));
    this.agents = Array.from({ length: WORLD_AGENTS }, (_, index) => this.createAgent(index));
  }

  /** Submits a job. */
  submit(entryIndex: number, tasks: number, taskMs: number, patienceMs: number): void {
    const job: WorldJob = { id: `job${this.jobs.length}`, tasks, callers: [], started: false };
    this.jobs.push(job);
    this.submitAt(job, pickOne(this.entries, entryIndex), taskMs, patienceMs);
  }

  /** Submits a job whose task crashes each upstream that begins it. Returns when each upstream crashed for it. */
  submitPoison(entryIndex: number, taskMs: number, patienceMs: number): number[] {
    this.upstreams.setPoison(`job${this.jobs.length}`, this.agents);
    this.submit(entryIndex, 1, taskMs, patienceMs);
    return this.upstreams.crashedAt;
  }

  /** A caller leaves and comes again at another entry after the time that callers keep. */
  async resubmit(jobIndex: number, entryIndex: number): Promise<void> {
    const job = this.jobs[jobIndex % Math.max(1, this.jobs.length)];
    const last = job?.callers.at(-1);
    if (!job || !last || last.caller.answers.length > 0) return;
    this.leave(job, last);
    await this.advance(RESUBMIT_MS);
    this.submitAt(job, pickOne(this.entries, entryIndex), 60, 3_000);
  }

  /** An entry or agent stands still. */
  freeze(kind: 'entry' | 'agent', index: number, ms: number): void {
    const { gate } = kind === 'entry' ? pickOne(this.entries, index) : pickOne(this.agents, index);
    gate.frozenUntil = this.clock.now() + ms;
  }

  /**
   * The VM of an entry or agent is suspended, alone or with its upstream, and its time of day is set by so much.
   */
  suspend(kind: 'entry' | 'agent', index: number, ms: number, withUpstream: boolean, stepMs: number): void {
    const process = kind === 'entry' ? pickOne(this.entries, index) : pickOne(this.agents, index);
    process.gate.suspend(ms);
    process.gate.stepTimeOfDay(stepMs);
    if (kind === 'agent' && withUpstream) this.upstreams.suspend(pickOne(this.agents, index), ms);
  }

  /** The time of day of an entry or agent is set. */
  stepTimeOfDay(kind: 'entry' | 'agent', index: number, ms: number): void {
    const { gate } = kind === 'entry' ? pickOne(this.entries, index) : pickOne(this.agents, index);
    gate.stepTimeOfDay(ms);
  }

  /** A process dies and comes back as another life. */
  kill(kind: 'entry' | 'agent', index: number): void {
    if (kind === 'entry') return this.killEntry(pickOne(this.entries, index));
    const agent = pickOne(this.agents, index);
    agent.gate.dead = true;
    agent.restartAt = this.clock.now() + RESTART_MS;
    for (const link of [...this.links.values()]) if (link.agent === agent) this.breakLink(link);
  }

  /** The path between an entry and an agent carries nothing for a while; what was sent comes late, or is lost. */
  cut(entryIndex: number, agentIndex: number, ms: number): void {
    const key = `${entryIndex % WORLD_ENTRIES}/${agentIndex % WORLD_AGENTS}`;
    this.cutUntil.set(key, this.clock.now() + ms);
  }

  /** A connection is reset. */
  reset(entryIndex: number, agentIndex: number): void {
    const link = this.links.get(`${entryIndex % WORLD_ENTRIES}/${agentIndex % WORLD_AGENTS}`);
    if (link) this.breakLink(link);
  }

  /**
   * The operators empty a failure domain, or take it back. One entry reads it in the store; all others, and the agents,
   * learn it on links.
   */
  changeDomain(domainIndex: number, isEmptied: boolean, entryIndex: number): void {
    const domain = pickOne(DOMAINS, domainIndex);
    const written = changeWritten(this.written, domain, isEmptied);
    this.written = written;
    const { gate, exchange } = pickOne(this.entries, entryIndex);
    this.afterThaw(gate, () => exchange.adoptEmptied(written, 'store'));
  }

  /** An upstream crashes; another life takes its place. */
  crash(index: number): void {
    const agent = pickOne(this.agents, index);
    this.upstreams.end(agent);
    this.upstreams.begin(agent);
    this.report(agent);
  }

  /** An upstream crashes, and starts again after a while; it reports itself at once, or some time later. */
  async restartUpstream(index: number, downMs: number, reportsAtOnce: boolean): Promise<void> {
    const agent = pickOne(this.agents, index);
    this.upstreams.end(agent);
    await this.advance(downMs);
    this.upstreams.begin(agent);
    if (reportsAtOnce) this.report(agent);
  }

  /** A connection goes silent for good; its agent gives it up after a while, which the entry does not hear. */
  async mute(entryIndex: number, agentIndex: number, ms: number): Promise<void> {
    const link = this.links.get(`${entryIndex % WORLD_ENTRIES}/${agentIndex % WORLD_AGENTS}`);
    if (!link) return;
    link.silent = true;
    await this.advance(ms);
    if (!link.broken) this.breakLink(link);
  }

  /** An upstream crashes; another life answers at once in its place. */
  replace(index: number): void {
    const agent = pickOne(this.agents, index);
    this.upstreams.replace(agent);
    this.report(agent);
  }

  /** The report of an earlier life of an upstream, held up until now, arrives. */
  deliverLateReport(index: number): void {
    const agent = pickOne(this.agents, index);
    const { gate, core, upstream } = agent;
    if (gate.dead || gate.isFrozen || upstream.life === 1) return;
    core.handleReport(this.upstreams.buildReport(agent, upstream.life - 1));
  }

  /** The first message of an earlier life of an agent, held up until now, arrives, and then the end of its link. */
  async deliverLateHello(entryIndex: number, agentIndex: number): Promise<void> {
    const entry = pickOne(this.entries, entryIndex);
    const { index, life } = pickOne(this.agents, agentIndex);
    if (entry.gate.isFrozen || entry.gate.dead || life === 1) return;
    const hello = this.buildLateHello(index, life - 1);
    const id = entry.core.handleHello(hello, `entry-${entry.index}@${entry.life}`, entry.gate.now());
    await this.advance(STEP_MS);
    if (!entry.gate.isFrozen) entry.core.handleClose(id, 'ended', entry.gate.now());
  }

  /** The next orders to an upstream are lost, or carried out without an answer. */
  disturb(index: number, fate: 'lost' | 'unanswered', count: number): void {
    const { fake } = pickOne(this.agents, index).upstream;
    for (let i = 0; i < count; i += 1) fake.fates.push(fate);
  }

  /** An upstream answers nothing for a while. */
  async silence(index: number, ms: number): Promise<void> {
    const { fake } = pickOne(this.agents, index).upstream;
    fake.silent = true;
    await this.advance(ms);
    fake.silent = false;
  }

  /** Tasks of an upstream stand still, or go on. */
  hang(index: number, hangs: boolean): void {
    pickOne(this.agents, index).upstream.fake.hangs = hangs;
  }

  /** The room of an upstream shrinks or grows; its report says so at once, or the next one. */
  changeRoom(index: number, tasks: number, reportsAtOnce: boolean): void {
    const agent = pickOne(this.agents, index);
    agent.upstream.roomTasks = tasks;
    if (reportsAtOnce) this.report(agent);
  }

  /** Moves time on. */
  async advance(ms: number): Promise<void> {
    const until = this.clock.now() + ms;
    while (this.clock.now() < until) {
      await this.clock.advance(STEP_MS, STEP_MS);
      this.turn();
      await this.clock.settle();
      checkRuns(this.agents, this.jobs, this.clock.now());
    }
  }

  /** Heals everything and checks that every caller who waited has an answer. */
  async settle(): Promise<void> {
    this.cutUntil.clear();
    for (const { gate } of [...this.entries, ...this.agents]) gate.wake();
    this.upstreams.wake();
    for (const { upstream } of this.agents) {
      upstream.fake.silent = false;
      upstream.fake.hangs = false;
      upstream.fake.fates.length = 0;
    }
    await this.advance(6_000);
    for (const job of this.jobs) {
      for (const { kind } of checkAnswers(job)) this.counts[kind] += 1;
    }
    const { written } = this;
    if (written) checkKnowledge([...this.entries, ...this.agents], written.revision);
    for (const agent of this.agents) {
      if (agent.upstream.fake.running.size > 0) throw new Error('something still runs that nobody waits for');
    }
  }

  /** Ends the loops of the sessions. */
  close(): void {
    for (const { core } of this.agents) core.close();
  }

  private submitAt(job: WorldJob, entry: WorldEntry, taskMs: number, patienceMs: number): void {
    const caller = new FakeCaller();
    job.callers.push({ caller, entry, leftAt: undefined });
    this.counts.submitted += 1;
    for (const { upstream } of this.agents) upstream.fake.taskMs = taskMs;
    const route = { ...ROUTE, maxAttempts: 3 };
    const step = { ...STEP, count: job.tasks, estimateMs: taskMs };
    const submission: JobSubmission = { id: job.id, route, spec: '', steps: [step], patienceMs };
    if (entry.gate.isFrozen) return this.leave(job, job.callers.at(-1));
    entry.core.submit(submission, caller, entry.gate.now());
    entry.core.place(entry.gate.now());
  }

  private leave(job: WorldJob, one: WorldJob['callers'][number] | undefined): void {
    if (!one || one.leftAt !== undefined) return;
    one.leftAt = this.clock.now();
    this.afterThaw(one.entry.gate, () => one.entry.core.abandon(job.id, one.caller, one.entry.gate.now()));
  }

  private afterThaw(gate: ProcessGate, run: () => void): void {
    if (!gate.isFrozen) return run();
    void gate.pass().then(run);
  }

  private killEntry(entry: WorldEntry): void {
    for (const link of [...this.links.values()]) if (link.entry === entry) this.breakLink(link);
    for (const job of this.jobs) {
      for (const one of job.callers) if (one.entry === entry) one.leftAt ??= this.clock.now();
    }
    entry.gate.dead = true;
    Object.assign(entry, this.createEntry(entry.index, entry.life + 1, entry.gate.createNext()));
  }

  private turn(): void {
    const now = this.clock.now();
    this.upstreams.restartCrashed(this.agents, (agent) => this.report(agent));
    this.restartAgents(now);
    this.dial(now);
    this.pingAll(now);
    this.deliver(now);
    if (now - this.lastReportAt >= REPORT_MS) {
      this.lastReportAt = now;
      for (const agent of this.agents) this.report(agent);
    }
    const ticks = now - this.lastTickAt >= TICK_MS;
    if (ticks) this.lastTickAt = now;
    for (const entry of this.entries) this.turnEntry(entry, ticks);
    if (ticks) for (const { core, gate } of this.agents) if (!gate.isFrozen && !gate.dead) core.tick();
  }

  private turnEntry(entry: WorldEntry, ticks: boolean): void {
    if (entry.gate.isFrozen) return;
    const now = entry.gate.now();
    if (now - entry.lastTurnAt > TIMES.orphanAfterMs) entry.core.endAll('paused', now);
    entry.lastTurnAt = now;
    if (ticks) entry.core.tick(now);
    entry.core.place(now);
  }

  private restartAgents(now: number): void {
    for (const agent of this.agents) {
      if (!agent.gate.dead || now < agent.restartAt) continue;
      const gate = agent.gate.createNext();
      const life = agent.life + 1;
      agent.lastLives.clear();
      const core = this.createCore(agent.index, life, gate, () => agent);
      Object.assign(agent, { life, gate, core, exchange: createAgentExchange(agent, core) });
      this.report(agent);
    }
  }

  private dial(now: number): void {
    for (const agent of this.agents) {
      if (agent.gate.dead || agent.gate.isFrozen) continue;
      for (const entry of this.entries) {
        const key = `${entry.index}/${agent.index}`;
        if (this.links.has(key) || now < (this.redialAt.get(key) ?? 0) || this.isCut(key)) continue;
        const link = createLink(entry, agent, agent.gate.now());
        this.links.set(key, link);
        this.toEntry(link, agent.core.buildHello(agent.lastLives.get(entry.index) ?? ''));
      }
    }
  }

  private pingAll(now: number): void {
    if (now - this.lastPingAt < TIMES.pingMs) return;
    this.lastPingAt = now;
    for (const link of this.links.values()) {
      const { gate } = link.agent;
      if (link.life !== '' && !gate.isFrozen && !gate.dead) this.toEntry(link, buildPing(link));
    }
  }

  private deliver(now: number): void {
    for (const [key, link] of [...this.links]) {
      if (this.isCut(key) || link.silent) continue;
      while (!link.broken && !link.entry.gate.isFrozen && (link.toEntry[0]?.at ?? Infinity) <= now) {
        const parcel = link.toEntry.shift();
        if (parcel) this.receiveAtEntry(link, parcel.message, link.entry.gate.now());
      }
      while (!link.broken && !link.agent.gate.isFrozen && (link.toAgent[0]?.at ?? Infinity) <= now) {
        const parcel = link.toAgent.shift();
        if (parcel) this.receiveAtAgent(link, parcel.message);
      }
    }
  }

  private receiveAtEntry(link: Link, message: ExecutorMessage, now: number): void {
    const { core, life, index, exchange } = link.entry;
    const reply = { send: (answer: PeerMessage) => this.toAgent(link, answer as DispatcherMessage) };
    if (exchange.receive(message, reply)) return;
    const entryLife = `entry-${index}@${life}`;
    if (message.type === 'agent-hello') {
      link.agentId = buildExecutorId(message);
      const place = { address: `entry-${index}`, failureDomain: 'x' };
      this.toAgent(link, { type: 'entry-welcome', entry: place.address, life: entryLife, place });
      core.handleHello(message, entryLife, now);
    }
    if (message.type === 'ping') {
      this.toAgent(link, buildPong(link.entry, message));
      compareEmptied(exchange, message, reply, now);
      core.handlePing(link.agentId, message, now);
    }
    if (message.type === 'room') core.handleCapacity(link.agentId, message, now);
    if (message.type === 'result') core.handleResult(link.agentId, message, now);
  }

  private receiveAtAgent(link: Link, message: DispatcherMessage): void {
    const { core, lastLives, exchange } = link.agent;
    const reply = { send: (request: PeerMessage) => this.toEntry(link, request as ExecutorMessage) };
    if (exchange.receive(message, reply)) return;
    if (message.type === 'entry-welcome') {
      const before = lastLives.get(link.entry.index);
      if (before !== undefined && before !== message.life) core.handleDispatcherReplaced(before);
      lastLives.set(link.entry.index, message.life);
      link.life = message.life;
      core.handleWelcome(message.life, link.openedAt);
      this.toEntry(link, buildPing(link));
    }
    if (message.type === 'pong') {
      core.handlePong(link.life, message);
      compareEmptied(exchange, message, reply, link.agent.gate.now());
    }
    if (message.type === 'start') takeStart(link, message);
    if (message.type === 'stop') core.handleStop(link.life, message);
  }

  private toEntry(link: Link, message: ExecutorMessage): void {
    link.toEntry.push({ at: this.clock.now() + this.nextRandom() * 4, message });
  }

  private toAgent(link: Link, message: DispatcherMessage): void {
    if (message.type === 'start' && knowsEmptied(link.entry, link.agent))
      throw new Error('an entry places in a domain that it knows to be emptied');
    link.toAgent.push({ at: this.clock.now() + this.nextRandom() * 4, message });
  }

  private breakLink(link: Link): void {
    const key = `${link.entry.index}/${link.agent.index}`;
    link.broken = true;
    if (this.links.get(key) === link) this.links.delete(key);
    this.redialAt.set(key, this.clock.now() + REDIAL_MS);
    const { core, gate } = link.entry;
    if (link.agentId !== '' && !link.silent) {
      this.afterThaw(gate, () => core.handleClose(link.agentId, 'broken', gate.now()));
    }
  }

  private isCut(key: string): boolean {
    return this.clock.now() < (this.cutUntil.get(key) ?? 0);
  }

  private report(agent: WorldAgent): void {
    if (agent.gate.dead || agent.gate.isFrozen) return;
    agent.core.handleReport(this.upstreams.buildReport(agent, agent.upstream.life));
  }

  private buildLateHello(index: number, life: number): ExecutorHello {
    const { gate } = pickOne(this.agents, index);
    return this.createCore(index, life, gate, () => pickOne(this.agents, index)).buildHello('');
  }

  private createEntry(index: number, life: number, gate = new ProcessGate(this.clock)): WorldEntry {
    const core = new Dispatcher(
      {
        pingMs: TIMES.pingMs,
        ...createPolicies(),
        crashLimit: this.crashLimit,
        nextRandom: this.nextRandom,
      },
      {
        send: (agentId, message) => {
          for (const link of this.links.values()) {
            if (link.entry.index === index && link.agentId === agentId) this.toAgent(link, message);
          }
        },
        log: () => undefined,
        recordOutcome: () => undefined,
      },
    );
    const exchange = new OperatorExchange({
      changeConfiguration: () => undefined,
      changeEmptied: ({ domains }) => core.setEmptied(domains),
    });
    if (this.written) exchange.adoptEmptied(this.written, 'store');
    return { exchange, index, life, gate, lastTurnAt: gate.now(), core };
  }

  private createAgent(index: number): WorldAgent {
    const gate = new ProcessGate(this.clock);
    const upstream = this.upstreams.create(index);
    const agent = {
      index,
      life: 1,
      gate,
      restartAt: 0,
      upstream,
      lastLives: new Map(),
    } as unknown as WorldAgent;
    agent.core = this.createCore(index, 1, gate, () => agent);
    agent.exchange = createAgentExchange(agent, agent.core);
    return agent;
  }

  private createCore(index: number, life: number, gate: ProcessGate, find: () => WorldAgent): Executor {
    return new Executor(
      {
        id: `agent-${index}`,
        incarnation: String(life),
        failureDomain: findDomain({ index }),
        startedAt: FIRST_START_MS + this.clock.now(),
      },
      { ...TIMES, maxLeaseMs: MAX_LEASE_MS, stopMs: STOP_MS },
      gate,
      {
        openApi: ({ id }) => new GatedExecutor(this.upstreams.openExecutor(id, find), gate),
        sendResult: (entryLife, result) => {
          for (const link of this.links.values()) {
            if (link.agent.index === index && link.life === entryLife && !gate.dead)
              this.toEntry(link, result);
          }
        },
        sendCrashes: () => undefined,
        handleJoined: () => undefined,
        handleChange: () => undefined,
        handleCapacityChange: () => undefined,
        log: () => undefined,
      },
    );
  }
}
