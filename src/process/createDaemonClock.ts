import { BootClock } from '../_lib/BootClock.js';
import type { ClockNote } from '../_lib/BootClock.js';
import { noteSuspension } from '../_lib/readClock.js';

/**
 * Creates the clock of a daemon, which counts the time in which its VM was suspended. What it notes is logged in a
 * microtask, as it may be read anywhere.
 *
 * @param log - of the process
 * @returns the clock
 */
export function createDaemonClock(log: ClockNote): BootClock {
  return new BootClock((event, fields) => {
    if (event === 'suspended') noteSuspension(Number(fields['ms']));
    queueMicrotask(() => log(event, fields));
  });
}
