import { readFile } from 'node:fs/promises';

import { parseLogLine } from '../process/explain/explainJob.js';
import type { LogLine } from '../process/explain/explainJob.js';

/**
 * Reads the log lines of several files; what is none of ours is passed over.
 *
 * @param files - paths
 * @returns the lines, file by file
 */
export async function readLogFiles(files: readonly string[]): Promise<LogLine[]> {
  const texts = await Promise.all(files.map((file) => readFile(file, 'utf8')));
  return texts.flatMap((text) => text.split('\n')).flatMap((text) => parseLogLine(text) ?? []);
}
