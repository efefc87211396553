/**
 * Decides which waiting task is sent to which executor and when, and how a job ends.
 *
 * A job is kept until it is answered and none of its attempts may run. A task has at most one attempt that
 * may run. The next attempt is made only after the executor has reported the end of the previous one, or once
 * that one cannot run any more: the executor has linked again without holding it, a later incarnation of the
 * executor is ready, or nothing was received from the executor for `orphanMs`.
 */
import { assertInvariant } from '../../_lib/assertInvariant.js';
import type {
  EarlierCapacity,
  ExecutorHello,
  AttemptName,
  AttemptProgress,
  AttemptResult,
  CrashedTask,
  Ping,
  CapacityChange,
  SuspectTask,
} from '../../connection/peer/peerMessages.js';
import { UPSTREAM_CRASHED } from '../../connection/peer/peerMessages.js';
import { MAX_RESOURCE_AMOUNT } from '../../connection/schemaBounds.js';
import type { Caller, JobState } from '../../ports/CallerGateway.js';
import type { JobOutcome, JobSubmission, Refusal } from '../../request/dispatch/submission.js';
import { CancelledJobs } from '../CancelledJobs.js';
import { CallerTimeoutAdmission, RETRY_AFTER_MS } from './Admission.js';
import type { Admission } from './Admission.js';
import type { QueueRoute } from '../../version/configuration.js';
import { ExecutorTable } from './ExecutorTable.js';
import { buildExecutorId } from './ExecutorView.js';
import type { ExecutorView } from './ExecutorView.js';
import { Backlog } from './Backlog.js';
import { buildStartOrder } from './buildStartOrder.js';
import {
  buildAttemptKey,
  buildAttemptName,
  createDispatchJob,
  isOutstanding,
  transitionTask,
} from './dispatchJob.js';
import type { DispatchJob, DispatchTask } from './dispatchJob.js';
import type { DispatchEffects, DispatchOptions } from './dispatchOptions.js';
import { estimateStartBytes } from './estimateStartBytes.js';
import { describeAttemptOver, describePlacedAgain, describePlacement } from './attemptLog.js';
import { JobTable } from './JobTable.js';
import { needsMove } from './needsMove.js';
import type { Placement, PlacementContext } from './Placement.js';
import type { CapacityView } from './CapacityForecast.js';
import { CANCELLED, FULL } from './refusals.js';
import { SUPERSEDED } from './Successors.js';
import type { Submission } from './Successors.js';
import { Suspects } from './Suspects.js';
import { UnplacedNeeds } from './UnplacedNeeds.js';

/** Time since the last message of an executor, in ping intervals, after which it is sent no new tasks. */
const STALE_PING_INTERVALS = 2;
/** Pause in sending to an executor after it returned a start as not run, ms. */
const REJECTION_PAUSE_MS = 4;
/**
 * Initial estimate of the time from sending a start to its return, ms: the wait for capacity at the executor
 * and two transits.
 */
const INITIAL_RETURN_MS = 50;
/** Weight of the latest value in the moving average of that time. */
const RETURN_SMOOTHING = 0.1;
/** Rank difference of one priority step, ms. */
const PRIORITY_STEP_MS = 100;

/** Dispatches the jobs of one entry VM. */
export class Dispatcher {
  private readonly executors: ExecutorTable;
  private readonly jobs = new JobTable();
  private readonly admission: Admission;
  private readonly backlog: Backlog;
  /** Cancelled jobs, of which no submission is run. */
  readonly cancelled: CancelledJobs;
  /** Tasks under which upstreams have crashed recently. */
  readonly suspects: Suspects;
  /** Moving average of the time from sending a start to its return as not run, ms. */
  private returnMs = INITIAL_RETURN_MS;
  /** Attempts of all jobs; numbers each attempt, so that late results of earlier submissions are ignored. */
  private attempts = 0;

  constructor(
    private readonly options: DispatchOptions,
    private readonly effects: DispatchEffects,
  ) {
    this.executors = new ExecutorTable(options.pingMs * STALE_PING_INTERVALS);
    const { crashLimit = 0, placement } = options;
    this.suspects = new Suspects(crashLimit, placement, this.executors, effects.log);
    this.admission = options.admission ?? new CallerTimeoutAdmission();
    this.backlog = new Backlog(options.order);
    this.cancelled = new CancelledJobs(effects.log, options.cancelledMs);
  }

  /** Typical speed of the upstreams, ms of estimated work per ms. */
  get typicalSpeed(): number {
    return this.executors.typicalSpeed;
  }

  /** Number of jobs whose caller waits. */
  get openJobs(): number {
    return this.jobs.countOpen();
  }

  /** Number of tasks that wait for an executor. */
  get waitingTasks(): number {
    return this.backlog.size;
  }

  /** CPU required by the waiting tasks, thousandths of a core; at most `MAX_RESOURCE_AMOUNT`. */
  get waitingCpuMilli(): number {
    return Math.min(MAX_RESOURCE_AMOUNT, this.backlog.sumCpuMilli());
  }

  /** Counts the waiting tasks by a property of their queue. */
  countWaitingBy(describe: (route: QueueRoute) => string): Map<string, number> {
    return this.backlog.countBy(describe);
  }

  /** Latest forecast of the service rate, in cores of estimated work; 0 while there is no forecast. */
  get forecastCores(): number {
    return this.admission.forecastCores;
  }

  /** Whether an executor of any service is linked and accepts tasks. */
  hasExecutors(now: number): boolean {
    return this.executors.hasReady(now);
  }

  /** Sets the failure domains that operators have emptied; no task is placed there. */
  setEmptied(domains: readonly string[]): void {
    this.executors.setEmptied(domains);
  }

  /** Accepts a job, which is answered through `caller`. Refuses a job that has been cancelled. */
  submit(submission: JobSubmission, caller: Caller, now: number): void {
    if (this.cancelled.has(submission.id)) return this.refuse(submission, caller, CANCELLED);
    const findings = this.options.bounds.findExcess(submission);
    if (findings.length > 0) {
      this.effects.log('reject', { job: submission.id, findings });
      return caller.answer({ kind: 'rejected', reason: 'too-large', findings });
    }
    const known = this.jobs.find(submission.id);
    const waiting = { submission, caller, deadlineAt: now + submission.patienceMs };
    if (!known) return this.admit(waiting, now);
    this.effects.log('job-again', { job: submission.id, answered: known.answered });
    this.jobs.successors.add(waiting);
    this.endJob(known, SUPERSEDED, now);
  }

  /** Drops the waiting tasks and stops the running tasks of a job whose caller has disconnected. */
  abandon(jobId: string, caller: Caller, now: number): void {
    this.jobs.successors.abandon(jobId, caller);
    const job = this.jobs.findOpen(jobId);
    if (!job || job.caller !== caller) return;
    this.effects.log('job-abandoned', { job: jobId, ageMs: Math.round(now - job.arrivedAt) });
    this.endJob(job, { kind: 'interrupted', reason: 'caller-gone' }, now);
  }

  /**
   * Cancels a job, also one that is submitted later.
   *
   * @param jobId - id of the job
   * @param now - current time
   * @param ageMs - how long ago its caller cancelled it at another dispatcher, ms
   * @returns false if no caller waits for it here
   */
  cancel(jobId: string, now: number, ageMs = 0): boolean {
    this.cancelled.record(jobId, now, ageMs);
    const wasWaiting = this.jobs.successors.end(jobId, CANCELLED);
    const job = this.jobs.findOpen(jobId);
    if (!job) return wasWaiting;
    this.endJob(job, { kind: 'interrupted', reason: 'cancelled' }, now);
    return true;
  }

  /** Finds the state of an open job. */
  findState(jobId: string): JobState | undefined {
    if (this.jobs.successors.has(jobId)) return 'pending';
    const job = this.jobs.findOpen(jobId);
    if (!job) return undefined;
    return job.offered ? 'running' : 'pending';
  }

  /** Counts the jobs of a queue of which no task was sent yet. */
  countPending(routeName: string): number {
    return this.jobs.countPending(routeName);
  }

  /**
   * Whether the first message on a link of an executor arrives after that of a later link, on which attempts
   * may have been started since that this message does not list.
   */
  isLateHello(hello: ExecutorHello): boolean {
    return this.executors.find(buildExecutorId(hello))?.isLateHello(hello) ?? false;
  }

  /**
   * Handles the first message on a link of an executor, unless it is late. Attempts that the executor neither
   * holds nor reports are lost; so are all of them if it was linked to another incarnation of this dispatcher.
   * The link must be open, as stop orders may be sent to the executor.
   *
   * @returns the id of this incarnation of the executor
   */
  handleHello(hello: ExecutorHello, ownIncarnation: string, now: number): string {
    const id = buildExecutorId(hello);
    if (this.isLateHello(hello)) return id;
    const known = this.executors.find(id);
    this.executors.unlinkOthers(hello);
    if (!known) {
      this.executors.add(hello, now);
      this.effects.log('agent-linked', { agent: id, again: false });
      return id;
    }
    const tasks = this.jobs.listTasksAt(id).length;
    this.effects.log('agent-linked', {
      agent: id,
      again: true,
      heardMs: Math.round(now - known.lastReceivedAt),
      tasks,
      held: hello.holding.length,
    });
    known.reopen(hello, now);
    if (hello.entryLife === ownIncarnation) this.reconcileHeld(id, hello, now);
    else for (const task of this.jobs.listTasksAt(id)) this.settle(task, 'lost', 'link-broke', now);
    return id;
  }

  /** Finds the capacity that the latest earlier incarnation of an executor has reported. */
  findEarlierCapacity(hello: ExecutorHello, now: number): EarlierCapacity | undefined {
    return this.executors.findEarlierCapacity(hello, now);
  }

  /** Handles a closed link. The tasks at the executor are kept until it links again or expires. */
  handleClose(executorId: string, reason: string, now: number): void {
    const executor = this.executors.find(executorId);
    if (!executor) return;
    executor.linked = false;
    const tasks = this.jobs.listTasksAt(executorId).length;
    const heardMs = Math.round(now - executor.lastReceivedAt);
    this.effects.log('agent-unlinked', { agent: executorId, reason, tasks, heardMs });
  }

  /** Handles a ping of an executor. */
  handlePing(executorId: string, ping: Ping, now: number): void {
    const executor = this.executors.find(executorId);
    if (!executor) return;
    // A delayed hello of an earlier incarnation may have marked this one as unlinked; a ping proves its link.
    executor.linked = true;
    executor.recordPing(ping, now);
    if (ping.echoMs !== undefined) this.options.window.recordDelay(executor.recordRoundTrip(ping.echoMs));
    this.expireEarlierIncarnations(executor, now);
    for (const progress of ping.progress ?? []) this.reviewProgress(executor, progress, now);
  }

  /** Handles a change of an executor's capacity between pings. */
  handleCapacity(executorId: string, { room, at }: CapacityChange, now: number): void {
    const executor = this.executors.find(executorId);
    if (!executor) return;
    executor.lastReceivedAt = now;
    executor.recordClock(at, now);
    executor.recordCapacity(room, now);
  }

  /** Handles the end of an attempt; results of attempts that are not the latest are ignored. */
  handleResult(id: string, { name, end, reason }: AttemptResult, now: number): void {
    const task = this.jobs.findTask(name);
    if (!task || task.attempt !== name.attempt || task.executorId !== id || !isOutstanding(task)) return;
    const executor = this.executors.find(id);
    if (executor) executor.lastReceivedAt = now;
    if (end === 'not-run' && reason === 'expired') this.options.window.recordExpired(now);
    if (executor && end === 'not-run') {
      executor.pausedUntil = now + REJECTION_PAUSE_MS;
      this.returnMs += RETURN_SMOOTHING * (now - task.sentAt - this.returnMs);
    }
    if (executor && end !== 'not-run') executor.release(task.need.resources);
    this.settle(task, end, reason, now);
  }

  /** Sends waiting tasks to executors with free capacity. */
  place(now: number): void {
    this.backlog.prune();
    if (this.backlog.size === 0) return;
    const context = this.buildContext(now);
    const executors = this.executors.list();
    let bytesInFlight = this.executors.sumBytesInFlight(now);
    const unplaced = new UnplacedNeeds();
    for (const task of this.backlog.list(now, this.typicalSpeed)) {
      if (unplaced.covers(task)) continue;
      if (!this.options.window.canSend(bytesInFlight, now)) break;
      const isSuspect = this.suspects.has(task);
      if (isSuspect && unplaced.coversSuspect(task)) continue;
      const executor = this.findPlacement(isSuspect).choose(task, executors, context);
      if (executor) bytesInFlight += this.send(task, executor, now);
      else unplaced.record(task, isSuspect);
    }
    this.backlog.prune();
  }

  /** Handles timeouts: unresponsive executors and jobs that cannot be completed in time. */
  tick(now: number): void {
    this.updateCapacities(now);
    this.executors.updateSpeed();
    this.suspects.tick(now);
    this.cancelled.tick(now);
    for (const executor of this.executors.list()) this.expireExecutor(executor, now);
    const view = this.buildCapacityView(now);
    for (const job of this.jobs.list()) this.reviewJob(job, view);
    this.jobs.successors.tick(now);
  }

  /**
   * Answers every open job and every submission that waits: the process stops, or was paused for so long that
   * executors have stopped its tasks and callers may have submitted their jobs to other dispatchers.
   */
  endAll(reason: string, now: number): void {
    this.jobs.successors.endAll({ kind: 'refused', reason, retryAfterMs: RETRY_AFTER_MS });
    for (const job of this.jobs.list()) this.giveUp(job, reason, now);
  }

  /** Records crashes under tasks of a dispatcher that no longer responds, as reported by an executor. */
  handleCrashes(executorId: string, tasks: readonly CrashedTask[], now: number): void {
    for (const task of tasks) this.suspects.recordCrash(executorId, task, now);
    for (const { job } of tasks) this.reviewCrashes(job, now);
  }

  /** Adopts newer crash counts of another dispatcher. Returns the tasks whose counts were newer. */
  adoptSuspects(tasks: readonly SuspectTask[], now: number): SuspectTask[] {
    const updates = this.suspects.adopt(tasks, now);
    for (const { job } of updates) this.reviewCrashes(job, now);
    return updates;
  }

  private admit({ submission, caller, deadlineAt }: Submission, now: number): void {
    const timing = { now, typicalSpeed: this.typicalSpeed, priorityStepMs: PRIORITY_STEP_MS };
    const patienceMs = deadlineAt - now;
    const refusal = this.executors.capacities.findRefusal(submission, now);
    if (refusal) return this.refuse(submission, caller, refusal);
    if (!this.options.bounds.take(submission)) {
      const { openJobs, openBytes } = this.options.bounds;
      return this.refuse(submission, caller, FULL, { openJobs, openBytes });
    }
    const job = createDispatchJob({ ...submission, patienceMs }, caller, timing);
    this.jobs.add(job);
    this.backlog.admit(job, now);
    this.admission.recordArrived(job, now);
    if (job.remaining === 0) return this.endJob(job, { kind: 'completed' }, now);
    this.reviewCrashes(job.id, now);
    this.reviewJob(job, this.buildCapacityView(now));
  }

  /** Refuses a submission that is not admitted. */
  private refuse(
    { id }: JobSubmission,
    caller: Caller,
    refusal: Refusal,
    figures: Readonly<Record<string, number>> = {},
  ): void {
    const { reason, findings } = refusal;
    this.effects.log('refuse', { job: id, reason, ...(findings && { findings }), ...figures });
    caller.answer(refusal);
  }

  /** Records the upstreams that are there, and refuses jobs that came before all of their service were known. */
  private updateCapacities(now: number): void {
    if (!this.executors.updateCapacities(now)) return;
    const { capacities } = this.executors;
    for (const job of this.jobs.list()) {
      if (job.answered || job.offered) continue;
      const refusal = capacities.findRefusal(job.submission, now);
      if (refusal) this.endJob(job, refusal, now);
    }
  }

  /** Gives up a job that can no longer be completed in time. */
  private reviewJob(job: DispatchJob, view: CapacityView): void {
    const reason = job.answered ? undefined : this.admission.findReason(job, view);
    if (reason !== undefined) this.giveUp(job, reason, view.now);
  }

  private buildCapacityView(now: number): CapacityView {
    const { typicalSpeed, staleMs } = this.executors;
    const listWaiting = (): DispatchTask[] => {
      this.backlog.prune();
      return this.backlog.list(now, typicalSpeed);
    };
    return { now, typicalSpeed, staleMs, listExecutors: () => this.executors.list(), listWaiting };
  }

  /** Sends a start, and returns its estimated size in bytes. */
  private send(task: DispatchTask, executor: ExecutorView, now: number): number {
    const { job } = task;
    const bytes = estimateStartBytes(task, executor.id, now);
    transitionTask(task, 'send');
    this.attempts += 1;
    task.attempt = this.attempts;
    task.executorId = executor.id;
    task.sentAt = now;
    this.suspects.recordSent(task);
    this.backlog.recordSent(task, now);
    this.admission.recordSent(task);
    job.offered = true;
    job.lastExecutorId = executor.id;
    job.lastSentAt = now;
    executor.reserve(task.need.resources, bytes);
    this.effects.send(executor.id, buildStartOrder(task, executor, now, this.options.pingMs));
    if (task.previous) this.effects.log('place-again', describePlacedAgain(task, task.previous, now));
    this.effects.log('place', describePlacement(task, executor, now));
    return bytes;
  }

  /** Handles the confirmed end of an outstanding attempt. */
  private settle(task: DispatchTask, end: AttemptResult['end'], reason: string, now: number): void {
    const { job } = task;
    assertInvariant(isOutstanding(task), 'only an outstanding attempt can end');
    if (end !== 'not-run') job.begun = true;
    this.suspects.recordEnd(task, end, reason, now);
    if (end !== 'done')
      this.effects.log('attempt-over', describeAttemptOver(task, end, reason, this.executors, now));
    if (end !== 'done' && end !== 'not-run')
      task.previous = { attempt: task.attempt, executorId: task.executorId, end, reason, overAt: now };
    this.admission.recordEnded(task, end === 'done', now);
    if (end === 'not-run') this.backlog.recordReturned(task, now);
    if (job.answered) {
      transitionTask(task, 'drop');
      return this.deleteIfFinished(job, now);
    }
    if (end === 'done') return this.finishTask(task, now);
    if (end !== 'not-run') task.avoid.add(task.executorId);
    if (end === 'failed') task.failures += 1;
    if (task.failures >= job.submission.route.maxAttempts) {
      transitionTask(task, 'drop');
      return this.endJob(job, { kind: 'failed', reason: 'attempts' }, now);
    }
    transitionTask(task, 'return');
    this.backlog.add(task);
    if (reason === UPSTREAM_CRASHED) this.reviewCrashes(job.id, now);
  }

  /** Fails a job if one of its tasks has reached the crash limit, so that it is not retried. */
  private reviewCrashes(jobId: string, now: number): void {
    const job = this.jobs.findOpen(jobId);
    const overLimit = job && this.suspects.findOverLimit(jobId);
    if (!overLimit) return;
    this.suspects.recordFailed(overLimit);
    this.endJob(job, { kind: 'failed', reason: 'crashes' }, now);
  }

  private finishTask(task: DispatchTask, now: number): void {
    const { job } = task;
    transitionTask(task, 'finish');
    job.remaining -= 1;
    if (job.remaining === 0) return this.endJob(job, { kind: 'completed' }, now);
    this.releaseSteps(job);
  }

  /** Releases blocked tasks whose preceding steps are all done. */
  private releaseSteps(job: DispatchJob): void {
    if (!job.tasks.some((task) => task.phase === 'blocked')) return;
    const open = new Set(job.tasks.filter((task) => task.phase !== 'done').map((task) => task.step));
    for (const task of job.tasks) {
      if (task.phase !== 'blocked' || task.need.after.some((step) => open.has(step))) continue;
      transitionTask(task, 'release');
      this.backlog.add(task);
    }
  }

  /** Answers a job and stops its tasks. */
  private endJob(job: DispatchJob, outcome: JobOutcome, now: number): void {
    if (job.answered) return;
    job.answered = true;
    assertInvariant(outcome.kind !== 'refused' || !job.begun, 'a job that has run cannot be refused');
    job.caller.answer(outcome);
    this.effects.recordOutcome(job, outcome, now);
    for (const task of job.tasks) {
      if (task.phase === 'waiting' || task.phase === 'blocked') transitionTask(task, 'drop');
      if (task.phase === 'sent') this.withdraw(task, now);
    }
    this.deleteIfFinished(job, now);
  }

  private withdraw(task: DispatchTask, now: number): void {
    transitionTask(task, 'withdraw');
    task.givenUpAt = now - (this.options.findInputLag?.(now) ?? 0);
    this.sendStop(task.executorId, buildAttemptName(task), now - task.givenUpAt);
  }

  private sendStop(executorId: string, name: AttemptName, givenUpMs: number): void {
    this.effects.send(executorId, { type: 'stop', name, givenUpMs: Math.max(0, Math.ceil(givenUpMs)) });
  }

  private deleteIfFinished(job: DispatchJob, now: number): void {
    if (job.outstanding > 0) return;
    const successor = this.jobs.delete(job.id);
    this.options.bounds.release(job.submission);
    if (successor) this.admit(successor, now);
  }

  /** Refuses a job that has not run; interrupts one that may have run. */
  private giveUp(job: DispatchJob, reason: string, now: number): void {
    if (job.answered) return;
    const mayHaveRun = job.begun || job.outstanding > 0;
    if (mayHaveRun) return this.endJob(job, { kind: 'interrupted', reason }, now);
    const view = this.buildCapacityView(now);
    const forecast = this.admission.describeForecast(job, view);
    if (forecast) this.effects.log('refuse', { job: job.id, reason, ...forecast });
    const retryAfterMs = this.admission.findRetryMs(job, view);
    this.endJob(job, { kind: 'refused', reason, retryAfterMs }, now);
    this.admission.recordRefused(job);
  }

  /** Ends the attempts at an executor after its orphan timeout, when it has stopped them. */
  private expireExecutor(executor: ExecutorView, now: number): void {
    if (now <= executor.lastReceivedAt + executor.orphanMs) return;
    for (const task of this.jobs.listTasksAt(executor.id)) this.settle(task, 'lost', 'agent-silent', now);
    this.executors.deleteIfGone(executor, now);
  }

  /** Removes earlier incarnations: an executor is ready only after it has stopped and fenced their tasks. */
  private expireEarlierIncarnations(executor: ExecutorView, now: number): void {
    if (executor.report?.state !== 'ready') return;
    for (const earlier of this.executors.listEarlierIncarnations(executor)) {
      for (const task of this.jobs.listTasksAt(earlier.id)) this.settle(task, 'lost', 'agent-replaced', now);
      this.executors.delete(earlier.id);
    }
  }

  /** Moves a task that is stalled or slow if another executor can run it. */
  private reviewProgress(executor: ExecutorView, progress: AttemptProgress, now: number): void {
    const { name, percent, stalledMs } = progress;
    const task = this.jobs.findTask(name);
    if (!task || task.phase !== 'sent' || task.attempt !== name.attempt || task.executorId !== executor.id)
      return;
    const speed = executor.report?.speed ?? 1;
    if (!needsMove(task, progress, speed, this.typicalSpeed, now)) return;
    if (!this.hasAlternative(task, executor, now)) return;
    this.effects.log('move', {
      job: name.job,
      task: `${task.step}/${task.index}`,
      agent: executor.id,
      percent,
      stalledMs,
      speed,
    });
    this.withdraw(task, now);
  }

  private hasAlternative(task: DispatchTask, from: ExecutorView, now: number): boolean {
    const others = this.executors.list().filter((executor) => executor !== from);
    const placement = this.findPlacement(this.suspects.has(task));
    return placement.choose(task, others, this.buildContext(now)) !== undefined;
  }

  private findPlacement(isSuspect: boolean): Placement {
    return isSuspect ? this.suspects.placement : this.options.placement;
  }

  private buildContext(now: number): PlacementContext {
    const { typicalSpeed, staleMs } = this.executors;
    return { now, typicalSpeed, staleMs, returnMs: this.returnMs, nextRandom: this.options.nextRandom };
  }

  /** Reconciles the attempts at an executor with those it holds: orders or results may have been lost. */
  private reconcileHeld(id: string, hello: ExecutorHello, now: number): void {
    for (const result of hello.results) this.handleResult(id, result, now);
    const holding = new Set(hello.holding.map((name) => buildAttemptKey(name)));
    for (const task of this.jobs.listTasksAt(id)) {
      if (!holding.has(buildAttemptKey(buildAttemptName(task)))) this.settle(task, 'lost', 'link-broke', now);
    }
    for (const name of hello.holding) {
      const task = this.jobs.findTask(name);
      const isHeld = task?.attempt === name.attempt && task.executorId === id;
      if (isHeld && task.phase === 'sent') continue;
      // When an attempt was given up that is not known any more, its task may run elsewhere already.
      const givenUpMs = isHeld && task.phase === 'withdrawn' ? now - task.givenUpAt : hello.orphanMs;
      this.sendStop(id, name, givenUpMs);
    }
  }
}
