import { randomBytes } from 'node:crypto';

/** Number of random bytes in an incarnation. */
const RANDOM_BYTES = 4;

/**
 * Creates a process name with an incarnation, made of the start time and random digits. The incarnation
 * distinguishes a restarted process or a replaced VM from its predecessor.
 *
 * @param id - process id
 * @param now - ms since the epoch
 * @returns `id@incarnation`
 * @example
 * createIncarnation('entry-1', Date.now()); // 'entry-1@m3k1x2ab-9f86d081'
 */
export function createIncarnation(id: string, now: number): string {
  return `${id}@${Math.floor(now).toString(36)}-${randomBytes(RANDOM_BYTES).toString('hex')}`;
}
