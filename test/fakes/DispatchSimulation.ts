/**
 * Simulation of dispatchers, executors and upstreams on a virtual clock, with link faults, process faults and callers
 * that submit again elsewhere. Dispatchers and executors are production code; the invariants are checked after each step.
 */
import { createRandom } from '../../src/_lib/createRandom.js';
import type {
  ExecutorHello,
  ExecutorMessage,
  DispatcherMessage,
  PeerMessage,
} from '../../src/connection/peer/peerMessages.js';
import { ROUTE, STEP } from './dispatchFixtures.js';
import type { JobSubmission } from '../../src/request/dispatch/submission.js';
import type { EmptiedDomains } from '../../src/version/emptiedDomains.js';
import type { Executor } from '../../src/process/executor/Executor.js';
import { buildExecutorId } from '../../src/process/dispatcher/ExecutorView.js';
import { OperatorExchange } from '../../src/process/OperatorExchange.js';
import { checkAnswers, checkEmptiedRevision, checkRuns, RESUBMIT_MS } from './checkDispatchSimulation.js';
import {
  applyWrittenChange,
  compareEmptied,
  createExecutorExchange,
  DOMAINS,
  isKnownEmptied,
  handleStart,
} from './dispatchSimulationDomains.js';
import { createDispatcherCore, createExecutorCore, TIMES } from './dispatchSimulationCores.js';
import { SimUpstreams } from './dispatchSimulationUpstreams.js';
import { buildEntryLife, buildPing, buildPong, createLink, pickOne } from './dispatchSimulationState.js';
import type { Link, SimCaller, SimExecutor, SimDispatcher, SimJob } from './dispatchSimulationState.js';
import { FakeCaller } from './FakeCaller.js';
import { FakeClock } from './FakeClock.js';
import { GatedUpstreamApi, ProcessGate } from './ProcessGate.js';

export const DISPATCHERS = 2;
export const EXECUTORS = 3;

const STEP_MS = 5;
const TICK_MS = 40;
const RECONNECT_MS = 60;
const REPORT_MS = 500;
/** Time after the end of all faults in which every waiting caller gets its answer, ms. */
const SETTLE_MS = 6_000;
const RESTART_MS = 300;
/** Time of day at the start of a run, Unix ms. */
const FIRST_START_MS = 1_000_000;

/** Small deployment in memory. */
export class DispatchSimulation {
  readonly clock = new FakeClock();
  readonly jobs: SimJob[] = [];
  /** Answers by kind. */
  readonly counts = { submitted: 0, completed: 0, interrupted: 0, refused: 0, rejected: 0, failed: 0 };
  private readonly nextRandom: () => number;
  protected readonly dispatchers: SimDispatcher[];
  protected readonly executors: SimExecutor[];
  protected readonly links = new Map<string, Link>();
  private readonly cutUntil = new Map<string, number>();
  private readonly reconnectAt = new Map<string, number>();
  private lastTickAt = 0;
  private lastPingAt = 0;
  private lastReportAt = 0;
  protected readonly upstreams: SimUpstreams;
  /** Newest record of emptied failure domains; undefined for none. */
  private written: EmptiedDomains | undefined;

  /**
   * @param seed - of the random numbers
   * @param keepsIds - whether incarnations of an upstream share an id, each with its own report sequence
   * @param crashLimit - the dispatchers' crash limit
   * @param clockRates - rates of the upstreams' clocks, by index of the executor; 1 if not set
   */
  constructor(
    seed: number,
    keepsIds = false,
    private readonly crashLimit = 0,
    clockRates: readonly number[] = [],
  ) {
    this.upstreams = new SimUpstreams(this.clock, keepsIds, clockRates);
    this.nextRandom = createRandom(seed);
    this.dispatchers = Array.from({ length: DISPATCHERS }, (_, index) => this.createDispatcher(index, 1));
    this.executors = Array.from({ length: EXECUTORS }, (_, index) => this.createExecutor(index));
  }

  /** Submits a job. */
  submit(dispatcherIndex: number, tasks: number, taskMs: number, patienceMs: number): void {
    const job: SimJob = { id: `job${this.jobs.length}`, tasks, callers: [], started: false };
    this.jobs.push(job);
    this.submitAt(job, pickOne(this.dispatchers, dispatcherIndex), taskMs, patienceMs);
  }

  /** Submits a job whose task crashes each upstream that starts it. Returns the times of the crashes. */
  submitPoison(dispatcherIndex: number, taskMs: number, patienceMs: number): number[] {
    this.upstreams.setPoison(`job${this.jobs.length}`, this.executors);
    this.submit(dispatcherIndex, 1, taskMs, patienceMs);
    return this.upstreams.crashedAt;
  }

  /** A caller leaves and submits again at another dispatcher after the resubmit delay. */
  async resubmit(jobIndex: number, dispatcherIndex: number): Promise<void> {
    const job = this.jobs[jobIndex % Math.max(1, this.jobs.length)];
    const last = job?.callers.at(-1);
    if (!job || !last || last.caller.answers.length > 0) return;
    this.leave(job, last);
    await this.advance(RESUBMIT_MS);
    this.submitAt(job, pickOne(this.dispatchers, dispatcherIndex), 60, 3_000);
  }

  /** Freezes a dispatcher or executor. */
  freeze(kind: 'entry' | 'agent', index: number, ms: number): void {
    const { gate } = kind === 'entry' ? pickOne(this.dispatchers, index) : pickOne(this.executors, index);
    gate.frozenUntil = this.clock.now() + ms;
  }

  /** Suspends the VM of a dispatcher or executor, alone or with its upstream, and steps its time of day. */
  suspend(kind: 'entry' | 'agent', index: number, ms: number, withUpstream: boolean, stepMs: number): void {
    const process = kind === 'entry' ? pickOne(this.dispatchers, index) : pickOne(this.executors, index);
    process.gate.suspend(ms);
    process.gate.stepTimeOfDay(stepMs);
    if (kind === 'agent' && withUpstream) this.upstreams.suspend(pickOne(this.executors, index), ms);
  }

  /** Steps the time of day of a dispatcher or executor. */
  stepTimeOfDay(kind: 'entry' | 'agent', index: number, ms: number): void {
    const { gate } = kind === 'entry' ? pickOne(this.dispatchers, index) : pickOne(this.executors, index);
    gate.stepTimeOfDay(ms);
  }

  /** Kills a process; its next incarnation starts later. */
  kill(kind: 'entry' | 'agent', index: number): void {
    if (kind === 'entry') return this.killDispatcher(pickOne(this.dispatchers, index));
    this.killExecutor(index, RESTART_MS);
  }

  /** Kills an executor; its next incarnation starts after the given time. */
  killExecutor(index: number, downMs: number): void {
    const executor = pickOne(this.executors, index);
    executor.gate.dead = true;
    executor.restartAt = this.clock.now() + downMs;
    for (const link of [...this.links.values()]) if (link.executor === executor) this.breakLink(link);
  }

  /** Stalls the link between a dispatcher and an executor; messages are delayed or lost. */
  cut(dispatcherIndex: number, executorIndex: number, ms: number): void {
    const key = `${dispatcherIndex % DISPATCHERS}/${executorIndex % EXECUTORS}`;
    this.cutUntil.set(key, this.clock.now() + ms);
  }

  /** Resets a connection. */
  reset(dispatcherIndex: number, executorIndex: number): void {
    const link = this.links.get(`${dispatcherIndex % DISPATCHERS}/${executorIndex % EXECUTORS}`);
    if (link) this.breakLink(link);
  }

  /** Empties or restores a failure domain. One dispatcher reads the change; all other processes receive it on links. */
  changeDomain(domainIndex: number, isEmptied: boolean, dispatcherIndex: number): void {
    const domain = pickOne(DOMAINS, domainIndex);
    const written = applyWrittenChange(this.written, domain, isEmptied);
    this.written = written;
    const { gate, exchange } = pickOne(this.dispatchers, dispatcherIndex);
    this.runWhenAwake(gate, () => exchange.adoptEmptied(written, 'store'));
  }

  /** Crashes an upstream; its next incarnation starts and reports itself. */
  crash(index: number): void {
    const executor = pickOne(this.executors, index);
    this.upstreams.end(executor);
    this.upstreams.begin(executor);
    this.report(executor);
  }

  /** Crashes an upstream and restarts it later; it reports itself at once or with its next report. */
  async restartUpstream(index: number, downMs: number, reportsAtOnce: boolean): Promise<void> {
    const executor = pickOne(this.executors, index);
    this.upstreams.end(executor);
    await this.advance(downMs);
    this.upstreams.begin(executor);
    if (reportsAtOnce) this.report(executor);
  }

  /** Makes a connection unresponsive; its executor closes it later, which the dispatcher does not notice. */
  async blockConnection(dispatcherIndex: number, executorIndex: number, ms: number): Promise<void> {
    const link = this.links.get(`${dispatcherIndex % DISPATCHERS}/${executorIndex % EXECUTORS}`);
    if (!link) return;
    link.silent = true;
    await this.advance(ms);
    if (!link.broken) this.breakLink(link);
  }

  /** Replaces an upstream by its next incarnation, which answers at once. */
  replace(index: number): void {
    const executor = pickOne(this.executors, index);
    this.upstreams.replace(executor);
    this.report(executor);
  }

  /** Delivers a delayed report of an earlier incarnation of an upstream. */
  deliverLateReport(index: number): void {
    const executor = pickOne(this.executors, index);
    const { gate, core, upstream } = executor;
    if (gate.dead || gate.isFrozen || upstream.incarnation === 1) return;
    core.handleReport(this.upstreams.buildReport(executor, upstream.incarnation - 1));
  }

  /** Delivers the delayed first message of an earlier incarnation of an executor, then closes its link. */
  async deliverLateHello(dispatcherIndex: number, executorIndex: number): Promise<void> {
    const peer = pickOne(this.dispatchers, dispatcherIndex);
    const { index, incarnation } = pickOne(this.executors, executorIndex);
    if (peer.gate.isFrozen || peer.gate.dead || incarnation === 1) return;
    const hello = this.buildLateHello(index, incarnation - 1);
    const id = peer.core.handleHello(hello, buildEntryLife(peer), peer.gate.now());
    await this.advance(STEP_MS);
    if (!peer.gate.isFrozen) peer.core.handleClose(id, 'ended', peer.gate.now());
  }

  /** Makes the next calls to an upstream fail, or succeed without an answer. */
  setFates(index: number, fate: 'lost' | 'unanswered', count: number): void {
    const { fake } = pickOne(this.executors, index).upstream;
    for (let i = 0; i < count; i += 1) fake.fates.push(fate);
  }

  /** Makes an upstream unresponsive for some time. */
  async blockUpstream(index: number, ms: number): Promise<void> {
    const { fake } = pickOne(this.executors, index).upstream;
    fake.silent = true;
    await this.advance(ms);
    fake.silent = false;
  }

  /** Stalls or resumes the tasks of an upstream. */
  hang(index: number, hangs: boolean): void {
    pickOne(this.executors, index).upstream.fake.hangs = hangs;
  }

  /** Changes the capacity of an upstream, which it reports at once or with its next report. */
  changeCapacity(index: number, tasks: number, reportsAtOnce: boolean): void {
    const executor = pickOne(this.executors, index);
    executor.upstream.capacityTasks = tasks;
    if (reportsAtOnce) this.report(executor);
  }

  /** Advances time. */
  async advance(ms: number): Promise<void> {
    const until = this.clock.now() + ms;
    while (this.clock.now() < until) {
      await this.clock.advance(STEP_MS, STEP_MS);
      this.step();
      await this.clock.settle();
      this.check();
    }
  }

  /** Checks the invariants after a step. */
  protected check(): void {
    checkRuns(this.executors, this.jobs, this.clock.now());
  }

  /** Ends all faults and checks that every waiting caller has an answer. */
  async settle(): Promise<void> {
    this.cutUntil.clear();
    for (const { gate } of [...this.dispatchers, ...this.executors]) gate.wake();
    this.upstreams.wake();
    for (const { upstream } of this.executors) {
      upstream.fake.silent = false;
      upstream.fake.hangs = false;
      upstream.fake.fates.length = 0;
    }
    await this.advanceUntilIdle();
    for (const job of this.jobs) {
      for (const { kind } of checkAnswers(job)) this.counts[kind] += 1;
    }
    const { written } = this;
    if (written) checkEmptiedRevision([...this.dispatchers, ...this.executors], written.revision);
    for (const executor of this.executors) {
      if (executor.upstream.fake.running.size > 0) throw new Error('a task runs without a caller');
    }
  }

  /** Stops all sessions. */
  close(): void {
    for (const { core } of this.executors) core.close();
  }

  /** Advances time until every waiting caller must have its answer. */
  protected async advanceUntilIdle(): Promise<void> {
    await this.advance(SETTLE_MS);
  }

  protected submitAt(job: SimJob, dispatcher: SimDispatcher, taskMs: number, patienceMs: number): void {
    const caller = new FakeCaller();
    const spec = String(job.callers.length);
    job.callers.push({ caller, dispatcher, entryLife: buildEntryLife(dispatcher), leftAt: undefined });
    this.counts.submitted += 1;
    for (const { upstream } of this.executors) upstream.fake.taskMs = taskMs;
    const route = { ...ROUTE, maxAttempts: 3 };
    const step = { ...STEP, count: job.tasks, estimateMs: taskMs };
    const submission: JobSubmission = { id: job.id, route, spec, steps: [step], patienceMs };
    if (dispatcher.gate.isFrozen) return this.leave(job, job.callers.at(-1));
    dispatcher.core.submit(submission, caller, dispatcher.gate.now());
    dispatcher.core.place(dispatcher.gate.now());
  }

  protected leave(job: SimJob, one: SimCaller | undefined): void {
    if (!one || one.leftAt !== undefined) return;
    one.leftAt = this.clock.now();
    this.runWhenAwake(one.dispatcher.gate, () =>
      one.dispatcher.core.abandon(job.id, one.caller, one.dispatcher.gate.now()),
    );
  }

  protected runWhenAwake(gate: ProcessGate, run: () => void): void {
    if (!gate.isFrozen) return run();
    void gate.waitUntilAwake().then(run);
  }

  private killDispatcher(dead: SimDispatcher): void {
    for (const link of [...this.links.values()]) if (link.dispatcher === dead) this.breakLink(link);
    for (const job of this.jobs) {
      for (const one of job.callers) if (one.dispatcher === dead) one.leftAt ??= this.clock.now();
    }
    dead.gate.dead = true;
    Object.assign(dead, this.createDispatcher(dead.index, dead.incarnation + 1, dead.gate.createNext()));
  }

  protected step(): void {
    const now = this.clock.now();
    this.upstreams.restartCrashed(this.executors, (executor) => this.report(executor));
    this.restartExecutors(now);
    this.openLinks(now);
    this.pingAll(now);
    this.deliver(now);
    if (now - this.lastReportAt >= REPORT_MS) {
      this.lastReportAt = now;
      for (const executor of this.executors) this.report(executor);
    }
    const ticks = now - this.lastTickAt >= TICK_MS;
    if (ticks) this.lastTickAt = now;
    for (const dispatcher of this.dispatchers) this.stepDispatcher(dispatcher, ticks);
    if (ticks) for (const { core, gate } of this.executors) if (!gate.isFrozen && !gate.dead) core.tick();
  }

  private stepDispatcher(dispatcher: SimDispatcher, ticks: boolean): void {
    if (dispatcher.gate.isFrozen) return;
    const now = dispatcher.gate.now();
    if (now - dispatcher.lastStepAt > TIMES.orphanAfterMs) dispatcher.core.endAll('paused', now);
    dispatcher.lastStepAt = now;
    if (ticks) dispatcher.core.tick(now);
    dispatcher.core.place(now);
  }

  private restartExecutors(now: number): void {
    for (const executor of this.executors) {
      if (!executor.gate.dead || now < executor.restartAt) continue;
      const gate = executor.gate.createNext();
      const incarnation = executor.incarnation + 1;
      executor.lastIncarnations.clear();
      const core = this.buildCore(executor.index, incarnation, gate, () => executor);
      Object.assign(executor, { incarnation, gate, core, exchange: createExecutorExchange(executor, core) });
      this.report(executor);
    }
  }

  private openLinks(now: number): void {
    for (const executor of this.executors) {
      if (executor.gate.dead || executor.gate.isFrozen) continue;
      for (const dispatcher of this.dispatchers) {
        const key = `${dispatcher.index}/${executor.index}`;
        if (this.links.has(key) || now < (this.reconnectAt.get(key) ?? 0) || this.isCut(key)) continue;
        const link = createLink(dispatcher, executor, executor.gate.now());
        this.links.set(key, link);
        this.sendForth(link, executor.core.buildHello(executor.lastIncarnations.get(dispatcher.index) ?? ''));
      }
    }
  }

  private pingAll(now: number): void {
    if (now - this.lastPingAt < TIMES.pingMs) return;
    this.lastPingAt = now;
    for (const link of this.links.values()) {
      const { gate } = link.executor;
      if (link.incarnation !== '' && !gate.isFrozen && !gate.dead) this.sendForth(link, buildPing(link));
    }
  }

  private deliver(now: number): void {
    for (const [key, link] of [...this.links]) {
      if (this.isCut(key) || link.silent) continue;
      while (!link.broken && !link.dispatcher.gate.isFrozen && (link.forth[0]?.at ?? Infinity) <= now) {
        const delivery = link.forth.shift();
        if (delivery) this.receiveAtDispatcher(link, delivery.message, link.dispatcher.gate.now());
      }
      while (!link.broken && !link.executor.gate.isFrozen && (link.back[0]?.at ?? Infinity) <= now) {
        const delivery = link.back.shift();
        if (delivery) this.receiveAtExecutor(link, delivery.message);
      }
    }
  }

  protected receiveAtDispatcher(link: Link, message: ExecutorMessage, now: number): void {
    const { core, index, exchange } = link.dispatcher;
    const reply = { send: (answer: PeerMessage) => this.sendBack(link, answer as DispatcherMessage) };
    if (exchange.receive(message, reply)) return;
    const name = buildEntryLife(link.dispatcher);
    if (message.type === 'agent-hello') {
      link.executorId = buildExecutorId(message);
      const place = { address: `entry-${index}`, failureDomain: 'x' };
      this.sendBack(link, { type: 'entry-welcome', entry: place.address, life: name, place });
      core.handleHello(message, name, now);
    }
    if (message.type === 'ping') {
      this.sendBack(link, buildPong(link.dispatcher, message));
      compareEmptied(exchange, message, reply, now);
      core.handlePing(link.executorId, message, now);
    }
    if (message.type === 'room') core.handleCapacity(link.executorId, message, now);
    if (message.type === 'result') core.handleResult(link.executorId, message, now);
  }

  private receiveAtExecutor(link: Link, message: DispatcherMessage): void {
    const { core, lastIncarnations, exchange } = link.executor;
    const reply = { send: (request: PeerMessage) => this.sendForth(link, request as ExecutorMessage) };
    if (exchange.receive(message, reply)) return;
    if (message.type === 'entry-welcome') {
      const before = lastIncarnations.get(link.dispatcher.index);
      if (before !== undefined && before !== message.life) core.handleDispatcherReplaced(before);
      lastIncarnations.set(link.dispatcher.index, message.life);
      link.incarnation = message.life;
      core.handleWelcome(message.life, link.openedAt);
      this.sendForth(link, buildPing(link));
    }
    if (message.type === 'pong') {
      core.handlePong(link.incarnation, message);
      compareEmptied(exchange, message, reply, link.executor.gate.now());
    }
    if (message.type === 'start') handleStart(link, message);
    if (message.type === 'stop') core.handleStop(link.incarnation, message);
  }

  private sendForth(link: Link, message: ExecutorMessage): void {
    link.forth.push({ at: this.clock.now() + this.nextRandom() * 4, message });
  }

  private sendBack(link: Link, message: DispatcherMessage): void {
    if (message.type === 'start' && isKnownEmptied(link.dispatcher, link.executor))
      throw new Error('a dispatcher starts a task in a domain that it has received as emptied');
    link.back.push({ at: this.clock.now() + this.nextRandom() * 4, message });
  }

  protected breakLink(link: Link): void {
    const key = `${link.dispatcher.index}/${link.executor.index}`;
    link.broken = true;
    if (this.links.get(key) === link) this.links.delete(key);
    this.reconnectAt.set(key, this.clock.now() + RECONNECT_MS);
    const { core, gate } = link.dispatcher;
    if (link.executorId !== '' && !link.silent) {
      this.runWhenAwake(gate, () => core.handleClose(link.executorId, 'broken', gate.now()));
    }
  }

  private isCut(key: string): boolean {
    return this.clock.now() < (this.cutUntil.get(key) ?? 0);
  }

  private report(executor: SimExecutor): void {
    if (executor.gate.dead || executor.gate.isFrozen) return;
    executor.core.handleReport(this.upstreams.buildReport(executor, executor.upstream.incarnation));
  }

  private buildLateHello(index: number, incarnation: number): ExecutorHello {
    const { gate } = pickOne(this.executors, index);
    return this.buildCore(index, incarnation, gate, () => pickOne(this.executors, index)).buildHello('');
  }

  private createDispatcher(
    at: number,
    incarnation: number,
    gate = new ProcessGate(this.clock),
  ): SimDispatcher {
    const core = createDispatcherCore(this.crashLimit, this.nextRandom, (id, message) => {
      for (const link of this.links.values()) {
        if (link.dispatcher.index === at && link.executorId === id) this.sendBack(link, message);
      }
    });
    const exchange = new OperatorExchange({
      changeConfiguration: () => undefined,
      changeEmptied: ({ domains }) => core.setEmptied(domains),
    });
    if (this.written) exchange.adoptEmptied(this.written, 'store');
    return { exchange, index: at, incarnation, gate, lastStepAt: gate.now(), core };
  }

  private createExecutor(index: number): SimExecutor {
    const gate = new ProcessGate(this.clock);
    const upstream = this.upstreams.create(index);
    const executor = {
      index,
      incarnation: 1,
      gate,
      restartAt: 0,
      upstream,
      lastIncarnations: new Map(),
    } as unknown as SimExecutor;
    executor.core = this.buildCore(index, 1, gate, () => executor);
    executor.exchange = createExecutorExchange(executor, executor.core);
    return executor;
  }

  private buildCore(at: number, incarnation: number, gate: ProcessGate, find: () => SimExecutor): Executor {
    const startedAt = FIRST_START_MS + this.clock.now();
    return createExecutorCore({ index: at, incarnation, startedAt }, gate, {
      openApi: ({ id }) => new GatedUpstreamApi(this.upstreams.openApi(id, find), gate),
      sendResult: (name, result) => {
        for (const link of this.links.values()) {
          if (link.executor.index === at && link.incarnation === name && !gate.dead)
            this.sendForth(link, result);
        }
      },
    });
  }
}
