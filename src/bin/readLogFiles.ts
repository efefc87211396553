import { readFile } from 'node:fs/promises';

import { parseLogLine } from '../process/explain/explainJob.js';
import type { LogLine } from '../process/explain/explainJob.js';

/**
 * Reads the log lines of several files. Lines that cannot be parsed are ignored.
 *
 * @param files - paths of the files
 * @returns the lines in the order of the files
 */
export async function readLogFiles(files: readonly string[]): Promise<LogLine[]> {
  const texts = await Promise.all(files.map((file) => readFile(file, 'utf8')));
  return texts.flatMap((text) => text.split('\n')).flatMap((text) => parseLogLine(text) ?? []);
}
