/** A running component that can be stopped. */
export interface Stoppable {
  stop(): Promise<void>;
}

/**
 * Waits for SIGTERM or SIGINT, then stops all components and exits. SIGINT during the shutdown exits at once.
 *
 * @param components - components to stop, in this order
 */
export async function runUntilSignal(components: readonly Stoppable[]): Promise<void> {
  await new Promise<void>((resolve) => {
    process.once('SIGTERM', resolve);
    process.once('SIGINT', resolve);
  });
  process.once('SIGINT', () => process.exit(0));
  for (const component of components) await component.stop();
  process.exit(0);
}
