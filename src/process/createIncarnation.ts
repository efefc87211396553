import { randomBytes } from 'node:crypto';

/** Random bytes of an incarnation, besides the time. */
const RANDOM_BYTES = 4;

/**
 * Creates the name of one run of a process: its start time and random digits, so that a VM replaced at the
 * same address is told from its predecessor.
 *
 * @param id - of the process
 * @param now - ms since the epoch
 * @returns `id@incarnation`
 * @example
 * createIncarnation('entry-1', Date.now()); // 'entry-1@m3k1x2ab-9f86d081'
 */
export function createIncarnation(id: string, now: number): string {
  return `${id}@${Math.floor(now).toString(36)}-${randomBytes(RANDOM_BYTES).toString('hex')}`;
}
