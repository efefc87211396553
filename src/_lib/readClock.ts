import { performance } from 'node:perf_hooks';

/** Maximum correction per call of `adjustClock`, ms. */
const MAX_STEP_MS = 1;

let anchorMs = Date.now() - performance.now();

/**
 * Reads the monotonic clock, anchored to the wall clock at the start of the process.
 *
 * @returns ms since the epoch, fractional
 * @example
 * readClock() <= readClock(); // true
 */
export function readClock(): number {
  return anchorMs + performance.now();
}

/**
 * Corrects the drift from the wall clock, by at most `MAX_STEP_MS` and only forward.
 *
 * @returns the remaining lead of the wall clock, ms
 * @example
 * Math.abs(adjustClock()) < 1_000; // true unless the wall clock was set
 */
export function adjustClock(): number {
  const ahead = Date.now() - readClock();
  const step = Math.min(MAX_STEP_MS, Math.max(0, ahead));
  anchorMs += step;
  return ahead - step;
}

/**
 * Adds the duration of a suspension of the VM, which the monotonic clock does not include.
 *
 * @param ms - duration of the suspension
 * @example
 * recordSuspension(3_000);
 */
export function recordSuspension(ms: number): void {
  anchorMs += ms;
}
