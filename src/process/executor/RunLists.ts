/**
 * Applies the lists of running and ended runs that an incarnation of an upstream returns with each lease
 * renewal. Runs in neither list are gone.
 */
import type { AttemptEnd } from '../../connection/peer/peerMessages.js';
import { buildTaskKey } from '../../connection/peer/peerMessages.js';
import type { EndedRun, LeaseAnswer, RunName, RunningRun } from '../../ports/UpstreamApi.js';
import { LogRateLimiter } from '../LogRateLimiter.js';
import { convertRunEnd } from './convertRunEnd.js';
import type { LocalTask } from './localTask.js';
import type { RunHistory } from './RunHistory.js';

/**
 * Largest step between two numbers of ends that is taken at once, twice what one answer lists. An end with a higher
 * number counts once a second answer lists it: acknowledging it would make the upstream forget all ends up to it.
 */
const MAX_STEP = 1_000;

/** Callbacks to the session. */
export interface RunListCallbacks {
  /** Called when the upstream has started a task. */
  readonly confirm: (task: LocalTask, now: number) => void;
  readonly recordProgress: (task: LocalTask, percent: number, now: number) => void;
  readonly finish: (task: LocalTask, end: AttemptEnd, reason: string) => void;
  /** Stops a run that this process has not ordered. */
  readonly stopUnknown: (name: RunName) => void;
  readonly log: (event: string, fields: Readonly<Record<string, unknown>>) => void;
}

/** Lists of one incarnation. */
export class RunLists {
  private readonly unreadableLimiter = new LogRateLimiter(1);
  private lastAppliedSequence = 0;
  /** Ends of the newest answer whose numbers are too high to be taken at once. */
  private pending: readonly EndedRun[] = [];

  /**
   * @param tasks - tasks that may run there, by key
   * @param runs - run numbers at this incarnation
   * @param stopMs - longest time that a stop takes at the upstream, ms
   * @param callbacks - callbacks to the session
   */
  constructor(
    private readonly tasks: ReadonlyMap<string, LocalTask>,
    private readonly runs: RunHistory,
    private readonly stopMs: number,
    private readonly callbacks: RunListCallbacks,
  ) {}

  /** Sequence number up to which ends have been applied. */
  get lastSequence(): number {
    return this.lastAppliedSequence;
  }

  /** Whether a task is being stopped whose stop is not accepted. */
  get hasUnconfirmedStop(): boolean {
    for (const { phase, stopAcceptedAt } of this.tasks.values())
      if (phase === 'stopping' && stopAcceptedAt === undefined) return true;
    return false;
  }

  /**
   * Applies the lists of an answer.
   *
   * @param answer - answer to a renewal
   * @param sentAt - when the renewal was sent
   * @param now - when the answer arrived
   * @param hadLapsed - whether all leases had expired when the renewal was sent, with a new token if a stop
   *   was not accepted
   * @returns the number of running runs that this process has not ordered
   */
  applyAnswer(
    answer: Extract<LeaseAnswer, { verdict: 'held' }>,
    sentAt: number,
    now: number,
    hadLapsed: boolean,
  ): number {
    this.reportUnreadable(answer.unreadable ?? 0, now);
    const listedBefore = new Set(this.pending.map(({ sequence }) => sequence));
    this.pending = answer.ended.filter((ended) => !this.handleEnd(ended, listedBefore, now));
    const unknown = this.handleRunning(answer.running, sentAt, now);
    this.handleMissing([...answer.running, ...this.pending], sentAt, hadLapsed);
    return unknown;
  }

  /** Reports rows that could not be read, once a second: the same one may be listed again and again. */
  private reportUnreadable(rows: number, now: number): void {
    if (rows === 0) return;
    this.unreadableLimiter.writeLine(now, { rows }, (fields) =>
      this.callbacks.log('rows-unreadable', fields),
    );
  }

  /** Applies an end that is new; returns false if its number is too high as long as no second answer lists it. */
  private handleEnd(ended: EndedRun, listedBefore: ReadonlySet<number>, now: number): boolean {
    const step = ended.sequence - this.lastAppliedSequence;
    if (step > MAX_STEP && !listedBefore.has(ended.sequence)) return false;
    if (step > 0) this.applyEnd(ended, now);
    return true;
  }

  private applyEnd(ended: EndedRun, now: number): void {
    this.lastAppliedSequence = ended.sequence;
    if (!ended.name) return;
    const key = buildTaskKey(ended.name);
    this.runs.record(key, ended.name.run);
    const task = this.tasks.get(key);
    if (!task || task.run !== ended.name.run) return;
    if (ended.end === 'done') this.callbacks.recordProgress(task, 100, now);
    this.callbacks.finish(task, convertRunEnd(ended.end), ended.end);
  }

  /** Records progress, and stops unknown runs; returns the number of unknown runs. */
  private handleRunning(running: readonly RunningRun[], sentAt: number, now: number): number {
    let unknown = 0;
    for (const { name, percent } of running) {
      const task = this.tasks.get(buildTaskKey(name));
      if (task && task.run === name.run) {
        if (task.phase === 'starting') this.callbacks.confirm(task, now);
        this.reviewStop(task, sentAt);
        if (percent !== undefined) this.callbacks.recordProgress(task, percent, now);
      } else {
        unknown += 1;
        this.runs.record(buildTaskKey(name), name.run);
        this.callbacks.stopUnknown(name);
      }
    }
    return unknown;
  }

  /** Counts a stop as not accepted if its run is still listed after the longest time that a stop takes. */
  private reviewStop(task: LocalTask, sentAt: number): void {
    if (task.stopAcceptedAt === undefined || sentAt <= task.stopAcceptedAt + this.stopMs) return;
    task.stopAcceptedAt = undefined;
    this.callbacks.log('stop-without-effect', { task: task.key, run: task.run, entryLife: task.owner });
  }

  /**
   * Finishes tasks that were confirmed, or whose stop was accepted, before the renewal was sent and are not
   * listed. Once all leases have expired and a new token is accepted, a start sent before is refused, so that
   * a run that is not listed is over without its stop being accepted.
   */
  private handleMissing(
    listed: readonly { readonly name: RunName | undefined }[],
    sentAt: number,
    hadLapsed: boolean,
  ): void {
    const names = new Set(listed.map(({ name }) => name && `${buildTaskKey(name)}/${name.run}`));
    for (const task of [...this.tasks.values()]) {
      if (names.has(`${task.key}/${task.run}`)) continue;
      const since = task.phase === 'stopping' ? task.stopAcceptedAt : task.confirmedAt;
      const isOver = since !== undefined && since < sentAt;
      if (task.phase === 'starting') continue;
      if (isOver) this.callbacks.finish(task, hasRun(task) ? 'stopped' : 'not-run', 'not-listed');
      else if (hadLapsed && task.phase === 'stopping' && (task.lastSentAt ?? 0) < sentAt)
        this.callbacks.finish(task, 'lost', 'lapsed');
    }
  }
}

function hasRun({ confirmedAt }: LocalTask): boolean {
  return confirmedAt !== undefined;
}
