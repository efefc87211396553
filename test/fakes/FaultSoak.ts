/**
 * Soak test of real dispatcher and executor processes under overlapping faults: signals, restarts, delayed, stalled or
 * reset links, and a faulty store and runners. The invariants are checked from what callers and runners observe.
 */
import { Agent } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';

import { createRandom } from '../../src/_lib/createRandom.js';
import { AbandonedRuns } from './AbandonedRuns.js';
import { CancelledRuns } from './CancelledRuns.js';
import { PlatformBench } from './PlatformBench.js';
import type { CallerAnswer } from './PlatformBench.js';
import { assignDomains, drawFault, SOAK_DOMAINS } from './soakFaults.js';
import { SHORT_TASKS } from './soakLoads.js';
import type { SoakLoad } from './soakLoads.js';

/** Delay before a caller submits a job again elsewhere, ms. */
const RESUBMIT_DELAY_MS = 1_300;
const CALLER_TIMEOUT_MS = 2_500;
/** Most submissions of a job. */
const SUBMISSIONS = 3;
/** Longest pause between two faults, ms. */
const FAULT_GAP_MS = 500;
const TARGET_LATENCY_MS = 1_500;
/** Time after an evacuation from which no task may start in the domain, ms. */
const EVACUATE_MS = 5_000;
/** Time for which jobs are still submitted and cancelled after the last fault, ms. */
const CALM_MS = 6_000;
/** Longest time from a submission to its cancelling, and pause between two attempts to cancel, ms. */
const CANCEL_WITHIN_MS = 1_500;
const CANCEL_RETRY_MS = 200;
/** Jobs that are submitted to each dispatcher after that. */
const JOBS_AFTER = 4;

/** Parameters of a run. */
export interface SoakOptions {
  readonly seed: number;
  readonly entries: number;
  readonly agents: number;
  /** Time during which faults are injected, ms. */
  readonly faultMs: number;
  /** Kinds of faults to draw from. */
  readonly kinds: readonly string[];
  /** Longest time to recover after the last fault, ms. */
  readonly recoveryMs: number;
  /** Jobs and callers. Default: `SHORT_TASKS`. */
  readonly load?: SoakLoad;
}

/** Results of a run. */
export interface SoakReport {
  readonly seed: number;
  readonly jobs: number;
  readonly completed: number;
  readonly cancelled: number;
  readonly faults: readonly string[];
  /** Violated invariants; empty if the run passed. */
  readonly broken: readonly string[];
}

interface SoakJob {
  readonly id: string;
  readonly answers: CallerAnswer[];
}

/** Runs one soak test. */
export class FaultSoak {
  readonly bench: PlatformBench;
  private readonly nextRandom: () => number;
  private readonly jobs: SoakJob[] = [];
  private readonly faults: string[] = [];
  private readonly violations: string[] = [];
  private readonly pending: Promise<void>[] = [];
  private readonly load: SoakLoad;
  private readonly abandoned: AbandonedRuns;
  private readonly cancelled: CancelledRuns;

  constructor(private readonly options: SoakOptions) {
    this.bench = new PlatformBench(options.entries, options.agents, TARGET_LATENCY_MS, true);
    this.load = options.load ?? SHORT_TASKS;
    this.abandoned = new AbandonedRuns(this.bench, RESUBMIT_DELAY_MS);
    this.cancelled = new CancelledRuns(this.bench);
    if (this.load.keepsConnections) this.bench.callerAgent = new Agent({ keepAlive: true });
    this.nextRandom = createRandom(options.seed);
    if (this.hasDomains) this.bench.domains = assignDomains(options.agents);
  }

  private get hasDomains(): boolean {
    return this.options.kinds.includes('evacuate');
  }

  private get cancelsJobs(): boolean {
    return this.load.cancelShare > 0;
  }

  /** Runs the test; stops only processes that it started. */
  async run(): Promise<SoakReport> {
    try {
      await this.bench.start();
      if (this.load.isWatched) this.abandoned.start();
      if (this.cancelsJobs) this.cancelled.start();
      const until = performance.now() + this.options.faultMs;
      const submitUntil = until + (this.cancelsJobs ? CALM_MS : 0);
      await Promise.all([this.submitUntil(submitUntil), this.injectFaultsUntil(until)]);
      await Promise.all(this.pending);
      await this.checkRecovery();
      if (this.hasDomains) await this.checkEvacuation();
      this.checkAnswers();
      this.checkRuns();
      if (this.violations.length > 0) this.faults.push(`logs: ${await this.bench.saveLogs()}`);
    } catch (cause) {
      const logs = await this.bench.saveLogs();
      throw new Error(`${String(cause)}; logs: ${logs}; ${this.faults.join(', ')}`, { cause });
    } finally {
      this.abandoned.stop();
      this.cancelled.stop();
      await this.bench.stop();
    }
    this.checkRuns();
    return this.report();
  }

  /** Checks what the runners have seen; adds each violation once. */
  private checkRuns(): void {
    const { doubled, beyondCapacity } = this.bench;
    const found = [
      ...doubled.map((task) => `${task} ran twice at the same time`),
      ...this.abandoned.found,
      ...this.cancelled.found,
      ...beyondCapacity.map((task) => `${task} was started beyond the capacity`),
    ];
    for (const violation of found) if (!this.violations.includes(violation)) this.violations.push(violation);
  }

  private async submitUntil(until: number): Promise<void> {
    while (performance.now() < until) {
      const job: SoakJob = { id: `job${this.jobs.length}`, answers: [] };
      this.jobs.push(job);
      this.pending.push(this.submitUntilAnswered(job));
      await sleep(this.nextRandom() * this.load.jobGapMs);
    }
  }

  /** Submits a job, and again elsewhere after no answer, 502 or 504. */
  private async submitUntilAnswered(job: SoakJob): Promise<void> {
    const { maxTasks, maxTaskMs, callerTimeoutMs } = this.load;
    const tasks = 1 + Math.floor(this.nextRandom() * maxTasks);
    const taskMs = 20 + Math.floor(this.nextRandom() * maxTaskMs);
    let at = Math.floor(this.nextRandom() * this.options.entries);
    if (this.cancelsJobs && this.nextRandom() < this.load.cancelShare)
      this.pending.push(this.cancelUntilAnswered(job));
    for (let submission = 0; submission < SUBMISSIONS; submission += 1) {
      const leave = AbortSignal.timeout(this.drawStay());
      const dispatcher = `entry-${1 + (at % this.options.entries)}`;
      this.abandoned.enter(job.id);
      this.bench.note(`caller of ${job.id} to ${dispatcher}`);
      const answer = await this.bench.submit(dispatcher, job.id, tasks, taskMs, callerTimeoutMs, leave);
      this.abandoned.leave(job.id);
      this.bench.note(`answer to ${job.id} from ${dispatcher}: ${answer.status}`);
      job.answers.push(answer);
      if (answer.status !== 0 && answer.status !== 502 && answer.status !== 504) return;
      await sleep(RESUBMIT_DELAY_MS);
      at += 1;
    }
  }

  /** Cancels a job some time after its submission, at any dispatcher, and at another one after no answer. */
  private async cancelUntilAnswered({ id }: SoakJob): Promise<void> {
    await sleep(this.nextRandom() * CANCEL_WITHIN_MS);
    let at = Math.floor(this.nextRandom() * this.options.entries);
    for (;;) {
      const dispatcher = `entry-${1 + (at % this.options.entries)}`;
      const { status } = await this.bench.cancel(dispatcher, id);
      this.bench.note(`answer to the cancelling of ${id} from ${dispatcher}: ${status}`);
      if (status === 200 || status === 410) return this.cancelled.record(id);
      await sleep(CANCEL_RETRY_MS);
      at += 1;
    }
  }

  /** Draws the time after which a caller closes its connection, ms. */
  private drawStay(): number {
    const { callerTimeoutMs, leaveShare, longestStayMs } = this.load;
    if (leaveShare === 0 || this.nextRandom() >= leaveShare) return callerTimeoutMs;
    return Math.ceil(this.nextRandom() * longestStayMs);
  }

  private async injectFaultsUntil(until: number): Promise<void> {
    const healed: Promise<void>[] = [];
    while (performance.now() < until) {
      const fault = drawFault(this.bench, this.options, this.nextRandom, this.options.kinds);
      this.faults.push(fault.name);
      this.bench.note(`fault ${fault.name}`);
      healed.push(fault.inject());
      await sleep(this.nextRandom() * FAULT_GAP_MS);
    }
    await Promise.all(healed);
    this.cancelled.setCalm();
  }

  /** Checks that after the last fault every dispatcher serves jobs and no abandoned task runs. */
  private async checkRecovery(): Promise<void> {
    const { entries: dispatchers, recoveryMs } = this.options;
    const until = performance.now() + recoveryMs;
    for (let number = 1; number <= dispatchers; number += 1) {
      let served = false;
      for (let attempt = 0; !served && performance.now() < until; attempt += 1) {
        const id = `after${number}x${attempt}`;
        served = (await this.bench.submit(`entry-${number}`, id, 2, 20, CALLER_TIMEOUT_MS)).status === 200;
        if (!served) await sleep(100);
      }
      if (!served)
        this.violations.push(`entry-${number} does not serve ${recoveryMs} ms after the last fault`);
    }
    await this.bench.waitUntilIdle().catch(() => this.violations.push('tasks run without a waiting caller'));
  }

  /** Checks that an emptied failure domain gets no tasks and all jobs are served elsewhere. */
  private async checkEvacuation(): Promise<void> {
    const { entries: dispatchers, agents: executors } = this.options;
    const [domain] = SOAK_DOMAINS;
    this.bench.store.putEvacuation(domain);
    await sleep(EVACUATE_MS);
    const runners = Array.from({ length: executors }, (_, at) => at + 1);
    const emptied = runners.filter((number) => this.bench.domains[`agent-${number}`] === domain);
    const count = (): number =>
      emptied.reduce((sum, number) => sum + (this.bench.startsByRunner.get(`i-${number}`) ?? 0), 0);
    const before = count();
    for (let number = 1; number <= dispatchers; number += 1) {
      for (let at = 0; at < JOBS_AFTER; at += 1) {
        const { status } = await this.bench.submit(`entry-${number}`, `emptied${number}x${at}`, 2, 20);
        if (status !== 200)
          this.violations.push(`entry-${number} answers ${status} while ${domain} is emptied`);
      }
    }
    if (count() > before) this.violations.push(`tasks were started in ${domain}, which is emptied`);
  }

  private checkAnswers(): void {
    for (const { id, answers } of this.jobs) {
      for (const { status, body } of answers) this.checkAnswer(id, status, body);
      const isRefused = answers.every(({ status }) => status === 503 || status === 429);
      const hasRun = [...this.bench.starts.keys()].some((task) => task.startsWith(`${id}.`));
      if (isRefused && hasRun) this.violations.push(`${id} has run though every submission was refused`);
    }
  }

  private checkAnswer(id: string, status: number, body: string): void {
    const isKnown = [0, 200, 502, 503, 504].includes(status);
    if (!isKnown) this.violations.push(`${id} was answered ${status}`);
    if (status === 200 && body !== '{"state":"completed"}' && body !== '{"state":"failed"}')
      this.violations.push(`${id} was answered with ${body}`);
  }

  private report(): SoakReport {
    const completed = this.jobs.filter(({ answers }) => answers.at(-1)?.status === 200).length;
    const { seed } = this.options;
    const { size: cancelled } = this.cancelled;
    const { faults, violations: broken } = this;
    return { seed, jobs: this.jobs.length, completed, cancelled, faults, broken };
  }
}
