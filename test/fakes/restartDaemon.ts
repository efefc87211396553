/** Restarts of daemons by faults of the soak test. */
import { setTimeout as sleep } from 'node:timers/promises';

import type { PlatformBench } from './PlatformBench.js';

/**
 * Ends a daemon by a signal and starts it again; does nothing if it is down or being restarted.
 *
 * @param bench - the processes
 * @param daemon - id of the daemon
 * @param signal - signal that ends it
 * @param downMs - downtime, ms
 */
export async function restartDaemon(
  bench: PlatformBench,
  daemon: string,
  signal: NodeJS.Signals,
  downMs: number,
): Promise<void> {
  if (!bench.isRunning(daemon) || bench.restarting.has(daemon)) return;
  bench.restarting.add(daemon);
  bench.signal(daemon, signal);
  await bench.waitForExit(daemon);
  await sleep(downMs);
  await bench.startDaemon(daemon);
  bench.restarting.delete(daemon);
}
