import { BootClock } from '../_lib/BootClock.js';
import type { ClockEventListener } from '../_lib/BootClock.js';
import { recordSuspension } from '../_lib/readClock.js';

/**
 * Creates the clock of a daemon, which counts the time in which its VM was suspended. What it notes is logged in a
 * microtask, as it may be read anywhere.
 *
 * @param log - of the process
 * @returns the clock
 */
export function createDaemonClock(log: ClockEventListener): BootClock {
  return new BootClock((event, fields) => {
    if (event === 'suspended') recordSuspension(Number(fields['ms']));
    queueMicrotask(() => log(event, fields));
  });
}
