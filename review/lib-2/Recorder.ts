/** Record of what a case sent, had answered and saw running, written to a file line by line. */
import { appendFileSync, writeFileSync } from 'node:fs';
import { performance } from 'node:perf_hooks';

/** Writes lines with the time since the start of the case. */
export class Recorder {
  private readonly startedAt = performance.now();

  /** @param file - path of the record, which is replaced */
  constructor(private readonly file: string) {
    writeFileSync(file, '');
  }

  /** Time since the start of the case, ms. */
  get now(): number {
    return Math.round(performance.now() - this.startedAt);
  }

  /** Writes an event with its fields. */
  write(event: string, fields: Readonly<Record<string, unknown>> = {}): void {
    const values = Object.entries(fields).map(([name, value]) => `${name}=${JSON.stringify(value)}`);
    appendFileSync(this.file, `${[this.now, event, ...values].join(' ')}\n`);
  }
}
