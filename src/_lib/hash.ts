/** Hashing by xxHash, loaded once for the process. */
import createXxHash from 'xxhash-wasm';

const xxhash = await createXxHash();

/**
 * Hashes a text to 32 bits.
 *
 * @param text - what to hash
 * @param seed - selects one hash of the family
 * @returns an unsigned 32-bit integer
 * @example
 * hashText('a') === hashText('a'); // true
 */
export function hashText(text: string, seed = 0): number {
  return xxhash.h32(text, seed);
}

/**
 * Hashes a text to 64 bits, as hex.
 *
 * @param text - what to hash
 * @returns sixteen hex digits
 * @example
 * hashTextToHex('a').length; // 16
 */
export function hashTextToHex(text: string): string {
  return xxhash.h64ToString(text);
}
