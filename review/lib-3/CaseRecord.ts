/** What a case sent, what was answered and what ran, in the order of time; written to `record.txt`. */
import { writeFileSync } from 'node:fs';
import { performance } from 'node:perf_hooks';

/** A start that a runner carried out. */
export interface RecordedStart {
  readonly at: number;
  readonly runner: string;
  readonly labels: readonly string[];
  readonly task: string;
  readonly run: number;
  /** Runs at the runner, this one and those that are being stopped too. */
  readonly running: number;
  /** Capacity of the runner, thousandths of a core, and when it last shrank. */
  readonly cpu: number;
  readonly shrunkAt: number;
  endedAt: number;
  how: string;
}

/** Record of one case. Points in time are monotonic ms. */
export class CaseRecord {
  readonly starts: RecordedStart[] = [];
  private readonly lines: string[] = [];
  private readonly startedAt = performance.now();

  note(event: string, fields: Readonly<Record<string, unknown>> = {}): void {
    const at = ((performance.now() - this.startedAt) / 1_000).toFixed(4);
    this.lines.push(`${at.padStart(9)} ${event} ${JSON.stringify(fields)}`);
  }

  recordStart(start: Omit<RecordedStart, 'at' | 'endedAt' | 'how'>): void {
    const { runner, labels, task, run, running, cpu } = start;
    this.starts.push({ ...start, at: performance.now(), endedAt: Infinity, how: '' });
    this.note('start', { runner, labels, task, run, running, cpu });
  }

  recordEnd(runner: string, task: string, run: number, how: string): void {
    const start = this.starts.findLast(
      (one) => one.runner === runner && one.task === task && one.run === run,
    );
    if (start) Object.assign(start, { endedAt: performance.now(), how });
    this.note('end', { runner, task, run, how });
  }

  write(file: string): void {
    writeFileSync(file, `${this.lines.join('\n')}\n`);
  }
}
