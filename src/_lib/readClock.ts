import { performance } from 'node:perf_hooks';

/** Largest correction towards the wall clock at one reading of `adjustClock`, ms. */
const MAX_STEP_MS = 1;

let anchorMs = Date.now() - performance.now();

/**
 * Reads a clock that never goes back and never jumps: the monotonic clock, anchored to the wall clock at the
 * start of the process.
 *
 * @returns ms since the epoch, with fractions
 * @example
 * readClock() <= readClock(); // true
 */
export function readClock(): number {
  return anchorMs + performance.now();
}

/**
 * Moves the anchor forward a little if the wall clock is ahead, so that long-lived processes do not drift.
 *
 * @returns how far the wall clock is ahead after the correction, ms
 * @example
 * Math.abs(adjustClock()) < 1_000; // true on a VM whose clock is not being set
 */
export function adjustClock(): number {
  const ahead = Date.now() - readClock();
  const step = Math.min(MAX_STEP_MS, Math.max(0, ahead));
  anchorMs += step;
  return ahead - step;
}

/**
 * Moves the anchor by the time in which the VM was suspended, which the monotonic clock does not count.
 *
 * @param ms - that time
 * @example
 * noteSuspension(3_000);
 */
export function recordSuspension(ms: number): void {
  anchorMs += ms;
}
