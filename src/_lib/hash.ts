/** Non-cryptographic hashes (xxHash). */
import createXxHash from 'xxhash-wasm';

const xxhash = await createXxHash();

/**
 * Hashes a text to 32 bits.
 *
 * @param text - the text to hash
 * @param seed - selects one of the family of hash functions
 * @returns an unsigned 32-bit integer
 * @example
 * hashText('a') === hashText('a'); // true
 */
export function hashText(text: string, seed = 0): number {
  return xxhash.h32(text, seed);
}

/**
 * Hashes a text to 64 bits.
 *
 * @param text - the text to hash
 * @returns 16 hexadecimal digits
 * @example
 * hashTextToHex('a').length; // 16
 */
export function hashTextToHex(text: string): string {
  return xxhash.h64ToString(text);
}
