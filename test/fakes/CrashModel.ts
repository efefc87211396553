/**
 * Model of tasks that crash upstreams, on virtual time. Dispatchers are production code and exchange suspects; the
 * simulated executors handle suspects and crashes as `Executor` does.
 */
import { createRandom } from '../../src/_lib/createRandom.js';
import { OTHER_SUSPECT, UPSTREAM_CRASHED } from '../../src/connection/peer/peerMessages.js';
import type { AttemptEnd, DispatcherMessage, StartOrder } from '../../src/connection/peer/peerMessages.js';
import { Dispatcher } from '../../src/process/dispatcher/Dispatcher.js';
import { PreferredPlacement } from '../../src/process/dispatcher/Placement.js';
import { UnboundedWindow } from '../../src/process/dispatcher/SendWindow.js';
import { JobBounds } from '../../src/request/dispatch/JobBounds.js';
import type { JobOutcome, StepNeed } from '../../src/request/dispatch/submission.js';
import { ROUTE, STEP, WIDE_LIMITS } from './dispatchFixtures.js';

const STEP_MS = 2;
const TICK_MS = 40;
const PING_MS = 100;
const TRANSIT_MS = 1;
/** Time from a crash until the executor detects it, and until the upstream runs again, ms. */
const DETECTION_MS = 700;
const DOWN_MS = 3_000;
/** Caller's timeout, and the delay before it submits again, ms. */
const CALLER_TIMEOUT_MS = 2_000;
const RESUBMIT_MS = 1_300;
/** Submissions after which a caller gives up. */
const MAX_SUBMISSIONS = 5;
const CAPACITY = { cpuMilli: 12_000, memoryMb: 1_000_000, gpus: 0 };

/** Parameters of a run. */
export interface CrashScenario {
  readonly seed: number;
  readonly crashLimit: number;
  readonly upstreams: number;
  readonly domains: number;
  readonly dispatchers: number;
}

interface Run {
  readonly order: StartOrder;
  readonly dispatcher: ModelDispatcher;
  readonly dispatcherIncarnation: number;
  readonly startedAt: number;
}

interface ModelUpstream {
  readonly number: number;
  incarnation: number;
  runs: Run[];
  downUntil: number;
  readonly domain: string;
}

interface ModelDispatcher {
  readonly number: number;
  core: Dispatcher;
  incarnation: number;
  readonly seen: number[];
}

/** Job with its submissions and its outcome. */
export interface ModelJob {
  readonly id: string;
  /** Index of the task that crashes upstreams; -1 for none. */
  readonly poison: number;
  readonly steps: readonly StepNeed[];
  submissions: number;
  dispatcher: number;
  submittedAt: number;
  outcome: JobOutcome['kind'] | undefined;
  resubmitAt: number;
  /** Starts of the poison task, crashes that it caused, and starts after the third crash. */
  starts: number;
  crashes: number;
  lateStarts: number;
}

/** Deployment in memory in which upstreams crash. */
export class CrashModel {
  readonly jobs: ModelJob[] = [];
  /** Crashes of upstreams by their cause. */
  readonly crashes = { poison: 0, other: 0 };
  readonly events: string[] = [];
  private now = 0;
  private readonly scheduled: { readonly at: number; readonly act: () => void }[] = [];
  private readonly nextRandom: () => number;
  private readonly upstreams: ModelUpstream[];
  private readonly dispatchers: ModelDispatcher[];

  constructor(private readonly scenario: CrashScenario) {
    this.nextRandom = createRandom(scenario.seed);
    this.upstreams = Array.from({ length: scenario.upstreams }, (_, number) => {
      const domain = `d${number % scenario.domains}`;
      return { number, incarnation: 1, runs: [], downUntil: 0, domain };
    });
    this.dispatchers = Array.from({ length: scenario.dispatchers }, (_, number) => {
      const seen = this.upstreams.map(() => 0);
      return { number, core: this.createDispatcher(number), incarnation: 1, seen };
    });
    for (const dispatcher of this.dispatchers)
      for (const upstream of this.upstreams) this.link(dispatcher, upstream);
  }

  /** Submits a job of parallel tasks. */
  submit(tasks: number, estimateMs: number, poison = -1): ModelJob {
    const dispatcher = Math.floor(this.nextRandom() * this.dispatchers.length);
    const steps = [{ ...STEP, count: tasks, estimateMs }];
    const counts = { submissions: 0, starts: 0, crashes: 0, lateStarts: 0 };
    const times = { submittedAt: 0, resubmitAt: Infinity };
    const job = {
      id: `j${this.jobs.length}`,
      poison,
      steps,
      dispatcher,
      outcome: undefined,
      ...counts,
      ...times,
    };
    this.jobs.push(job);
    this.sendSubmission(job);
    return job;
  }

  /** Crashes an upstream without a poison task. */
  crash(number: number): void {
    this.crashes.other += 1;
    this.crashUpstream(this.upstreams[number] as ModelUpstream);
  }

  /** Crashes all upstreams of a failure domain, or all upstreams, within 300 ms. */
  crashDomain(domain?: string): void {
    for (const { number, domain: own } of this.upstreams) {
      if (domain === undefined || own === domain)
        this.schedule(this.nextRandom() * 300, () => this.crash(number));
    }
  }

  /** Replaces a dispatcher by its next incarnation; its callers lose their connections. */
  killDispatcher(number: number): void {
    const dispatcher = this.dispatchers[number] as ModelDispatcher;
    for (const upstream of this.upstreams)
      upstream.runs = upstream.runs.filter((run) => run.dispatcher !== dispatcher);
    dispatcher.incarnation += 1;
    dispatcher.core = this.createDispatcher(number);
    dispatcher.seen.fill(0);
    for (const other of this.dispatchers)
      if (other !== dispatcher) dispatcher.core.adoptSuspects(other.core.suspects.list(), this.now);
    for (const upstream of this.upstreams) this.link(dispatcher, upstream);
    for (const job of this.jobs)
      if (job.outcome === undefined && job.dispatcher === number)
        this.scheduleResubmission(job, this.now + RESUBMIT_MS);
  }

  /** Replaces an executor by its next incarnation, which stops all running tasks. */
  killExecutor(number: number): void {
    const upstream = this.upstreams[number] as ModelUpstream;
    upstream.incarnation += 1;
    upstream.runs = [];
    for (const dispatcher of this.dispatchers) {
      dispatcher.seen[number] = 0;
      this.link(dispatcher, upstream);
    }
  }

  /** Advances time. */
  advance(ms: number, act?: (now: number) => void): void {
    for (const until = this.now + ms; this.now < until;) {
      this.now += STEP_MS;
      act?.(this.now);
      this.step();
    }
  }

  private step(): void {
    for (let at = 0; at < this.scheduled.length; at += 1) {
      const item = this.scheduled[at];
      if (!item || item.at > this.now) continue;
      this.scheduled.splice(at, 1);
      at -= 1;
      item.act();
    }
    for (const upstream of this.upstreams) this.stepUpstream(upstream);
    for (const job of this.jobs) if (this.now >= job.resubmitAt) this.resubmit(job);
    for (const dispatcher of this.dispatchers) this.stepDispatcher(dispatcher);
  }

  private stepDispatcher(dispatcher: ModelDispatcher): void {
    const { core } = dispatcher;
    if (this.now % PING_MS === 0) for (const upstream of this.upstreams) this.ping(dispatcher, upstream);
    if (this.now % TICK_MS === 0) core.tick(this.now);
    core.place(this.now);
    const news = core.suspects.takeUpdates();
    if (news.length === 0) return;
    for (const other of this.dispatchers)
      if (other !== dispatcher)
        this.schedule(TRANSIT_MS, () => void other.core.adoptSuspects(news, this.now));
  }

  private stepUpstream(upstream: ModelUpstream): void {
    for (const run of upstream.runs) {
      const { name, estimateMs } = run.order;
      const job = this.findJob(name.job);
      const ranMs = this.now - run.startedAt;
      if (job.poison === name.index && ranMs >= estimateMs / 2) {
        job.crashes += 1;
        this.crashes.poison += 1;
        return this.crashUpstream(upstream);
      }
    }
    const done = upstream.runs.filter(
      ({ order, startedAt }) => this.now - startedAt >= order.estimateMs * 0.9,
    );
    upstream.runs = upstream.runs.filter((run) => !done.includes(run));
    for (const run of done) this.sendResult(run, upstream, 'done', 'done');
  }

  private crashUpstream(upstream: ModelUpstream): void {
    const lost = upstream.runs;
    upstream.runs = [];
    upstream.downUntil = this.now + DOWN_MS;
    this.schedule(DETECTION_MS, () => {
      for (const run of lost) this.reportLost(run, upstream);
    });
  }

  /** Reports a lost task to its dispatcher, or to another one if that has been replaced. */
  private reportLost(run: Run, upstream: ModelUpstream): void {
    if (run.dispatcher.incarnation === run.dispatcherIncarnation)
      return this.sendResult(run, upstream, 'lost', UPSTREAM_CRASHED);
    const successor = this.dispatchers.find((dispatcher) => dispatcher !== run.dispatcher);
    const { name, estimateMs, isSuspect } = run.order;
    const { job, step, index } = name;
    const ranMs = this.now - run.startedAt;
    const task = { job, step, index, estimateMs, ranMs, isIsolated: isSuspect === true };
    successor?.core.handleCrashes(this.buildExecutorId(upstream), [task], this.now);
  }

  private sendResult(run: Run, upstream: ModelUpstream, end: AttemptEnd, reason: string): void {
    const executor = this.buildExecutorId(upstream);
    this.schedule(TRANSIT_MS, () => {
      if (run.dispatcher.incarnation !== run.dispatcherIncarnation) return;
      run.dispatcher.core.handleResult(
        executor,
        { type: 'result', name: run.order.name, end, reason },
        this.now,
      );
    });
  }

  private receive(dispatcher: ModelDispatcher, upstream: ModelUpstream, message: DispatcherMessage): void {
    if (message.type === 'stop') {
      const run = upstream.runs.find(
        (one) => one.dispatcher === dispatcher && isSame(one.order.name, message.name),
      );
      if (!run) return;
      upstream.runs = upstream.runs.filter((one) => one !== run);
      return this.sendResult(run, upstream, 'stopped', 'stopped-by-entry');
    }
    if (message.type !== 'start') return;
    dispatcher.seen[upstream.number] = (dispatcher.seen[upstream.number] ?? 0) + 1;
    const run = {
      order: message,
      dispatcher,
      dispatcherIncarnation: dispatcher.incarnation,
      startedAt: this.now,
    };
    const refusal = this.findRejection(upstream, message);
    if (refusal !== undefined) return this.sendResult(run, upstream, 'not-run', refusal);
    upstream.runs.push(run);
    const job = this.findJob(message.name.job);
    if (job.poison !== message.name.index) return;
    job.starts += 1;
    if (job.crashes >= 3) job.lateStarts += 1;
  }

  private findRejection(upstream: ModelUpstream, { isSuspect, resources }: StartOrder): string | undefined {
    if (upstream.downUntil > this.now) return 'no-upstream';
    if (isSuspect && upstream.runs.some(({ order }) => order.isSuspect)) return OTHER_SUSPECT;
    return this.findFree(upstream).cpuMilli < resources.cpuMilli ? 'full' : undefined;
  }

  private sendSubmission(job: ModelJob): void {
    job.submissions += 1;
    job.submittedAt = this.now;
    job.resubmitAt = Infinity;
    const { id, steps } = job;
    const { submissions } = job;
    const answer = (outcome: JobOutcome): void => {
      if (job.submissions === submissions) this.handleAnswer(job, outcome);
    };
    const submission = { id, route: ROUTE, spec: '', steps, patienceMs: CALLER_TIMEOUT_MS };
    this.dispatchers[job.dispatcher]?.core.submit(submission, { answer }, this.now);
  }

  private handleAnswer(job: ModelJob, { kind }: JobOutcome): void {
    if (kind === 'interrupted' || kind === 'refused')
      return this.scheduleResubmission(job, this.now + RESUBMIT_MS);
    job.outcome = kind;
    job.resubmitAt = Infinity;
  }

  private scheduleResubmission(job: ModelJob, at: number): void {
    job.resubmitAt = job.submissions < MAX_SUBMISSIONS ? at : Infinity;
  }

  private resubmit(job: ModelJob): void {
    job.dispatcher = (job.dispatcher + 1) % this.dispatchers.length;
    this.sendSubmission(job);
  }

  private createDispatcher(number: number): Dispatcher {
    const incarnation = this.dispatchers?.[number]?.incarnation ?? 1;
    return new Dispatcher(
      {
        pingMs: PING_MS,
        placement: new PreferredPlacement(1),
        window: new UnboundedWindow(),
        bounds: new JobBounds(WIDE_LIMITS),
        crashLimit: this.scenario.crashLimit,
        nextRandom: this.nextRandom,
      },
      {
        send: (executor, message) => this.send(number, incarnation, executor, message),
        log: (event, fields) => void this.events.push(`${event} ${JSON.stringify(fields)}`),
        recordOutcome: () => undefined,
      },
    );
  }

  private send(number: number, incarnation: number, executor: string, message: DispatcherMessage): void {
    this.schedule(TRANSIT_MS, () => {
      const dispatcher = this.dispatchers[number] as ModelDispatcher;
      const upstream = this.upstreams.find((one) => this.buildExecutorId(one) === executor);
      if (upstream && incarnation === dispatcher.incarnation) this.receive(dispatcher, upstream, message);
    });
  }

  private link(dispatcher: ModelDispatcher, upstream: ModelUpstream): void {
    const base = { holding: [], results: [], entryLife: `e@${dispatcher.incarnation}`, orphanMs: 1_240 };
    const executor = `a${upstream.number}`;
    const hello = {
      type: 'agent-hello',
      agent: executor,
      life: String(upstream.incarnation),
      ...base,
    } as const;
    dispatcher.core.handleHello(
      { ...hello, failureDomain: upstream.domain },
      `e@${dispatcher.incarnation}`,
      this.now,
    );
    this.ping(dispatcher, upstream);
  }

  private ping(dispatcher: ModelDispatcher, upstream: ModelUpstream): void {
    const { now } = this;
    const state = upstream.downUntil > now ? 'absent' : 'ready';
    const number = upstream.number;
    const description = {
      upstream: `u${number}`,
      service: ROUTE.service,
      labels: [],
      capacity: CAPACITY,
    };
    const isHome = number % this.dispatchers.length === dispatcher.number;
    const startsSeen = dispatcher.seen[number] ?? 0;
    const free = this.findFree(upstream);
    const room = { description, state, trust: 'healthy', free, startsSeen, speed: 1, isHome } as const;
    const ping = { type: 'ping', at: now, version: 1, room, progress: undefined } as const;
    dispatcher.core.handlePing(this.buildExecutorId(upstream), ping, now);
  }

  private findFree({ runs }: ModelUpstream): typeof CAPACITY {
    return { ...CAPACITY, cpuMilli: CAPACITY.cpuMilli - runs.length * STEP.resources.cpuMilli };
  }

  private buildExecutorId({ number, incarnation }: ModelUpstream): string {
    return `a${number}@${incarnation}`;
  }

  private findJob(id: string): ModelJob {
    return this.jobs[Number(id.slice(1))] as ModelJob;
  }

  private schedule(ms: number, act: () => void): void {
    this.scheduled.push({ at: this.now + ms, act });
  }
}

function isSame(left: StartOrder['name'], right: StartOrder['name']): boolean {
  return (
    left.job === right.job &&
    left.step === right.step &&
    left.index === right.index &&
    left.attempt === right.attempt
  );
}
