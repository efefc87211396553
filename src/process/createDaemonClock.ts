import { BootClock } from '../_lib/BootClock.js';
import type { ClockEventListener } from '../_lib/BootClock.js';
import { recordSuspension } from '../_lib/readClock.js';

/**
 * Creates the clock of a daemon, which includes the time during which its VM was suspended. Suspensions are
 * also added to `readClock`. Clock events are logged in a microtask, since the clock may be read anywhere.
 *
 * @param log - listener that logs clock events
 * @returns the clock
 */
export function createDaemonClock(log: ClockEventListener): BootClock {
  return new BootClock((event, fields) => {
    if (event === 'suspended') recordSuspension(Number(fields['ms']));
    queueMicrotask(() => log(event, fields));
  });
}
