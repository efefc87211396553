/**
 * Dispatchers, agents and upstreams that tasks crash, on virtual time. The product's own dispatchers run unchanged and
 * tell each other of suspects; agents do what `AgentCore` does with suspects and crashes.
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
const WAY_MS = 1;
/** Time from a crash until the agent is certain that nothing runs there any more, and until the upstream is back, ms. */
const NOTICE_MS = 700;
const DOWN_MS = 3_000;
/** Time that a caller waits, and until one that was cut off submits again, ms. */
const PATIENCE_MS = 2_000;
const RESUBMIT_MS = 1_300;
/** Submissions after which a caller gives up. */
const MAX_SUBMISSIONS = 5;
const CAPACITY = { cpuMilli: 12_000, memoryMb: 1_000_000, gpus: 0 };

/** What is played. */
export interface CrashPlay {
  readonly seed: number;
  readonly crashLimit: number;
  readonly upstreams: number;
  readonly domains: number;
  readonly entries: number;
}

interface Run {
  readonly order: StartOrder;
  readonly entry: ModelEntry;
  readonly entryLife: number;
  readonly startedAt: number;
}

interface ModelUpstream {
  readonly number: number;
  life: number;
  runs: Run[];
  downUntil: number;
  readonly domain: string;
}

interface ModelEntry {
  readonly number: number;
  dispatcher: Dispatcher;
  life: number;
  readonly seen: number[];
}

/** A job as its caller sees it. */
export interface ModelJob {
  readonly id: string;
  /** Task that crashes upstreams; -1 for none. */
  readonly poison: number;
  readonly steps: readonly StepNeed[];
  submissions: number;
  entry: number;
  submittedAt: number;
  outcome: JobOutcome['kind'] | undefined;
  resubmitAt: number;
  /** Starts of its poison task and crashes under it, and those starts that came after three. */
  starts: number;
  crashes: number;
  lateStarts: number;
}

/** A deployment in memory in which upstreams crash. */
export class CrashModel {
  readonly jobs: ModelJob[] = [];
  /** Crashes of upstreams by their cause. */
  readonly crashes = { poison: 0, other: 0 };
  readonly events: string[] = [];
  private now = 0;
  private readonly later: { readonly at: number; readonly act: () => void }[] = [];
  private readonly nextRandom: () => number;
  private readonly upstreams: ModelUpstream[];
  private readonly entries: ModelEntry[];

  constructor(private readonly play: CrashPlay) {
    this.nextRandom = createRandom(play.seed);
    this.upstreams = Array.from({ length: play.upstreams }, (_, number) => {
      const domain = `d${number % play.domains}`;
      return { number, life: 1, runs: [], downUntil: 0, domain };
    });
    this.entries = Array.from({ length: play.entries }, (_, number) => {
      const seen = this.upstreams.map(() => 0);
      return { number, dispatcher: this.createDispatcher(number), life: 1, seen };
    });
    for (const entry of this.entries) for (const upstream of this.upstreams) this.link(entry, upstream);
  }

  /** Submits a job of tasks that run side by side. */
  submit(tasks: number, estimateMs: number, poison = -1): ModelJob {
    const entry = Math.floor(this.nextRandom() * this.entries.length);
    const steps = [{ ...STEP, count: tasks, estimateMs }];
    const counts = { submissions: 0, starts: 0, crashes: 0, lateStarts: 0 };
    const times = { submittedAt: 0, resubmitAt: Infinity };
    const job = { id: `j${this.jobs.length}`, poison, steps, entry, outcome: undefined, ...counts, ...times };
    this.jobs.push(job);
    this.submitAt(job);
    return job;
  }

  /** An upstream crashes by itself. */
  crash(number: number): void {
    this.crashes.other += 1;
    this.crashUpstream(this.upstreams[number] as ModelUpstream);
  }

  /** All upstreams of a failure domain crash, or all there are; agents take a while to notice. */
  crashDomain(domain?: string): void {
    for (const { number, domain: own } of this.upstreams) {
      if (domain === undefined || own === domain) this.at(this.nextRandom() * 300, () => this.crash(number));
    }
  }

  /** An entry dies, and is back at once as another life; its callers are cut off. */
  killEntry(number: number): void {
    const entry = this.entries[number] as ModelEntry;
    for (const upstream of this.upstreams) upstream.runs = upstream.runs.filter((run) => run.entry !== entry);
    entry.life += 1;
    entry.dispatcher = this.createDispatcher(number);
    entry.seen.fill(0);
    for (const other of this.entries)
      if (other !== entry) entry.dispatcher.adoptSuspects(other.dispatcher.suspects.list(), this.now);
    for (const upstream of this.upstreams) this.link(entry, upstream);
    for (const job of this.jobs)
      if (job.outcome === undefined && job.entry === number) this.plan(job, this.now + RESUBMIT_MS);
  }

  /** An agent dies with all that it knows; its next life stops what ran. */
  killAgent(number: number): void {
    const upstream = this.upstreams[number] as ModelUpstream;
    upstream.life += 1;
    upstream.runs = [];
    for (const entry of this.entries) {
      entry.seen[number] = 0;
      this.link(entry, upstream);
    }
  }

  /** Moves time on. */
  advance(ms: number, act?: (now: number) => void): void {
    for (const until = this.now + ms; this.now < until;) {
      this.now += STEP_MS;
      act?.(this.now);
      this.step();
    }
  }

  private step(): void {
    for (let at = 0; at < this.later.length; at += 1) {
      const item = this.later[at];
      if (!item || item.at > this.now) continue;
      this.later.splice(at, 1);
      at -= 1;
      item.act();
    }
    for (const upstream of this.upstreams) this.work(upstream);
    for (const job of this.jobs) if (this.now >= job.resubmitAt) this.resubmit(job);
    for (const entry of this.entries) this.turn(entry);
  }

  private turn(entry: ModelEntry): void {
    const { dispatcher } = entry;
    if (this.now % PING_MS === 0) for (const upstream of this.upstreams) this.ping(entry, upstream);
    if (this.now % TICK_MS === 0) dispatcher.tick(this.now);
    dispatcher.place(this.now);
    const news = dispatcher.suspects.takeUpdates();
    if (news.length === 0) return;
    for (const other of this.entries)
      if (other !== entry) this.at(WAY_MS, () => void other.dispatcher.adoptSuspects(news, this.now));
  }

  private work(upstream: ModelUpstream): void {
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
    for (const run of done) this.tell(run, upstream, 'done', 'done');
  }

  private crashUpstream(upstream: ModelUpstream): void {
    const lost = upstream.runs;
    upstream.runs = [];
    upstream.downUntil = this.now + DOWN_MS;
    this.at(NOTICE_MS, () => {
      for (const run of lost) this.tellLost(run, upstream);
    });
  }

  /** An agent tells another entry if the one that ordered a task is dead. */
  private tellLost(run: Run, upstream: ModelUpstream): void {
    if (run.entry.life === run.entryLife) return this.tell(run, upstream, 'lost', UPSTREAM_CRASHED);
    const heir = this.entries.find((entry) => entry !== run.entry);
    const { name, estimateMs, isSuspect } = run.order;
    const { job, step, index } = name;
    const ranMs = this.now - run.startedAt;
    const task = { job, step, index, estimateMs, ranMs, isIsolated: isSuspect === true };
    heir?.dispatcher.handleCrashes(this.buildAgentId(upstream), [task], this.now);
  }

  private tell(run: Run, upstream: ModelUpstream, end: AttemptEnd, reason: string): void {
    const agent = this.buildAgentId(upstream);
    this.at(WAY_MS, () => {
      if (run.entry.life !== run.entryLife) return;
      run.entry.dispatcher.handleResult(
        agent,
        { type: 'result', name: run.order.name, end, reason },
        this.now,
      );
    });
  }

  private receive(entry: ModelEntry, upstream: ModelUpstream, message: DispatcherMessage): void {
    if (message.type === 'stop') {
      const run = upstream.runs.find((one) => one.entry === entry && isSame(one.order.name, message.name));
      if (!run) return;
      upstream.runs = upstream.runs.filter((one) => one !== run);
      return this.tell(run, upstream, 'stopped', 'stopped-by-entry');
    }
    if (message.type !== 'start') return;
    entry.seen[upstream.number] = (entry.seen[upstream.number] ?? 0) + 1;
    const run = { order: message, entry, entryLife: entry.life, startedAt: this.now };
    const refusal = this.findRefusal(upstream, message);
    if (refusal !== undefined) return this.tell(run, upstream, 'not-run', refusal);
    upstream.runs.push(run);
    const job = this.findJob(message.name.job);
    if (job.poison !== message.name.index) return;
    job.starts += 1;
    if (job.crashes >= 3) job.lateStarts += 1;
  }

  private findRefusal(upstream: ModelUpstream, { isSuspect, resources }: StartOrder): string | undefined {
    if (upstream.downUntil > this.now) return 'no-upstream';
    if (isSuspect && upstream.runs.some(({ order }) => order.isSuspect)) return OTHER_SUSPECT;
    return this.findFree(upstream).cpuMilli < resources.cpuMilli ? 'full' : undefined;
  }

  private submitAt(job: ModelJob): void {
    job.submissions += 1;
    job.submittedAt = this.now;
    job.resubmitAt = Infinity;
    const { id, steps } = job;
    const { submissions } = job;
    const answer = (outcome: JobOutcome): void => {
      if (job.submissions === submissions) this.takeAnswer(job, outcome);
    };
    const submission = { id, route: ROUTE, spec: '', steps, patienceMs: PATIENCE_MS };
    this.entries[job.entry]?.dispatcher.submit(submission, { answer }, this.now);
  }

  private takeAnswer(job: ModelJob, { kind }: JobOutcome): void {
    if (kind === 'interrupted' || kind === 'refused') return this.plan(job, this.now + RESUBMIT_MS);
    job.outcome = kind;
    job.resubmitAt = Infinity;
  }

  private plan(job: ModelJob, at: number): void {
    job.resubmitAt = job.submissions < MAX_SUBMISSIONS ? at : Infinity;
  }

  private resubmit(job: ModelJob): void {
    job.entry = (job.entry + 1) % this.entries.length;
    this.submitAt(job);
  }

  private createDispatcher(number: number): Dispatcher {
    const life = this.entries?.[number]?.life ?? 1;
    return new Dispatcher(
      {
        pingMs: PING_MS,
        placement: new PreferredPlacement(1),
        window: new UnboundedWindow(),
        bounds: new JobBounds(WIDE_LIMITS),
        crashLimit: this.play.crashLimit,
        nextRandom: this.nextRandom,
      },
      {
        send: (agent, message) => this.send(number, life, agent, message),
        log: (event, fields) => void this.events.push(`${event} ${JSON.stringify(fields)}`),
        recordOutcome: () => undefined,
      },
    );
  }

  private send(number: number, life: number, agent: string, message: DispatcherMessage): void {
    this.at(WAY_MS, () => {
      const entry = this.entries[number] as ModelEntry;
      const upstream = this.upstreams.find((one) => this.buildAgentId(one) === agent);
      if (upstream && life === entry.life) this.receive(entry, upstream, message);
    });
  }

  private link(entry: ModelEntry, upstream: ModelUpstream): void {
    const base = { holding: [], results: [], entryLife: `e@${entry.life}`, orphanMs: 1_240 };
    const agent = `a${upstream.number}`;
    const hello = { type: 'agent-hello', agent, life: String(upstream.life), ...base } as const;
    entry.dispatcher.handleHello({ ...hello, failureDomain: upstream.domain }, `e@${entry.life}`, this.now);
    this.ping(entry, upstream);
  }

  private ping(entry: ModelEntry, upstream: ModelUpstream): void {
    const { now } = this;
    const state = upstream.downUntil > now ? 'absent' : 'ready';
    const number = upstream.number;
    const description = {
      upstream: `u${number}`,
      service: ROUTE.service,
      labels: [],
      capacity: CAPACITY,
    };
    const isHome = number % this.entries.length === entry.number;
    const startsSeen = entry.seen[number] ?? 0;
    const free = this.findFree(upstream);
    const room = { description, state, trust: 'healthy', free, startsSeen, speed: 1, isHome } as const;
    const ping = { type: 'ping', at: now, version: 1, room, progress: undefined } as const;
    entry.dispatcher.handlePing(this.buildAgentId(upstream), ping, now);
  }

  private findFree({ runs }: ModelUpstream): typeof CAPACITY {
    return { ...CAPACITY, cpuMilli: CAPACITY.cpuMilli - runs.length * STEP.resources.cpuMilli };
  }

  private buildAgentId({ number, life }: ModelUpstream): string {
    return `a${number}@${life}`;
  }

  private findJob(id: string): ModelJob {
    return this.jobs[Number(id.slice(1))] as ModelJob;
  }

  private at(ms: number, act: () => void): void {
    this.later.push({ at: this.now + ms, act });
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
