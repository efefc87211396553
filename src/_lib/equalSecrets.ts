import { createHash, timingSafeEqual } from 'node:crypto';

/**
 * Compares two secrets in constant time.
 *
 * @param left - one secret
 * @param right - the other
 * @returns true when they are equal
 * @example
 * equalSecrets('a', 'b'); // false
 */
export function equalSecrets(left: string, right: string): boolean {
  return timingSafeEqual(hashSecret(left), hashSecret(right));
}

function hashSecret(secret: string): Buffer {
  return createHash('sha256').update(secret).digest();
}
