import { hashTextToHex } from '../_lib/hash.js';
import type { JobRequest } from './job.js';

/** Names of the parts of a digest, in order. */
const DIGEST_PART_NAMES = ['event', 'number of tasks', 'kinds of tasks', 'bodies of tasks'] as const;

/**
 * Hashes the contents of a job, each part separately. The deadline is not included.
 *
 * @param request - the submission
 * @returns the hashes joined by dots
 * @example
 * findDifferences(digestJob(request), digestJob(request)); // []
 */
export function digestJob(request: Pick<JobRequest, 'event' | 'tasks'>): string {
  const kinds = request.tasks.map((task) => task.kind).join('\n');
  const bodies = request.tasks.map((task) => `${task.body.length}:${task.body}`).join('\n');
  const hashes = [request.event, String(request.tasks.length), kinds, bodies].map(hashTextToHex);
  return hashes.join('.');
}

/**
 * Finds the parts in which two digests differ.
 *
 * @param left - one digest
 * @param right - the other
 * @returns the names of the parts; empty if the contents are equal
 * @example
 * findDifferences('a.b.c.d', 'a.b.c.e'); // ['bodies of tasks']
 */
export function findDifferences(left: string, right: string): string[] {
  const rights = right.split('.');
  return left
    .split('.')
    .flatMap((hash, part) => (hash === rights[part] ? [] : [DIGEST_PART_NAMES[part] as string]));
}
