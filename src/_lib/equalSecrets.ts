import { createHash, timingSafeEqual } from 'node:crypto';

/**
 * Compares two secrets in a time that does not depend on where they differ.
 *
 * @param left - one secret
 * @param right - the other
 * @returns true when they are the same
 * @example
 * equalSecrets('a', 'b'); // false
 */
export function equalSecrets(left: string, right: string): boolean {
  return timingSafeEqual(hashSecret(left), hashSecret(right));
}

function hashSecret(secret: string): Buffer {
  return createHash('sha256').update(secret).digest();
}
