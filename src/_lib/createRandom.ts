import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/**
 * Creates a source of random numbers that repeats for the same seed.
 *
 * @param seed - an integer
 * @returns a function that returns numbers from 0 (included) to 1 (excluded)
 * @example
 * createRandom(1)() === createRandom(1)(); // true
 */
export function createRandom(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
}
