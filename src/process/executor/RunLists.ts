/** Reads what one life of an upstream lists with each renewal: what has ended there, what runs, and so what is gone. */
import type { AttemptEnd } from '../../connection/peer/peerMessages.js';
import { buildTaskKey } from '../../connection/peer/peerMessages.js';
import type { EndedRun, LeaseAnswer, RunName, RunningRun } from '../../ports/UpstreamApi.js';
import { convertRunEnd } from './convertRunEnd.js';
import type { LocalTask } from './localTask.js';
import type { RunHistory } from './RunHistory.js';

/** The session on whose behalf lists are read. */
export interface ListHost {
  /** The upstream has begun a task. */
  readonly confirm: (task: LocalTask, now: number) => void;
  readonly recordProgress: (task: LocalTask, percent: number, now: number) => void;
  readonly finish: (task: LocalTask, end: AttemptEnd, reason: string) => void;
  /** Something runs that nobody here has ordered. */
  readonly stopUnknown: (name: RunName) => void;
}

/** Lists of one life. */
export class RunLists {
  private lastSequenceRead = 0;

  /**
   * @param tasks - that may run there, by key
   * @param runs - numbers of runs at this life
   * @param host - the session
   */
  constructor(
    private readonly tasks: ReadonlyMap<string, LocalTask>,
    private readonly runs: RunHistory,
    private readonly host: ListHost,
  ) {}

  /** Ends up to here have been noted for good. */
  get lastSequence(): number {
    return this.lastSequenceRead;
  }

  /**
   * Takes the lists of an answer.
   *
   * @param answer - to a renewal
   * @param sentAt - when that was sent
   * @param now - when the answer came
   * @returns how many runs nobody here has ordered
   */
  take(answer: Extract<LeaseAnswer, { verdict: 'held' }>, sentAt: number, now: number): number {
    for (const ended of answer.ended) this.handleEnd(ended, now);
    const unknown = this.handleRunning(answer.running, now);
    this.handleMissing(answer.running, sentAt);
    return unknown;
  }

  private handleEnd(ended: EndedRun, now: number): void {
    if (ended.sequence <= this.lastSequenceRead) return;
    this.lastSequenceRead = ended.sequence;
    const key = buildTaskKey(ended.name);
    this.runs.record(key, ended.name.run);
    const task = this.tasks.get(key);
    if (!task || task.run !== ended.name.run) return;
    if (ended.end === 'done') this.host.recordProgress(task, 100, now);
    this.host.finish(task, convertRunEnd(ended.end), ended.end);
  }

  /** Notes progress; stops what nobody here has ordered, and returns how many those are. */
  private handleRunning(running: readonly RunningRun[], now: number): number {
    let unknown = 0;
    for (const { name, percent } of running) {
      const task = this.tasks.get(buildTaskKey(name));
      if (task && task.run === name.run) {
        if (task.phase === 'starting') this.host.confirm(task, now);
        this.host.recordProgress(task, percent, now);
      } else {
        unknown += 1;
        this.runs.record(buildTaskKey(name), name.run);
        this.host.stopUnknown(name);
      }
    }
    return unknown;
  }

  /** What ran, or was to be stopped, and is in neither list of a renewal sent later is certainly gone. */
  private handleMissing(running: readonly RunningRun[], sentAt: number): void {
    const names = new Set(running.map(({ name }) => `${buildTaskKey(name)}/${name.run}`));
    for (const task of [...this.tasks.values()]) {
      if (names.has(`${task.key}/${task.run}`)) continue;
      const since = task.phase === 'stopping' ? task.stopAcceptedAt : task.confirmedAt;
      if (task.phase === 'starting' || since === undefined || since >= sentAt) continue;
      const ran = task.confirmedAt !== undefined;
      this.host.finish(task, ran ? 'stopped' : 'not-run', 'not-listed');
    }
  }
}
