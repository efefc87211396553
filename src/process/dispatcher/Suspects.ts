/** Tasks of a dispatcher under which upstreams have crashed: their crash counts and their placement. */
import { OTHER_SUSPECT, UPSTREAM_CRASHED } from '../../connection/peer/peerMessages.js';
import type { AttemptResult, CrashedTask, SuspectTask } from '../../connection/peer/peerMessages.js';
import type { ExecutorTable } from './ExecutorTable.js';
import type { ExecutorView } from './ExecutorView.js';
import { CrashLedger, CORRELATION_WINDOW_MS } from './CrashLedger.js';
import type { TaskName } from './CrashLedger.js';
import { buildAttemptName } from './dispatchJob.js';
import type { DispatchTask } from './dispatchJob.js';
import { IsolatedPlacement } from './IsolatedPlacement.js';
import type { Placement } from './Placement.js';

/** Suspect tasks of one dispatcher. */
export class Suspects {
  /** Placement of suspects. */
  readonly placement: IsolatedPlacement;
  private readonly ledger: CrashLedger;

  /**
   * @param limit - crashes under one task after which its job fails; 0 disables counting
   * @param placement - chooses among executors with equal load
   * @param executors - executors of the dispatcher
   * @param log - logs a decision
   */
  constructor(
    limit: number,
    placement: Placement,
    private readonly executors: ExecutorTable,
    private readonly log: (event: string, fields: Readonly<Record<string, unknown>>) => void,
  ) {
    this.ledger = new CrashLedger(limit);
    this.placement = new IsolatedPlacement(placement);
  }

  /** Number of tasks with counted crashes. */
  get size(): number {
    return this.ledger.size;
  }

  /** Whether a task must run apart from other suspects. */
  has(task: DispatchTask): boolean {
    return this.ledger.size > 0 && this.ledger.isSuspect(buildAttemptName(task));
  }

  /** Finds a task of a job that has reached the crash limit. */
  findOverLimit(job: string): TaskName | undefined {
    return this.ledger.listOverLimit(job)[0];
  }

  /** Records that a task was sent to its executor. */
  recordSent(task: DispatchTask): void {
    task.isIsolated = this.has(task);
    if (task.isIsolated) this.placement.recordSent(task);
  }

  /** Records the end of an attempt: counts a crash, or clears the counts of a task that is done. */
  recordEnd(task: DispatchTask, end: AttemptResult['end'], reason: string, now: number): void {
    const { isIsolated, need, step, index } = task;
    const job = task.job.id;
    if (isIsolated) this.placement.recordEnd(task, reason === OTHER_SUSPECT, now);
    if (end === 'lost' && reason === UPSTREAM_CRASHED) {
      const ranMs = now - task.sentAt;
      const crashed = { job, step, index, isIsolated, ranMs, estimateMs: need.estimateMs };
      return this.recordCrash(task.executorId, crashed, now);
    }
    if (end !== 'done' || !this.ledger.release({ job, step, index })) return;
    this.log('task-cleared', { job, task: `${step}/${index}` });
  }

  /** Records a crash of an upstream under a task. */
  recordCrash(
    executorId: string,
    { isIsolated, ranMs, estimateMs, ...name }: CrashedTask,
    now: number,
  ): void {
    this.placement.recordCrash(executorId, now);
    const failureDomain = this.executors.find(executorId)?.failureDomain ?? '';
    const executors = this.executors.list();
    const domainExecutors = executors.filter((other) => other.failureDomain === failureDomain);
    const fleet = {
      inDomain: domainExecutors.length,
      all: executors.length,
      downInDomain: countDown(domainExecutors, now),
      down: countDown(executors, now),
    };
    const crash = { executorId, failureDomain, isIsolated, ranMs, estimateMs };
    const isBlamed = this.ledger.recordCrash(name, crash, fleet, now);
    const crashes = this.ledger.countCrashes(name);
    const task = `${name.step}/${name.index}`;
    const event = isBlamed ? 'task-suspect' : 'crash-not-blamed';
    this.log(event, { job: name.job, task, agent: executorId, isIsolated, crashes });
  }

  /** Logs that a job fails because of a task that has reached the crash limit. */
  recordFailed({ job, step, index }: TaskName): void {
    const crashes = this.ledger.countCrashes({ job, step, index });
    this.log('job-crashes', { job, task: `${step}/${index}`, crashes });
  }

  /** Adopts newer counts of another dispatcher. Returns the tasks whose counts were newer. */
  adopt(tasks: readonly SuspectTask[], now: number): SuspectTask[] {
    return this.ledger.adopt(tasks, now);
  }

  /** Returns the tasks whose counts have changed since the last call, to be sent to other dispatchers. */
  takeUpdates(): SuspectTask[] {
    return this.ledger.takeUpdates();
  }

  /** Lists all tasks with counted crashes, for a newly linked dispatcher. */
  list(): SuspectTask[] {
    return this.ledger.list();
  }

  /** Removes expired counts and crashes. */
  tick(now: number): void {
    this.ledger.tick(now);
    this.placement.tick(now);
  }
}

/** Counts the executors whose upstream became unresponsive recently. */
function countDown(executors: readonly ExecutorView[], now: number): number {
  return executors.filter(({ downAt }) => now - downAt <= CORRELATION_WINDOW_MS).length;
}
