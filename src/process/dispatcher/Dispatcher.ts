/**
 * The entry's decisions: which waiting task goes to which agent and when, and how a job ends.
 *
 * A job lives as long as its caller waits. A task has at most one attempt that may run; the next is made only after
 * the agent has told its end, or after the time for which anything of ours can still run there (`orphanMs` after
 * the newest ping).
 */
import { assertInvariant } from '../../_lib/assertInvariant.js';
import type {
  ExecutorHello,
  AttemptProgress,
  AttemptResult,
  CrashedTask,
  DispatcherMessage,
  Ping,
  CapacityChange,
  SuspectTask,
} from '../../connection/peer/peerMessages.js';
import { UPSTREAM_CRASHED } from '../../connection/peer/peerMessages.js';
import type { Caller, JobState } from '../../ports/CallerGateway.js';
import type { JobBounds } from '../../request/dispatch/JobBounds.js';
import type { JobOutcome, JobSubmission } from '../../request/dispatch/submission.js';
import { CallerTimeoutAdmission, RETRY_AFTER_MS } from './Admission.js';
import type { Admission } from './Admission.js';
import type { QueueRoute } from '../../version/configuration.js';
import { ExecutorTable } from './ExecutorTable.js';
import { buildExecutorId } from './ExecutorView.js';
import type { ExecutorView } from './ExecutorView.js';
import { Backlog } from './Backlog.js';
import { buildAttemptName, createDispatchJob, isOut, stepTask } from './dispatchJob.js';
import type { DispatchJob, DispatchTask } from './dispatchJob.js';
import { ANSWER_MARGIN_MS } from './findGiveUpReason.js';
import { JobTable } from './JobTable.js';
import type { Submission } from './JobTable.js';
import { needsMove } from './needsMove.js';
import type { Placement, PlacementContext } from './Placement.js';
import type { CapacityView } from './CapacityForecast.js';
import type { SendWindow } from './SendWindow.js';
import { Suspects } from './Suspects.js';
import type { TaskOrder } from './TaskOrder.js';

/** Time since an agent was last heard, in ping intervals, from which on it gets nothing new. */
const STALE_PINGS = 2;
/**
 * How long a start may be on its way, and the agent's clock before it, in ping intervals, before the agent refuses it.
 * Less than the age of an echo from which on the agent stops what the entry ordered (3), which bounds it anyway.
 */
const START_EXPIRY_PINGS = 2.4;
/** Pause after an agent had no room, unless it tells its room before, ms. */
const FULL_PAUSE_MS = 4;
/** Time that an attempt takes which is not run, ms, until some were seen: an agent's wait for room and two ways. */
const FIRST_RETURN_MS = 50;
/** Weight of the newest one in the mean. */
const RETURN_WEIGHT = 0.1;
/** Weight of one step of priority in the order, ms. */
const PRIORITY_STEP_MS = 100;

/** Bytes of a start beside its job's text, and of each further one of the job that goes along in the same message. */
const START_BYTES = 250;
const MERGED_START_BYTES = 110;

/** What the dispatcher has its process do. */
export interface DispatchEffects {
  readonly send: (agent: string, message: DispatcherMessage) => void;
  readonly log: (event: string, fields: Readonly<Record<string, unknown>>) => void;
  /** A job got its answer. */
  readonly noteOutcome: (job: DispatchJob, outcome: JobOutcome, now: number) => void;
}

/** Parameters of a dispatcher. */
export interface DispatchOptions {
  readonly pingMs: number;
  readonly placement: Placement;
  readonly window: SendWindow;
  /** When jobs are given up; by their callers' patience where none is named. */
  readonly admission?: Admission;
  /** In which order tasks are offered; by deadline where none is named. */
  readonly order?: TaskOrder;
  /** Bounds of what is held at once. */
  readonly bounds: JobBounds;
  /** Upstreams that may crash under one task until its job is failed; 0 or undefined for any number. */
  readonly crashLimit?: number;
  readonly nextRandom: () => number;
}

/** Dispatches the jobs of one entry. */
export class Dispatcher {
  private readonly agents: ExecutorTable;
  private readonly jobs = new JobTable();
  private readonly admission: Admission;
  private readonly backlog: Backlog;
  /** Tasks under which upstreams have crashed of late. */
  readonly suspects: Suspects;
  /** Mean time from sending a task to hearing that it was not run, ms. */
  private returnMs = FIRST_RETURN_MS;
  /** Attempts of all jobs: a job may be submitted again while results of its earlier attempts are on their way. */
  private attempts = 0;

  constructor(
    private readonly options: DispatchOptions,
    private readonly effects: DispatchEffects,
  ) {
    this.agents = new ExecutorTable(options.pingMs * STALE_PINGS);
    const { crashLimit = 0, placement } = options;
    this.suspects = new Suspects(crashLimit, placement, this.agents, effects.log);
    this.admission = options.admission ?? new CallerTimeoutAdmission();
    this.backlog = new Backlog(options.order);
  }

  /** Typical work per ms of the upstreams, in ms of estimates. */
  get typicalSpeed(): number {
    return this.agents.typicalSpeed;
  }

  /** Jobs whose caller waits. */
  get openJobs(): number {
    return this.jobs.countOpen();
  }

  /** Tasks that wait for an agent. */
  get waitingTasks(): number {
    return this.backlog.size;
  }

  /** Processor room that those tasks ask for, thousandths of a core. */
  get waitingCpuMilli(): number {
    return this.backlog.sumCpuMilli();
  }

  /** Tasks that wait for an agent, by a property of their queue. */
  countWaitingBy(describe: (route: QueueRoute) => string): Map<string, number> {
    return this.backlog.countBy(describe);
  }

  /** Cores' worth of estimated work that the room was last expected to do; 0 while nothing is known. */
  get forecastCores(): number {
    return this.admission.drainCores;
  }

  /** Whether an agent of any service is linked and takes work. */
  hasExecutors(now: number): boolean {
    return this.agents.hasReady(now);
  }

  /** The operators have emptied these failure domains, and no others: nothing is placed there. */
  setEmptied(domains: readonly string[]): void {
    this.agents.setEmptied(domains);
  }

  /** Takes a job; its answer comes through the caller. */
  submit(submission: JobSubmission, caller: Caller, now: number): void {
    const findings = this.options.bounds.findExcess(submission);
    if (findings.length > 0) {
      this.effects.log('reject', { job: submission.id, findings });
      return caller.answer({ kind: 'rejected', reason: 'too-large', findings });
    }
    const known = this.jobs.find(submission.id);
    if (!known) return this.admit({ submission, caller, deadlineAt: now + submission.patienceMs }, now);
    this.effects.log('job-again', { job: submission.id, answered: known.answered });
    this.jobs.successors.get(submission.id)?.caller.answer(SUPERSEDED);
    this.jobs.successors.set(submission.id, { submission, caller, deadlineAt: now + submission.patienceMs });
    this.endJob(known, SUPERSEDED, now);
  }

  /** The caller is gone: what waits is dropped and what runs is stopped. */
  abandon(jobId: string, caller: Caller, now: number): void {
    const { successors } = this.jobs;
    if (successors.get(jobId)?.caller === caller) successors.delete(jobId);
    const job = this.jobs.findOpen(jobId);
    if (!job || job.caller !== caller) return;
    this.effects.log('job-abandoned', { job: jobId, ageMs: Math.round(now - job.arrivedAt) });
    this.endJob(job, { kind: 'interrupted', reason: 'caller-gone' }, now);
  }

  /** Cancels a job on request. */
  cancel(jobId: string, now: number): boolean {
    const job = this.jobs.findOpen(jobId);
    if (!job) return false;
    this.endJob(job, { kind: 'interrupted', reason: 'cancelled' }, now);
    return true;
  }

  /** State of a job whose caller waits. */
  findState(jobId: string): JobState | undefined {
    const job = this.jobs.findOpen(jobId);
    if (!job) return undefined;
    return job.offered ? 'running' : 'pending';
  }

  /** Jobs of a queue that were never offered to an agent. */
  countPending(routeName: string): number {
    return this.jobs.countPending(routeName);
  }

  /**
   * An agent has linked; what it does not hold any more, and has not told, is lost. Its link must take orders.
   *
   * @returns the id by which the dispatcher knows this life of the agent
   */
  handleHello(hello: ExecutorHello, ownLife: string, now: number): string {
    const id = buildExecutorId(hello);
    const known = this.agents.find(id);
    this.agents.unlinkOthers(hello);
    if (!known) {
      this.agents.add(hello, now);
      this.effects.log('agent-linked', { agent: id, again: false });
      return id;
    }
    const tasks = this.jobs.listTasksAt(id).length;
    this.effects.log('agent-linked', {
      agent: id,
      again: true,
      heardMs: Math.round(now - known.heardAt),
      tasks,
      held: hello.holding.length,
    });
    known.reopen(now);
    if (hello.entryLife === ownLife) this.compareHeld(id, hello, now);
    else for (const task of this.jobs.listTasksAt(id)) this.settle(task, 'lost', 'link-broke', now);
    return id;
  }

  /** A link has closed; what runs there is waited for. */
  handleClose(agentId: string, reason: string, now: number): void {
    const agent = this.agents.find(agentId);
    if (!agent) return;
    agent.linked = false;
    const tasks = this.jobs.listTasksAt(agentId).length;
    const heardMs = Math.round(now - agent.heardAt);
    this.effects.log('agent-unlinked', { agent: agentId, reason, tasks, heardMs });
  }

  /** Takes a ping. */
  handlePing(agentId: string, ping: Ping, now: number): void {
    const agent = this.agents.find(agentId);
    if (!agent) return;
    // The greeting of an earlier life that was held up had this one count as gone; its pings come on an open link.
    agent.linked = true;
    agent.recordPing(ping, now);
    if (ping.echoMs !== undefined) this.options.window.noteDelay(agent.recordRoundTrip(ping.echoMs));
    this.expireEarlierIncarnations(agent, now);
    for (const progress of ping.progress ?? []) this.reviewProgress(agent, progress, now);
  }

  /** Takes room that changed between pings. */
  handleCapacity(agentId: string, { room, at }: CapacityChange, now: number): void {
    const agent = this.agents.find(agentId);
    if (!agent) return;
    agent.heardAt = now;
    agent.recordClock(at, now);
    agent.recordCapacity(room, now);
  }

  /** Takes the end of an attempt. */
  handleResult(agentId: string, { name, end, reason }: AttemptResult, now: number): void {
    const task = this.jobs.findTask(name);
    if (!task || task.attempt !== name.attempt || task.agent !== agentId || !isOut(task)) return;
    const agent = this.agents.find(agentId);
    if (agent) agent.heardAt = now;
    if (end === 'not-run' && reason === 'expired') this.options.window.noteExpired(now);
    if (agent && end === 'not-run') {
      agent.pausedUntil = now + FULL_PAUSE_MS;
      this.returnMs += RETURN_WEIGHT * (now - task.sentAt - this.returnMs);
    }
    if (agent && end !== 'not-run') agent.release(task.need.resources);
    this.settle(task, end, reason, now);
  }

  /** Sends waiting tasks to agents with room. */
  place(now: number): void {
    this.backlog.prune();
    if (this.backlog.size === 0) return;
    const context = this.buildContext(now);
    const agents = this.agents.list();
    let onTheWay = this.agents.sumBytesInFlight(now);
    let smallestMissed = Infinity;
    let smallestSuspectMissed = Infinity;
    for (const task of this.backlog.list(now, this.typicalSpeed)) {
      const { cpuMilli } = task.need.resources;
      if (cpuMilli >= smallestMissed) continue;
      if (!this.options.window.hasRoom(onTheWay, now)) break;
      const isSuspect = this.suspects.has(task);
      if (isSuspect && cpuMilli >= smallestSuspectMissed) continue;
      const agent = this.findPlacement(isSuspect).choose(task, agents, context);
      if (agent) onTheWay += this.send(task, agent, now);
      else if (task.need.requiredLabel !== '') continue;
      else if (isSuspect) smallestSuspectMissed = cpuMilli;
      else smallestMissed = cpuMilli;
    }
    this.backlog.prune();
  }

  /** Does what time brings. */
  tick(now: number): void {
    this.agents.updateSpeed();
    this.suspects.tick(now);
    for (const agent of this.agents.list()) this.expireExecutor(agent, now);
    const view = this.buildCapacityView(now);
    for (const job of this.jobs.list()) this.reviewJob(job, view);
    for (const [id, { deadlineAt, caller }] of [...this.jobs.successors]) {
      if (now < deadlineAt - ANSWER_MARGIN_MS) continue;
      this.jobs.successors.delete(id);
      caller.answer({ kind: 'refused', reason: 'deadline', retryAfterMs: RETRY_AFTER_MS });
    }
  }

  /**
   * Gives every open job its final answer: the process ends, or stood still for so long that the agents have stopped
   * its tasks and callers may have gone to other entries.
   */
  endAll(reason: string, now: number): void {
    for (const job of this.jobs.list()) this.giveUp(job, reason, now);
  }

  /** An agent tells of crashes under tasks of a dispatcher that does not answer any more. */
  handleCrashes(agentId: string, tasks: readonly CrashedTask[], now: number): void {
    for (const task of tasks) this.suspects.recordCrash(agentId, task, now);
    for (const { job } of tasks) this.reviewCrashes(job, now);
  }

  /** Takes what another dispatcher tells of suspects. Returns what of it is news, to be told on. */
  adoptSuspects(tasks: readonly SuspectTask[], now: number): SuspectTask[] {
    const news = this.suspects.adopt(tasks, now);
    for (const { job } of news) this.reviewCrashes(job, now);
    return news;
  }

  private admit({ submission, caller, deadlineAt }: Submission, now: number): void {
    const timing = { now, typicalSpeed: this.typicalSpeed, priorityStepMs: PRIORITY_STEP_MS };
    const patienceMs = deadlineAt - now;
    if (!this.options.bounds.take(submission)) {
      const { openJobs, openBytes } = this.options.bounds;
      this.effects.log('refuse', { job: submission.id, reason: 'full', openJobs, openBytes });
      return caller.answer({ kind: 'refused', reason: 'full', retryAfterMs: RETRY_AFTER_MS });
    }
    const job = createDispatchJob({ ...submission, patienceMs }, caller, timing);
    this.jobs.add(job);
    this.backlog.admit(job, now);
    this.admission.noteArrived(job, now);
    if (job.left === 0) return this.endJob(job, { kind: 'completed' }, now);
    this.reviewCrashes(job.id, now);
    this.reviewJob(job, this.buildCapacityView(now));
  }

  /** Gives a job up if it cannot be served any more. */
  private reviewJob(job: DispatchJob, view: CapacityView): void {
    const reason = job.answered ? undefined : this.admission.findReason(job, view);
    if (reason !== undefined) this.giveUp(job, reason, view.now);
  }

  private buildCapacityView(now: number): CapacityView {
    const { typicalSpeed, staleMs } = this.agents;
    const listWaiting = (): DispatchTask[] => {
      this.backlog.prune();
      return this.backlog.list(now, typicalSpeed);
    };
    return { now, typicalSpeed, staleMs, listExecutors: () => this.agents.list(), listWaiting };
  }

  /** Sends a start, and returns how many bytes it takes. */
  private send(task: DispatchTask, agent: ExecutorView, now: number): number {
    const { job, need } = task;
    const isMerged = job.lastAgent === agent.id && job.lastSentAt === now;
    const bytes = isMerged ? MERGED_START_BYTES : START_BYTES + job.submission.spec.length;
    stepTask(task, 'send');
    this.attempts += 1;
    task.attempt = this.attempts;
    task.agent = agent.id;
    task.sentAt = now;
    this.suspects.recordSent(task);
    this.backlog.noteSent(task, now);
    this.admission.noteSent(task);
    job.offered = true;
    job.lastAgent = agent.id;
    job.lastSentAt = now;
    agent.reserve(need.resources, bytes);
    const { id, spec, route } = job.submission;
    const name = buildAttemptName(task);
    const expiresAt = agent.estimateClock(now) + this.options.pingMs * START_EXPIRY_PINGS;
    const { resources, estimateMs } = need;
    const rank = Math.round(job.rank - now);
    const order = { name, service: route.service, spec, resources, estimateMs, rank, expiresAt };
    this.effects.send(agent.id, { type: 'start', ...order, ...(task.isIsolated && { isSuspect: true }) });
    this.effects.log('place', {
      job: id,
      task: `${task.step}/${task.index}`,
      attempt: task.attempt,
      agent: agent.id,
      freeCpu: agent.free.cpuMilli,
      speed: agent.room?.speed,
      roomAgeMs: Math.round(now - agent.heardAt),
      waitedMs: Math.round(now - job.arrivedAt),
    });
    return bytes;
  }

  /** Takes the certain end of an attempt that was out. */
  private settle(task: DispatchTask, end: AttemptResult['end'], reason: string, now: number): void {
    const { job } = task;
    assertInvariant(isOut(task), 'only an attempt that is out can end');
    if (end !== 'not-run') job.begun = true;
    this.suspects.recordEnd(task, end, reason, now);
    if (end !== 'done') {
      const { attempt, agent } = task;
      this.effects.log('attempt-over', {
        job: job.id,
        task: `${task.step}/${task.index}`,
        attempt,
        agent,
        end,
        reason,
      });
    }
    this.admission.noteEnded(task, end === 'done', now);
    if (end === 'not-run') this.backlog.noteReturned(task, now);
    if (job.answered) return this.drop(task, now);
    if (end === 'done') return this.finishTask(task, now);
    if (end !== 'not-run') task.avoid.add(task.agent);
    if (end === 'failed') task.failures += 1;
    if (task.failures >= job.submission.route.maxAttempts) {
      stepTask(task, 'drop');
      return this.endJob(job, { kind: 'failed', reason: 'attempts' }, now);
    }
    stepTask(task, 'return');
    this.backlog.add(task);
    if (reason === UPSTREAM_CRASHED) this.reviewCrashes(job.id, now);
  }

  /** Fails a job under whose tasks upstreams crash: nothing of it is started again, and its caller does not come again. */
  private reviewCrashes(jobId: string, now: number): void {
    const job = this.jobs.findOpen(jobId);
    const condemned = job && this.suspects.findCondemned(jobId);
    if (!condemned) return;
    this.suspects.recordFailed(condemned);
    this.endJob(job, { kind: 'failed', reason: 'crashes' }, now);
  }

  private finishTask(task: DispatchTask, now: number): void {
    const { job } = task;
    stepTask(task, 'finish');
    job.left -= 1;
    if (job.left === 0) return this.endJob(job, { kind: 'completed' }, now);
    this.releaseSteps(job);
  }

  /** Lets go tasks whose earlier steps are all done. */
  private releaseSteps(job: DispatchJob): void {
    if (!job.tasks.some((task) => task.phase === 'blocked')) return;
    const open = new Set(job.tasks.filter((task) => task.phase !== 'done').map((task) => task.step));
    for (const task of job.tasks) {
      if (task.phase !== 'blocked' || task.need.after.some((step) => open.has(step))) continue;
      stepTask(task, 'release');
      this.backlog.add(task);
    }
  }

  /** Answers a job and has everything of it stopped. */
  private endJob(job: DispatchJob, outcome: JobOutcome, now: number): void {
    if (job.answered) return;
    job.answered = true;
    assertInvariant(outcome.kind !== 'refused' || !job.begun, 'what is refused has not run');
    job.caller.answer(outcome);
    this.effects.noteOutcome(job, outcome, now);
    for (const task of job.tasks) {
      if (task.phase === 'waiting' || task.phase === 'blocked') stepTask(task, 'drop');
      if (task.phase === 'sent') this.withdraw(task);
    }
    this.forgetIfOver(job, now);
  }

  private withdraw(task: DispatchTask): void {
    stepTask(task, 'withdraw');
    this.effects.send(task.agent, { type: 'stop', name: buildAttemptName(task) });
  }

  private drop(task: DispatchTask, now: number): void {
    stepTask(task, 'drop');
    this.forgetIfOver(task.job, now);
  }

  private forgetIfOver(job: DispatchJob, now: number): void {
    if (job.out > 0) return;
    const successor = this.jobs.delete(job.id);
    this.options.bounds.release(job.submission);
    if (successor) this.admit(successor, now);
  }

  /** A job that has not run is refused; one that may have is interrupted. */
  private giveUp(job: DispatchJob, reason: string, now: number): void {
    if (job.answered) return;
    const mayHaveRun = job.begun || job.out > 0;
    if (mayHaveRun) return this.endJob(job, { kind: 'interrupted', reason }, now);
    const view = this.buildCapacityView(now);
    const figures = this.admission.describeForecast(job, view);
    if (figures) this.effects.log('refuse', { job: job.id, reason, ...figures });
    const retryAfterMs = this.admission.findRetryMs(job, view);
    this.endJob(job, { kind: 'refused', reason, retryAfterMs }, now);
    this.admission.noteRefused(job);
  }

  /** Nothing of ours can run at an agent that has not been heard for so long. */
  private expireExecutor(agent: ExecutorView, now: number): void {
    if (now <= agent.heardAt + agent.orphanMs) return;
    for (const task of this.jobs.listTasksAt(agent.id)) this.settle(task, 'lost', 'agent-silent', now);
    this.agents.forgetIfGone(agent, now);
  }

  /** A life of an agent takes work only after it has stopped, and fenced, what earlier lives had started. */
  private expireEarlierIncarnations(agent: ExecutorView, now: number): void {
    if (agent.room?.state !== 'ready') return;
    for (const earlier of this.agents.listOtherIncarnations(agent)) {
      for (const task of this.jobs.listTasksAt(earlier.id)) this.settle(task, 'lost', 'agent-replaced', now);
      this.agents.delete(earlier.id);
    }
  }

  /** Moves a task that stands still or crawls, if it can be in time elsewhere. */
  private reviewProgress(agent: ExecutorView, progress: AttemptProgress, now: number): void {
    const { name, percent, stalledMs } = progress;
    const task = this.jobs.findTask(name);
    if (!task || task.phase !== 'sent' || task.attempt !== name.attempt || task.agent !== agent.id) return;
    const speed = agent.room?.speed ?? 1;
    if (!needsMove(task, progress, speed, this.typicalSpeed, now)) return;
    if (!this.hasOtherPlace(task, agent, now)) return;
    this.effects.log('move', {
      job: name.job,
      task: `${task.step}/${task.index}`,
      agent: agent.id,
      percent,
      stalledMs,
      speed,
    });
    this.withdraw(task);
  }

  private hasOtherPlace(task: DispatchTask, from: ExecutorView, now: number): boolean {
    const others = this.agents.list().filter((agent) => agent !== from);
    const placement = this.findPlacement(this.suspects.has(task));
    return placement.choose(task, others, this.buildContext(now)) !== undefined;
  }

  private findPlacement(isSuspect: boolean): Placement {
    return isSuspect ? this.suspects.placement : this.options.placement;
  }

  private buildContext(now: number): PlacementContext {
    const { typicalSpeed, staleMs } = this.agents;
    return { now, typicalSpeed, staleMs, returnMs: this.returnMs, nextRandom: this.options.nextRandom };
  }

  /** Brings what we have at an agent and what it holds for us together: orders and results may have been lost. */
  private compareHeld(id: string, hello: ExecutorHello, now: number): void {
    for (const result of hello.results) this.handleResult(id, result, now);
    const holding = new Set(hello.holding.map((name) => buildAttemptKey(name)));
    for (const task of this.jobs.listTasksAt(id)) {
      if (!holding.has(buildAttemptKey(buildAttemptName(task)))) this.settle(task, 'lost', 'link-broke', now);
    }
    for (const name of hello.holding) {
      const task = this.jobs.findTask(name);
      const isWanted = task?.phase === 'sent' && task.attempt === name.attempt && task.agent === id;
      if (!isWanted) this.effects.send(id, { type: 'stop', name });
    }
  }
}

const SUPERSEDED: JobOutcome = { kind: 'interrupted', reason: 'submitted-again' };

function buildAttemptKey({ job, step, index, attempt }: AttemptResult['name']): string {
  return `${job}/${step}/${index}/${attempt}`;
}
