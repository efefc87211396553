/**
 * Rounds a speed to three decimal places, so that insignificant changes are not reported.
 *
 * @param speed - estimated work, ms, done per ms
 * @returns the rounded speed
 * @example
 * roundSpeed(1.00049); // 1
 */
export function roundSpeed(speed: number): number {
  return Math.round(speed * 1_000) / 1_000;
}
