/** Largest speed that is reported; estimates may be far too long. */
const MAX_SPEED = 1_000_000;

/**
 * Rounds a speed to three decimal places, so that insignificant changes are not reported, and bounds it: it is a ratio
 * of what callers and upstreams have sent.
 *
 * @param speed - estimated work, ms, done per ms
 * @returns the rounded speed; 1 if it is not a number
 * @example
 * roundSpeed(1.00049); // 1
 */
export function roundSpeed(speed: number): number {
  if (Number.isNaN(speed)) return 1;
  return Math.round(Math.min(MAX_SPEED, Math.max(0, speed)) * 1_000) / 1_000;
}
