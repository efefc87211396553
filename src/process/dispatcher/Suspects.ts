/** The tasks of a dispatcher under which upstreams crash: what counts against them, and where they run. */
import { OTHER_SUSPECT, UPSTREAM_CRASHED } from '../../connection/peer/peerMessages.js';
import type { AttemptResult, CrashedTask, SuspectTask } from '../../connection/peer/peerMessages.js';
import type { ExecutorTable } from './ExecutorTable.js';
import type { ExecutorView } from './ExecutorView.js';
import { CrashLedger, TOGETHER_MS } from './CrashLedger.js';
import type { TaskName } from './CrashLedger.js';
import { buildAttemptName } from './dispatchJob.js';
import type { DispatchTask } from './dispatchJob.js';
import { IsolatedPlacement } from './IsolatedPlacement.js';
import type { Placement } from './Placement.js';

/** Suspects of one dispatcher. */
export class Suspects {
  /** Where suspects run. */
  readonly placement: IsolatedPlacement;
  private readonly ledger: CrashLedger;

  /**
   * @param limit - upstreams that may crash under one task until its job is failed; 0 counts none
   * @param placement - chooses among agents that are equally free
   * @param agents - that the dispatcher knows
   * @param log - takes a decision
   */
  constructor(
    limit: number,
    placement: Placement,
    private readonly agents: ExecutorTable,
    private readonly log: (event: string, fields: Readonly<Record<string, unknown>>) => void,
  ) {
    this.ledger = new CrashLedger(limit);
    this.placement = new IsolatedPlacement(placement);
  }

  /** Tasks that are remembered. */
  get size(): number {
    return this.ledger.size;
  }

  /** Whether a task has to run apart from other suspects. */
  has(task: DispatchTask): boolean {
    return this.ledger.size > 0 && this.ledger.isSuspect(buildAttemptName(task));
  }

  /** Finds a task of a job that is not to be started any more. */
  findCondemned(job: string): TaskName | undefined {
    return this.ledger.listCondemned(job)[0];
  }

  /** A task is sent to its agent. */
  recordSent(task: DispatchTask): void {
    task.isIsolated = this.has(task);
    if (task.isIsolated) this.placement.noteSent(task);
  }

  /** An attempt is over: a crash is counted against its task, and a suspect that is done is none any more. */
  recordEnd(task: DispatchTask, end: AttemptResult['end'], reason: string, now: number): void {
    const { isIsolated, need, step, index } = task;
    const job = task.job.id;
    if (isIsolated) this.placement.noteEnd(task, reason === OTHER_SUSPECT, now);
    if (end === 'lost' && reason === UPSTREAM_CRASHED) {
      const ranMs = now - task.sentAt;
      const crashed = { job, step, index, isIsolated, ranMs, estimateMs: need.estimateMs };
      return this.recordCrash(task.agent, crashed, now);
    }
    if (end !== 'done' || !this.ledger.release({ job, step, index })) return;
    this.log('task-cleared', { job, task: `${step}/${index}` });
  }

  /** An upstream has crashed under a task. */
  recordCrash(agent: string, { isIsolated, ranMs, estimateMs, ...name }: CrashedTask, now: number): void {
    this.placement.noteCrash(agent, now);
    const failureDomain = this.agents.find(agent)?.failureDomain ?? '';
    const agents = this.agents.list();
    const domain = agents.filter((one) => one.failureDomain === failureDomain);
    const fleet = {
      inDomain: domain.length,
      all: agents.length,
      downInDomain: countDown(domain, now),
      down: countDown(agents, now),
    };
    const crash = { agent, failureDomain, isIsolated, ranMs, estimateMs };
    const isBlamed = this.ledger.recordCrash(name, crash, fleet, now);
    const crashes = this.ledger.countCrashes(name);
    const task = `${name.step}/${name.index}`;
    const event = isBlamed ? 'task-suspect' : 'crash-not-blamed';
    this.log(event, { job: name.job, task, agent, isIsolated, crashes });
  }

  /** A job is failed for a task that is not to be started any more. */
  recordFailed({ job, step, index }: TaskName): void {
    const crashes = this.ledger.countCrashes({ job, step, index });
    this.log('job-crashes', { job, task: `${step}/${index}`, crashes });
  }

  /** Takes what another dispatcher tells. Returns what of it is news, to be told on. */
  adopt(tasks: readonly SuspectTask[], now: number): SuspectTask[] {
    return this.ledger.adopt(tasks, now);
  }

  /** Takes what other dispatchers are to be told. */
  takeNews(): SuspectTask[] {
    return this.ledger.takeNews();
  }

  /** All that are remembered, for a dispatcher that has just been met. */
  list(): SuspectTask[] {
    return this.ledger.list();
  }

  /** Forgets what is long ago. */
  tick(now: number): void {
    this.ledger.tick(now);
    this.placement.tick(now);
  }
}

/** Counts the agents whose upstream has ceased to answer of late. */
function countDown(agents: readonly ExecutorView[], now: number): number {
  return agents.filter(({ downAt }) => now - downAt <= TOGETHER_MS).length;
}
