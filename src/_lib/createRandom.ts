import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/**
 * Creates a random number generator that is deterministic for a seed.
 *
 * @param seed - an integer
 * @returns a function that returns uniform numbers in [0, 1)
 * @example
 * createRandom(1)() === createRandom(1)(); // true
 */
export function createRandom(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
}
