import { createHash } from 'node:crypto';

/**
 * Hashes a text to a uniform rendezvous weight that is the same in every process.
 *
 * @param text - the chooser and the candidate
 * @returns an unsigned 32-bit integer
 * @example
 * digestToWeight('agent-1/10.0.0.1:7520') === digestToWeight('agent-1/10.0.0.1:7520'); // true
 */
export function digestToWeight(text: string): number {
  return createHash('sha1').update(text).digest().readUInt32BE(0);
}
