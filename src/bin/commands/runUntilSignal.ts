/** Something that runs until it is stopped. */
export interface Stoppable {
  stop(): Promise<void>;
}

/**
 * Waits for SIGTERM or SIGINT and then stops as planned; a second signal ends at once.
 *
 * @param running - what to stop, in this order
 */
export async function runUntilSignal(running: readonly Stoppable[]): Promise<void> {
  await new Promise<void>((resolve) => {
    process.once('SIGTERM', resolve);
    process.once('SIGINT', resolve);
  });
  process.once('SIGINT', () => process.exit(0));
  for (const one of running) await one.stop();
  process.exit(0);
}
