/** Speeds as they are told on links. */

/**
 * Rounds a speed to three digits, so that it is told anew only when it has changed.
 *
 * @param speed - work per ms, in ms of estimates
 * @returns the speed in thousandths
 * @example
 * roundSpeed(1.00049); // 1
 */
export function roundSpeed(speed: number): number {
  return Math.round(speed * 1_000) / 1_000;
}
