/**
 * Simulation in which the runs of lost dispatchers and callers have to end although stops are lost or late. Callers come
 * again elsewhere, tasks may outlast that delay, and the upstreams' clocks run at different rates.
 */
import type { ExecutorMessage } from '../../src/connection/peer/peerMessages.js';
import { checkOrphans, RESUBMIT_MS } from './checkDispatchSimulation.js';
import { AcknowledgedPings } from './AcknowledgedPings.js';
import { DISPATCHERS, DispatchSimulation, EXECUTORS } from './DispatchSimulation.js';
import { buildEntryLife, pickOne } from './dispatchSimulationState.js';
import type { Link, SimCaller, SimJob } from './dispatchSimulationState.js';

/** Rates of the upstreams' clocks, which may be up to 2% slow. */
const CLOCK_RATES = [1, 0.99, 0.98];
/** Most callers of one job. */
const MAX_CALLERS = 5;
/** Longest time until all work is over after the end of all faults, ms. */
const MAX_IDLE_MS = 60_000;
/** Interval between checks whether all work is over, ms. */
const IDLE_STEP_MS = 250;

/** Small deployment in memory whose callers come again. */
export class OrphanSimulation extends DispatchSimulation {
  private readonly pings = new AcknowledgedPings();
  /** Index of the dispatcher to which the last caller of a job returns, by job. */
  private readonly returnsTo = new Map<string, number>();

  /** @param seed - of the random numbers */
  constructor(seed: number) {
    super(seed, false, 0, CLOCK_RATES);
  }

  /** Submits a job; later submissions do not change the duration of its tasks. */
  override submit(dispatcherIndex: number, tasks: number, taskMs: number, patienceMs: number): void {
    this.upstreams.durations.set(`job${this.jobs.length}`, taskMs);
    super.submit(dispatcherIndex, tasks, taskMs, patienceMs);
  }

  /** A caller leaves, and submits again at another dispatcher after the resubmit delay. */
  override async resubmit(jobIndex: number, dispatcherIndex: number): Promise<void> {
    this.leaveAndReturn(jobIndex, dispatcherIndex);
    await this.advance(RESUBMIT_MS);
  }

  /** A caller leaves, and submits again at another dispatcher after the resubmit delay, while time goes on. */
  leaveAndReturn(jobIndex: number, dispatcherIndex: number): void {
    const job = this.jobs[jobIndex % Math.max(1, this.jobs.length)];
    const last = job?.callers.at(-1);
    if (!job || !last || last.leftAt !== undefined || last.caller.answers.length > 0) return;
    this.returnsTo.set(job.id, dispatcherIndex);
    this.leave(job, last);
  }

  /** Makes a connection unresponsive while time goes on; its executor closes it later, which the dispatcher does not notice. */
  muteLink(dispatcherIndex: number, executorIndex: number, ms: number): void {
    const link = this.links.get(`${dispatcherIndex % DISPATCHERS}/${executorIndex % EXECUTORS}`);
    if (!link) return;
    link.silent = true;
    void this.clock.sleep(ms).then(() => {
      if (!link.broken) this.breakLink(link);
    });
  }

  /** Freezes a dispatcher several times in a row. */
  async freezeRepeatedly(index: number, ms: number, times: number, awakeMs: number): Promise<void> {
    for (let i = 0; i < times; i += 1) {
      this.freeze('entry', index, ms);
      await this.advance(ms + awakeMs);
    }
  }

  /** Loses stops, or applies them later without an answer, at one upstream or at all. */
  disturbStops(index: number | 'all', ms: number, lateMs?: number): void {
    for (const { fake } of this.pickUpstreams(index)) fake.disturbStops(ms, lateMs);
  }

  /** Loses the next stops at one upstream or at all. */
  loseStops(index: number | 'all', count: number): void {
    for (const { fake } of this.pickUpstreams(index)) fake.lostStops = count;
  }

  /** Leaves renewals, which are applied, without an answer for some time. */
  muteRenewals(index: number, ms: number): void {
    const { fake } = pickOne(this.executors, index).upstream;
    fake.mutesRenewals = true;
    void this.clock.sleep(ms).then(() => (fake.mutesRenewals = false));
  }

  override async settle(): Promise<void> {
    for (const { upstream } of this.executors) upstream.fake.endFaults();
    await super.settle();
  }

  protected override async advanceUntilIdle(): Promise<void> {
    const until = this.clock.now() + MAX_IDLE_MS;
    do await this.advance(IDLE_STEP_MS);
    while (!this.isIdle && this.clock.now() < until);
  }

  private get isIdle(): boolean {
    return (
      this.executors.every(({ upstream }) => upstream.fake.running.size === 0) &&
      this.jobs.every((job) => !this.mayReturn(job) && job.callers.every(isOver))
    );
  }

  protected override check(): void {
    super.check();
    checkOrphans(this.executors, this.jobs, this.pings, this.clock.now());
  }

  protected override step(): void {
    super.step();
    const now = this.clock.now();
    for (const job of this.jobs) {
      for (const one of job.callers) one.goneAt ??= one.leftAt ?? (isInterrupted(one) ? now : undefined);
      if (this.mayReturn(job)) this.returnCaller(job, now);
    }
  }

  /** Whether the last caller of a job is to submit it again. */
  private mayReturn({ callers }: SimJob): boolean {
    const last = callers.at(-1);
    if (!last || callers.length >= MAX_CALLERS) return false;
    return isInterrupted(last) || (last.leftAt !== undefined && last.caller.answers.length === 0);
  }

  private returnCaller(job: SimJob, now: number): void {
    const last = job.callers.at(-1);
    if (last?.goneAt === undefined || now < last.goneAt + RESUBMIT_MS) return;
    const target = this.returnsTo.get(job.id) ?? (last.dispatcher.index + 1) % DISPATCHERS;
    this.returnsTo.delete(job.id);
    const taskMs = this.upstreams.durations.get(job.id) ?? 0;
    this.submitAt(job, pickOne(this.dispatchers, target), taskMs, RETURN_PATIENCE_MS);
  }

  protected override receiveAtDispatcher(link: Link, message: ExecutorMessage, now: number): void {
    super.receiveAtDispatcher(link, message, now);
    const life = buildEntryLife(link.dispatcher);
    if (message.type === 'agent-hello') this.pings.record(life, link.executor.index, link.openedAt, now);
    if (message.type === 'ping') this.pings.record(life, link.executor.index, message.at, now);
  }

  private pickUpstreams(index: number | 'all') {
    const executors = index === 'all' ? this.executors : [pickOne(this.executors, index)];
    return executors.map(({ upstream }) => upstream);
  }
}

/** Patience of callers that come again, ms. */
const RETURN_PATIENCE_MS = 10_000;

function isInterrupted({ caller }: SimCaller): boolean {
  return caller.answers[0]?.kind === 'interrupted';
}

function isOver({ caller, leftAt }: SimCaller): boolean {
  return leftAt !== undefined || caller.answers.length > 0;
}
