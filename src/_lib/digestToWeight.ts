import { createHash } from 'node:crypto';

/**
 * Digests a text to an even weight, the same in every process.
 *
 * @param text - names both sides of a choice by rendezvous
 * @returns an unsigned 32-bit integer
 * @example
 * digestToWeight('agent-1/10.0.0.1:7520') === digestToWeight('agent-1/10.0.0.1:7520'); // true
 */
export function digestToWeight(text: string): number {
  return createHash('sha1').update(text).digest().readUInt32BE(0);
}
