/** Record of a case: what was sent, answered and run, with the runs of each task that were up at one time. */
import { writeFileSync } from 'node:fs';
import { performance } from 'node:perf_hooks';

/** Two runs of one task that were at work at one time. */
export interface Overlap {
  readonly task: string;
  readonly first: string;
  readonly second: string;
  readonly at: number;
  /** When one of the two ended, ms; undefined while both go on. */
  until: number | undefined;
}

/** Start of a task at a runner. */
export interface Start {
  readonly task: string;
  readonly at: number;
}

/** Writes lines with times, and watches which tasks run twice at the same time. */
export class Recorder {
  readonly overlaps: Overlap[] = [];
  /** Tasks that were started at a runner that lacks the label they require. */
  readonly misplaced: string[] = [];
  private readonly starts: Start[] = [];
  private readonly lines: string[] = [];
  private readonly startedAt = performance.now();
  /** Places at which each task is running. */
  private readonly running = new Map<string, Set<string>>();

  /** Milliseconds since the start of the case. */
  get now(): number {
    return performance.now() - this.startedAt;
  }

  /** Adds a line. */
  note(text: string): void {
    this.lines.push(`${this.now.toFixed(1).padStart(9)} ${text}`);
  }

  /** Records that a runner has begun a task; `lacking` is the required label that it lacks, if any. */
  recordStart(task: string, place: string, lacking = ''): void {
    if (lacking !== '') {
      this.misplaced.push(task);
      this.note(`ROUTE task ${task} begins at ${place}, which lacks the label ${lacking}`);
    }
    const places = this.running.get(task) ?? new Set<string>();
    for (const other of places) {
      this.overlaps.push({ task, first: other, second: place, at: this.now, until: undefined });
      this.note(`TWICE task ${task} begins at ${place} while it runs at ${other}`);
    }
    places.add(place);
    this.starts.push({ task, at: this.now });
    this.running.set(task, places);
    this.note(`begin task ${task} at ${place}`);
  }

  /** Lists the starts of a job's tasks. */
  listStarts(job: string): Start[] {
    return this.starts.filter(({ task }) => task.startsWith(`${job}.`));
  }

  /** Counts the running tasks of a job. */
  countRunning(job: string): number {
    const tasks = [...this.running].filter(([task, places]) => task.startsWith(`${job}.`) && places.size > 0);
    return tasks.length;
  }

  /** Records that a run has ended. */
  recordEnd(task: string, place: string, how: string): void {
    this.running.get(task)?.delete(place);
    for (const overlap of this.overlaps) {
      if (overlap.task !== task || overlap.until !== undefined) continue;
      if (overlap.first === place || overlap.second === place) overlap.until = this.now;
    }
    this.note(`end task ${task} at ${place} ${how}`);
  }

  /** Writes the record with a summary ahead of it. */
  write(file: string, summary: readonly string[]): void {
    writeFileSync(file, `${[...summary, '', ...this.lines].join('\n')}\n`);
  }
}
